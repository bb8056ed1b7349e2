#pragma once
/// \file
/// Reads HTTP/1.1 answers out of the bytes of a connection.

#include <cstddef>
#include <memory>
#include <string_view>

#include "Wire/http.h"
#include "Wire/http_limits.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {

/// Answers come in parts: the head, and the body as it arrives. Interim
/// answers (1xx) are skipped.
class HttpAnswerReader {
 public:
  explicit HttpAnswerReader(const HttpLimits& limits);
  ~HttpAnswerReader();

  /// Begins the answer to a request with `method`.
  void Begin(std::string_view method);
  /// Adds bytes of the connection.
  void Append(std::string_view bytes);
  /// Reads on, up to the end of one answer.
  ReadState Advance();
  /// The connection has been closed in order; ends an answer without length.
  ReadState Finish();
  /// True once the head has been read.
  bool HasHead() const;
  /// Headers of the answer, once its head has been read.
  const Headers& Peek();
  /// What has been read and not taken: with the status and the headers the
  /// first time, with the end once the answer is whole.
  AnswerPart Take();
  /// Bytes of the body that have been read and not taken.
  size_t BodyBytes() const;
  /// True if bytes follow the answer.
  bool HasRest() const;
  /// True if the sender goes on with the connection; valid while whole.
  bool KeepsAlive() const;
  /// Idle time after which the sender closes, seconds; 0 when it gives none.
  unsigned KeepAliveSeconds() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace buckthorncart
