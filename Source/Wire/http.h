#pragma once
/// \file
/// HTTP requests and answers, independent of their encoding on a connection.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/enum_names.h"
#include "Wire/enum_adaptor.h"
#include "Wire/shared_body.h"

namespace buckthorncart {

struct Header {
  /// In lower case.
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

using Headers = std::vector<Header>;

/// Returns the value of the first header called `name`, which must be in lower
/// case, or an empty string if there is none.
std::string_view FindHeader(const Headers& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  /// Path and query of the request target.
  std::string path;
  Headers headers;
  SharedBody body;
  MSGPACK_DEFINE(method, path, headers, body)
};

/// Whether an answer ends with a part, and how.
enum class AnswerEnd : uint8_t {
  /// More parts follow.
  kMore,
  /// The answer is complete.
  kComplete,
  /// The answer was truncated. It must not appear complete to the caller.
  kBroken,
};

template <>
struct WireEnum<AnswerEnd> {
  static constexpr size_t kCount = static_cast<size_t>(AnswerEnd::kBroken) + 1;
};

/// A part of an answer. The first part contains the status and the headers.
struct AnswerPart {
  /// HTTP status code; 0 in all parts except the first.
  uint16_t status = 0;
  Headers headers;
  std::string body;
  AnswerEnd end = AnswerEnd::kMore;

  /// Returns true for the first part of an answer.
  bool IsHead() const { return status != 0; }
  MSGPACK_DEFINE(status, headers, body, end)
};

/// Whether a request ran, as reported to its caller in the header
/// `buckthorncart-outcome`.
enum class Outcome : uint8_t { kRan, kNotRun, kUnknown };

template <>
struct EnumNames<Outcome> {
  static constexpr std::string_view kNames[] = {"ran", "not-run", "unknown"};
};
template <>
struct WireEnum<Outcome> : NamedWireEnum<Outcome> {};

/// Names of the headers that the service mesh reads or sets.
namespace header {
inline constexpr std::string_view kOutcome = "buckthorncart-outcome";
inline constexpr std::string_view kReason = "buckthorncart-reason";
inline constexpr std::string_view kDeadline = "buckthorncart-deadline-ms";
inline constexpr std::string_view kRequestId = "x-request-id";
inline constexpr std::string_view kIdempotencyKey = "idempotency-key";
inline constexpr std::string_view kLoad = "buckthorncart-load";
/// Service of the backend server that sent the request.
inline constexpr std::string_view kCallerService =
    "buckthorncart-caller-service";
/// Id of the backend server start that may run the request.
inline constexpr std::string_view kBackendId = "buckthorncart-backend-id";
inline constexpr std::string_view kRetryAfter = "retry-after";
inline constexpr std::string_view kHost = "host";
/// API key of a caller, which the edge replaces by its digest.
inline constexpr std::string_view kApiKey = "api-key";
/// Digest of the API key, between the edge and the call router only.
inline constexpr std::string_view kKeyDigest = "buckthorncart-key-digest";
/// Workspace whose key the caller gave, for the backend server.
inline constexpr std::string_view kWorkspace = "buckthorncart-workspace";
inline constexpr std::string_view kWwwAuthenticate = "www-authenticate";
}  // namespace header

}  // namespace buckthorncart
