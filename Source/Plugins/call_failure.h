#pragma once
/// \file
/// Answers to callers whose request could not be served.

#include "Base/error.h"
#include "Wire/http.h"

namespace buckthorncart {

/// HTTP status for a call that failed with `reason`.
uint16_t CallStatusOf(Errc reason, Outcome outcome);

/// Whole answer with a typed JSON body and the outcome header.
AnswerPart MakeFailureAnswer(Errc reason, Outcome outcome);

}  // namespace buckthorncart
