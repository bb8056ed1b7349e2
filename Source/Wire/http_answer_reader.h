#pragma once
/// \file
/// Incremental parser for HTTP/1.1 answers.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "Wire/http.h"
#include "Wire/http_limits.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {

/// Parses the answers on a connection. An answer is returned in parts as its
/// bytes arrive. Interim answers (1xx) are skipped.
class HttpAnswerReader {
 public:
  explicit HttpAnswerReader(const HttpLimits& limits);
  ~HttpAnswerReader();

  /// Prepares to parse the answer to a request with `method`.
  void Begin(std::string_view method);
  /// Adds bytes received on the connection.
  void Append(std::string_view bytes);
  /// Parses the added bytes, up to the end of the current answer.
  ReadState Advance();
  /// Handles an orderly close of the connection, which marks the end of an
  /// answer without a length.
  ReadState Finish();
  /// Returns true if the head has been parsed.
  bool HasHead() const;
  /// Returns the headers of the answer. The head must have been parsed.
  const Headers& Peek();
  /// Removes and returns what has been parsed since the last call. The first
  /// part has the status and the headers. The last part has the
  /// end `kComplete`.
  AnswerPart Take();
  /// Removes and returns the body bytes that have been parsed. The head must
  /// have been parsed.
  std::string TakeBody();
  /// Returns the number of body bytes that have been parsed but not taken.
  size_t BodyBytes() const;
  /// Returns true if the buffer contains bytes after the answer.
  bool HasRest() const;
  /// Returns true if the sender keeps the connection open. Valid only if the
  /// answer is complete.
  bool KeepsAlive() const;
  /// Returns the idle timeout in seconds that the sender gives in its
  /// Keep-Alive header, or 0 if it gives none.
  unsigned KeepAliveSeconds() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace buckthorncart
