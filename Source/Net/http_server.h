#pragma once
/// \file
/// HTTP server on libwebsockets.

#include <libwebsockets.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "Base/address.h"
#include "Base/result.h"
#include "Net/loop.h"
#include "Wire/http.h"

namespace buckthorncart {

struct HttpServerLimits {
  /// Larger bodies are answered with 413.
  size_t body_bytes = 1U << 20U;
  /// Connections beyond this are closed.
  size_t connections = 4'096;
};

/// Receives what happens on a server.
class HttpServerHandler {
 public:
  virtual ~HttpServerHandler() = default;
  virtual void OnRequest(uint64_t id, HttpRequest request) = 0;
  /// The peer has left before the answer to request `id` was complete.
  virtual void OnLeft(uint64_t id) = 0;
  /// The peer has taken `bytes` of an answer whose end is still to come.
  virtual void OnDrained(uint64_t /*id*/, uint64_t /*bytes*/) {}
  /// Answer to a request whose body is larger than the limit.
  virtual AnswerPart BodyTooLarge() = 0;
  /// Answer to a request with a body of unknown length.
  virtual AnswerPart LengthRequired() = 0;
};

class HttpServer {
 public:
  /// Requests are numbered from `last_id` + 1.
  HttpServer(Loop& loop, HttpServerLimits limits, HttpServerHandler& handler,
             uint64_t last_id = 0);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Fails with `kAddressInUse`.
  Result<void> Listen(const std::string& name, Address address);

  /// Queues a part of the answer to request `id`; ignored when its peer has
  /// left. With `close`, the connection closes after the answer.
  void Answer(uint64_t id, AnswerPart part, bool close);
  /// Cuts the connection of request `id`.
  void Cut(uint64_t id);

  /// True when no request is being read or answered.
  bool IsIdle() const { return sessions_.empty(); }
  /// Bytes of answers that wait to be written.
  size_t BufferedBytes(uint64_t id) const;

 private:
  struct Session {
    lws* wsi = nullptr;
    uint64_t id = 0;
    HttpRequest request;
    size_t body_seen = 0;
    bool too_large = false;
    /// A whole request is being answered.
    bool dispatched = false;
    bool head_request = false;
    std::deque<AnswerPart> parts;
    size_t part_offset = 0;
    size_t buffered = 0;
    /// Bytes written since they were last reported.
    size_t drained = 0;
    bool chunked = false;
    bool close = false;
    bool cut = false;
  };

  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t len);
  int HandleCallback(lws* wsi, lws_callback_reasons reason, void* in,
                     size_t len);
  int HandleRequestHead(lws* wsi);
  int HandleBody(lws* wsi, std::string_view bytes);
  int HandleBodyEnd(lws* wsi);
  int HandleWriteable(lws* wsi);
  void HandleClosed(lws* wsi);
  void Dispatch(Session& session);
  void AnswerAtOnce(Session& session, AnswerPart part);
  int WriteHead(Session& session, const AnswerPart& part);
  int WriteBody(Session& session, const AnswerPart& part);
  int FinishAnswer(Session& session, AnswerEnd end);
  Session* Find(lws* wsi);

  Loop& loop_;
  HttpServerLimits limits_;
  HttpServerHandler& handler_;
  lws_protocols protocols_[2];
  std::unordered_map<lws*, std::unique_ptr<Session>> sessions_;
  std::unordered_map<uint64_t, Session*> by_id_;
  uint64_t next_id_;
};

}  // namespace buckthorncart
