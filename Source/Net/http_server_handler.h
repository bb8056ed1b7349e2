#pragma once
/// \file
/// Interface of the owner of an HTTP server.

#include <cstddef>
#include <cstdint>

#include "Wire/http.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {

/// Receives what happens on a server.
class HttpServerHandler {
 public:
  virtual ~HttpServerHandler() = default;
  virtual void OnRequest(uint64_t id, HttpRequest request) = 0;
  /// The peer has left before the answer to request `id` was complete.
  virtual void OnClientDisconnected(uint64_t id) = 0;
  /// The peer has taken `bytes` of an answer whose end is still to come.
  virtual void OnDrained(uint64_t /*id*/, uint64_t /*bytes*/) {}
  /// Answer to bytes that are no acceptable request; its connection closes.
  virtual AnswerPart MakeRefusal(ReadState fault);
};

/// HTTP status that tells a sender of its fault.
uint16_t StatusOf(ReadState fault);

}  // namespace buckthorncart
