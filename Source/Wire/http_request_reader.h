#pragma once
/// \file
/// Reads HTTP/1.1 requests out of the bytes of a connection.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "Wire/http.h"
#include "Wire/http_limits.h"

namespace buckthorncart {

/// How far a message has been read.
enum class ReadState : uint8_t {
  /// No byte of it has come.
  kIdle,
  /// Its end has not come.
  kPartial,
  kWhole,
  /// It breaks the protocol; nothing after it can be read.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Takes bodies with a length or in chunks. Headers that concern one
/// connection are left out of the result, as are those of the framing.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(const HttpLimits& limits);
  ~HttpRequestReader();

  /// Adds bytes of the connection.
  void Append(std::string_view bytes);
  /// Reads on, up to the end of one request.
  ReadState Advance();
  /// The request, once it is whole. The next `Advance` begins another one.
  HttpRequest Take();
  /// True if the sender goes on with the connection; valid while whole.
  bool KeepsAlive() const;
  /// True once for a request whose sender waits for `100 Continue`.
  bool TakeContinue();

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace buckthorncart
