#pragma once
/// \file
/// Answers to callers whose request could not be served.

#include "Base/error.h"
#include "Base/time.h"
#include "Wire/http.h"

namespace buckthorncart {

/// HTTP status for a call that failed with `reason`.
uint16_t CallStatusOf(Errc reason, Outcome outcome);

/// True when another daemon would refuse for the same reason, so that a retry
/// is pointless.
bool IsFinalRefusal(Errc reason);

/// True for a head by which a backend server says that it did not run the
/// request: status 503 with the outcome "not-run".
bool IsShedAnswer(const AnswerPart& part);

/// Whole answer with a typed JSON body and the outcome header.
/// `retry_after` tells when the caller may return; zero for no word.
AnswerPart MakeFailureAnswer(Errc reason, Outcome outcome,
                             Duration retry_after = {});

}  // namespace buckthorncart
