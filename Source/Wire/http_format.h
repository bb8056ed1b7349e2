#pragma once
/// \file
/// Writes HTTP/1.1 messages.

#include <string>
#include <string_view>

#include "Wire/http.h"

namespace buckthorncart {

/// How the end of an answer's body is told.
enum class AnswerFraming : uint8_t {
  /// By its length, which the part's own headers give or its whole body.
  kLength,
  kChunked,
  /// The status has no body.
  kNone,
};

/// A whole request; `host` is used when its headers name none.
std::string FormatRequest(const HttpRequest& request, std::string_view host);

/// Status line and headers of an answer. `length` counts the body's bytes.
std::string FormatAnswerHead(const AnswerPart& head, AnswerFraming framing,
                             size_t length, bool close);

}  // namespace buckthorncart
