#pragma once
/// \file
/// Callback interface of an HTTP server.

#include <cstddef>
#include <cstdint>
#include <utility>

#include "Base/time.h"
#include "Wire/http.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {

/// Receives the requests and connection events of a server.
class HttpServerHandler {
 public:
  virtual ~HttpServerHandler() = default;
  virtual void OnRequest(uint64_t id, HttpRequest request) = 0;
  /// Called instead of `OnRequest` for a request that was read `waited` ago and
  /// had to wait for the answers to earlier requests of its connection.
  virtual void OnDelayedRequest(uint64_t id, HttpRequest request,
                                Duration /*waited*/) {
    OnRequest(id, std::move(request));
  }
  /// Called when the client has disconnected before the answer to request `id`
  /// was complete.
  virtual void OnClientDisconnected(uint64_t id) = 0;
  /// Called when `bytes` further bytes of an incomplete answer have been passed
  /// to the connection.
  virtual void OnAnswerBytesWritten(uint64_t /*id*/, uint64_t /*bytes*/) {}
  /// Returns true if `request` may run at the same time as other requests of
  /// its connection. Asked only where `PipelineLimits` allow several at once.
  virtual bool MayOverlap(const HttpRequest& /*request*/) { return false; }
  /// Returns the answer to a malformed or oversized request, after which the
  /// connection is closed.
  virtual AnswerPart MakeErrorAnswer(ReadState fault);
  /// Returns the answer to a request whose body does not fit in memory, after
  /// which the connection is closed.
  virtual AnswerPart MakeOverloadAnswer();
};

/// Returns the HTTP status for a request that cannot be read because of
/// `fault`.
uint16_t HttpStatusOf(ReadState fault);

}  // namespace buckthorncart
