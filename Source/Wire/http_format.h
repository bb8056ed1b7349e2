#pragma once
/// \file
/// Formats HTTP/1.1 messages.

#include <string>
#include <string_view>

#include "Wire/http.h"

namespace buckthorncart {

/// How the end of an answer's body is marked.
enum class AnswerFraming : uint8_t {
  /// By its length, which is taken from the headers of the part or from its
  /// complete body.
  kLength,
  /// By chunked transfer encoding.
  kChunked,
  /// Answers with this status have no body.
  kNone,
};

/// Returns the request line and headers of `request`, which its body follows.
/// `host` is used if the headers have no host.
std::string FormatRequestHead(const HttpRequest& request,
                              std::string_view host);

/// Returns the status line and headers of an answer. `length` is the size of
/// the body in bytes. If `close` is set, the headers announce that the
/// connection will be closed.
std::string FormatAnswerHead(const AnswerPart& head, AnswerFraming framing,
                             size_t length, bool close);

}  // namespace buckthorncart
