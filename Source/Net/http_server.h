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
#include "Net/client_memory.h"
#include "Net/http_server_handler.h"
#include "Net/loop.h"
#include "Net/pipeline_limits.h"
#include "Net/tcp_endpoint.h"
#include "Wire/http_limits.h"

namespace buckthorncart {

struct HttpServerLimits {
  HttpLimits message;
  /// Memory for the connections; of no effect in a server that shares its
  /// memory with others.
  ClientMemoryLimits memory;
  /// Maximum number of open connections. A further one takes the place of one
  /// that is idle or has stalled, or is closed at once if there is none.
  size_t connections = 4'096;
  /// Bytes that the system may receive for each connection before they are
  /// read; 0 if the system decides.
  size_t receive_buffer_bytes = 0;
  /// Maximum time for receiving one request.
  Duration request_time = 60s;
  /// Idle time after which a connection is closed.
  Duration idle_time = 120s;
  PipelineLimits pipeline;
};

/// Numbers of requests, since the start.
struct PipelineCounts {
  /// Started while an earlier request of the connection was being answered.
  uint64_t overlapped = 0;
  /// Started later than they were read.
  uint64_t waited = 0;
  /// Read but not started, because an answer before them closed the connection.
  uint64_t dropped = 0;
  /// Cancelled because an answer before them broke off.
  uint64_t cancelled = 0;
};

class HttpServer {
 public:
  /// Request IDs are assigned in sequence, starting at `last_id` + 1. `memory`
  /// counts the memory of several servers; it must outlive them.
  HttpServer(Loop& loop, const HttpServerLimits& limits,
             HttpServerHandler& handler, uint64_t last_id = 0,
             ClientMemory* memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds an address without listening: connections to it are refused until
  /// `StartListening`. Fails with `kAddressInUse`. May be called for several
  /// addresses; `name` is used by the first call only.
  Result<void> Bind(const std::string& name, Address address);
  /// Listens on all bound addresses. Fails with `kAddressInUse`.
  Result<void> StartListening();
  /// Binds an address and listens on all bound addresses.
  Result<void> Listen(const std::string& name, Address address);
  /// Accepts the connections in the backlog and closes the listening sockets.
  void StopListening();

  /// Queues a part of the answer to request `id`; ignored when its client has
  /// disconnected. With `close`, no further request of the connection is
  /// started, and it is closed after the answers to all that have been.
  void Answer(uint64_t id, AnswerPart part, bool close);
  /// Closes the connection of request `id` immediately. The handler is told
  /// that the client of its other requests has disconnected.
  void Abort(uint64_t id);

  /// Returns true when no request is being read or answered, and all answers
  /// have been sent, also those on connections that are closing.
  bool IsIdle() const;
  /// Returns the number of queued body bytes of the answer to request `id` that
  /// have not been passed to its connection yet.
  size_t BufferedBytes(uint64_t id) const;
  /// Returns the address of the client of request `id`, or an unset address if
  /// its client has disconnected.
  Address ClientOf(uint64_t id) const;
  size_t ConnectionCount() const { return sessions_.size(); }
  /// Returns the memory that the bodies of requests occupy, in bytes.
  uint64_t BodyBytes() const { return memory_.BodyBytes(); }
  /// Returns the number of requests that were refused for lack of memory.
  uint64_t RefusedBodies() const { return refused_bodies_; }
  const PipelineCounts& Pipelined() const { return pipeline_counts_; }
  /// Returns the number of connections that were closed in favour of new ones.
  uint64_t EvictedConnections() const { return evicted_connections_; }

 private:
  class Session;

  void Accept(Stream& stream);
  /// Closes the connection that gives way to a new one. Returns false if there
  /// is none.
  bool EvictOne();
  /// Returns true if a further connection may stay open for its peer to read
  /// the last answer.
  bool MayLinger() const;
  void Remove(Session& session);
  void CloseExpiredSessions();

  Loop& loop_;
  HttpServerLimits limits_;
  HttpServerHandler& handler_;
  TcpEndpoint endpoint_;
  bool open_ = false;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  /// Closed sessions whose functions may still be on the call stack; they are
  /// destroyed from the loop.
  std::vector<std::unique_ptr<Session>> closed_sessions_;
  std::unordered_map<uint64_t, Session*> sessions_by_request_;
  uint64_t next_id_;
  ClientMemory own_memory_;
  ClientMemory& memory_;
  uint64_t refused_bodies_ = 0;
  uint64_t evicted_connections_ = 0;
  /// Connections with a large receive buffer.
  size_t large_buffers_ = 0;
  PipelineCounts pipeline_counts_;
  /// Requests that run behind others of their connections.
  size_t overlapping_ = 0;
};

}  // namespace buckthorncart
