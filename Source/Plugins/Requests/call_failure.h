#pragma once
/// \file
/// Error answers to callers whose request could not be served.

#include "Base/error.h"
#include "Base/time.h"
#include "Wire/http.h"

namespace buckthorncart {

/// HTTP status of the answer to a call that failed with `reason`.
uint16_t HttpStatusOf(Errc reason, Outcome outcome);

/// True if any other daemon would refuse the call for the same reason, so that
/// a retry is pointless.
bool IsFinalRefusal(Errc reason);

/// True if `part` is an answer head by which the backend server reports that it
/// shed the request: status 503 with the outcome "not-run".
bool IsShedAnswer(const AnswerPart& part);

/// Complete answer with the reason and the outcome in a JSON body and in the
/// headers. `retry_after` is the delay after which the caller may retry; zero
/// leaves out the header.
AnswerPart MakeFailureAnswer(Errc reason, Outcome outcome,
                             Duration retry_after = {});

}  // namespace buckthorncart
