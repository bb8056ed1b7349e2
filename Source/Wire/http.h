#pragma once
/// \file
/// HTTP requests and answers as the kernel handles them.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/enum_names.h"

namespace buckthorncart {

struct Header {
  /// Lower case.
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

using Headers = std::vector<Header>;

/// Value of the first header called `name` (lower case), or empty.
std::string_view FindHeader(const Headers& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  /// Path and query.
  std::string path;
  Headers headers;
  std::string body;
  MSGPACK_DEFINE(method, path, headers, body)
};

/// How a part of an answer ends.
enum class AnswerEnd : uint8_t {
  /// More parts follow.
  kMore,
  /// The answer is whole.
  kComplete,
  /// The answer was cut and must not look whole to its caller.
  kBroken,
};

/// A piece of an answer. The first piece of an answer carries the status.
struct AnswerPart {
  /// HTTP status; 0 in all parts but the first.
  uint16_t status = 0;
  Headers headers;
  std::string body;
  AnswerEnd end = AnswerEnd::kMore;

  bool IsHead() const { return status != 0; }
  MSGPACK_DEFINE(status, headers, body, end)
};

/// Whether a request ran, as told to its caller in `buckthorncart-outcome`.
enum class Outcome : uint8_t { kRan, kNotRun, kUnknown };

template <>
struct EnumNames<Outcome> {
  static constexpr std::string_view kNames[] = {"ran", "not-run", "unknown"};
};

/// Names of the headers that the system reads and sets.
namespace header {
inline constexpr std::string_view kOutcome = "buckthorncart-outcome";
inline constexpr std::string_view kReason = "buckthorncart-reason";
inline constexpr std::string_view kDeadline = "buckthorncart-deadline-ms";
inline constexpr std::string_view kRequestId = "x-request-id";
inline constexpr std::string_view kIdempotencyKey = "idempotency-key";
inline constexpr std::string_view kLoad = "buckthorncart-load";
/// Service whose backend server sent the request.
inline constexpr std::string_view kCallerService =
    "buckthorncart-caller-service";
/// Start of the backend server that may run the request.
inline constexpr std::string_view kBackendId = "buckthorncart-backend-id";
inline constexpr std::string_view kRetryAfter = "retry-after";
inline constexpr std::string_view kHost = "host";
}  // namespace header

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::AnswerEnd)
MSGPACK_ADD_ENUM(buckthorncart::Outcome)
