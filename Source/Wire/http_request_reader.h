#pragma once
/// \file
/// Incremental parser for HTTP/1.1 requests.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "Wire/http.h"
#include "Wire/http_limits.h"

namespace buckthorncart {

/// State of the parser of a message.
enum class ReadState : uint8_t {
  /// No byte of the message has been received.
  kIdle,
  /// The end of the message has not been received.
  kPartial,
  kWhole,
  /// The message violates the protocol. The bytes after it cannot be parsed.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Parses the requests on a connection, with bodies of a given length or in
/// chunks. Omits hop-by-hop headers and those that delimit the body.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(const HttpLimits& limits);
  ~HttpRequestReader();

  /// Adds bytes received on the connection.
  void Append(std::string_view bytes);
  /// Parses the added bytes, up to the end of the current request.
  ReadState Advance();
  /// Removes and returns the request, which must be complete. The next
  /// `Advance` begins the next request.
  HttpRequest Take();
  /// Returns how much of the body of the current request has been received.
  uint64_t BodyBytes() const;
  /// Returns the size of that body if its length is given, otherwise 0.
  uint64_t AnnouncedBodyBytes() const;
  /// Returns the number of bytes that have been added but not parsed.
  size_t UnparsedBytes() const;
  /// Returns the memory that the body of the current request takes.
  uint64_t BodyMemory() const;
  /// Returns the memory for the head and for bytes that have not been parsed.
  size_t BufferBytes() const;
  /// Drops the current request and all bytes that have been added.
  void Discard();
  /// Returns true if the sender keeps the connection open. Valid only if the
  /// request is complete.
  bool KeepsAlive() const;
  /// Returns true if the sender waits for `100 Continue`, once for each
  /// request.
  bool TakeContinue();

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace buckthorncart
