#pragma once
/// \file
/// Interface of an adapter between the product's HTTP and another form of it.

#include "Kernel/event.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Rewrites messages in place. The defaults leave them as they are.
class HttpTranslator {
 public:
  virtual ~HttpTranslator() = default;
  /// A request of a caller, as it came.
  virtual void CallerRequest(HttpRequest& /*request*/) {}
  /// A part of an answer, as the caller will see it.
  virtual void CallerAnswer(AnswerPart& /*part*/) {}
  /// A request, as the backend server will see it.
  virtual void BackendRequest(HttpRequest& /*request*/) {}
  /// A part of an answer of the backend server. Returns a fault if it cannot
  /// be the answer to the request.
  virtual BackendFault BackendAnswer(AnswerPart& /*part*/) {
    return BackendFault::kNone;
  }
  /// A request of an operator, or of the backend server about itself.
  virtual void OperatorRequest(HttpRequest& /*request*/) {}
};

}  // namespace buckthorncart
