#pragma once
/// \file
/// Interface of an adapter that converts HTTP messages between the service
/// mesh's conventions and those of a platform.

#include "Kernel/event.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Rewrites messages in place. The default implementations change nothing.
class HttpTranslator {
 public:
  virtual ~HttpTranslator() = default;
  /// Converts a request that was received from a caller.
  virtual void TranslateCallerRequest(HttpRequest& /*request*/) {}
  /// Converts a part of an answer before it is sent to the caller.
  virtual void TranslateCallerAnswer(AnswerPart& /*part*/) {}
  /// Converts a request before it is sent to the backend server.
  virtual void TranslateBackendRequest(HttpRequest& /*request*/) {}
  /// Converts a part of an answer that was received from the backend server.
  /// Returns a fault if it cannot be the answer to the request.
  virtual BackendFault TranslateBackendAnswer(AnswerPart& /*part*/) {
    return BackendFault::kNone;
  }
  /// Converts a request that was received from an operator, or from the backend
  /// server about its own state.
  virtual void TranslateOperatorRequest(HttpRequest& /*request*/) {}
};

}  // namespace buckthorncart
