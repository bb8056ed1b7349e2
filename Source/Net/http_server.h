#pragma once
/// \file
/// HTTP/1.1 server.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Net/http_server_handler.h"
#include "Net/loop.h"
#include "Net/tcp_host.h"
#include "Wire/http_limits.h"

namespace buckthorncart {

struct HttpServerLimits {
  HttpLimits message;
  /// Connections beyond this are closed.
  size_t connections = 4'096;
  /// Longest time for the arrival of one request.
  Duration request_time = 60s;
  /// Time after which an idle connection is closed.
  Duration idle_time = 120s;
};

class HttpServer {
 public:
  /// Requests are numbered from `last_id` + 1.
  HttpServer(Loop& loop, const HttpServerLimits& limits,
             HttpServerHandler& handler, uint64_t last_id = 0);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Takes an address whose connections are refused until `StartListening`.
  /// Fails with `kAddressInUse`. May be called for several addresses; `name`
  /// is used the first time.
  Result<void> Bind(const std::string& name, Address address);
  /// Listens on the addresses taken so far. Fails with `kAddressInUse`.
  Result<void> StartListening();
  /// Both of the above.
  Result<void> Listen(const std::string& name, Address address);
  /// Takes no more connections; those that wait are taken before.
  void StopListening();

  /// Queues a part of the answer to request `id`; ignored when its peer has
  /// left. With `close`, the connection closes after the answer.
  void Answer(uint64_t id, AnswerPart part, bool close);
  /// Cuts the connection of request `id`.
  void Abort(uint64_t id);

  /// True when no request is being read or answered.
  bool IsIdle() const;
  /// Bytes of answers that wait to be written.
  size_t BufferedBytes(uint64_t id) const;
  size_t ConnectionCount() const { return sessions_.size(); }

 private:
  class Session;

  void Accept(Stream& stream);
  void Remove(Session& session);
  void Sweep();

  Loop& loop_;
  HttpServerLimits limits_;
  HttpServerHandler& handler_;
  TcpHost host_;
  bool open_ = false;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  /// Sessions that have ended and may still be on the call stack.
  std::vector<std::unique_ptr<Session>> ended_;
  std::unordered_map<uint64_t, Session*> by_id_;
  uint64_t next_id_;
};

}  // namespace buckthorncart
