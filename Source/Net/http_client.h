#pragma once
/// \file
/// HTTP/1.1 client that keeps connections for reuse.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Kernel/event.h"
#include "Net/loop.h"
#include "Net/tcp_host.h"
#include "Wire/http.h"
#include "Wire/http_limits.h"

namespace buckthorncart {

/// Receives the parts of answers; the last one has an end or a fault.
using HttpAnswerHandler =
    std::function<void(uint64_t id, AnswerPart part, BackendFault fault)>;

struct HttpClientSettings {
  HttpLimits limits;
  /// Time for a connection to open.
  Duration connect_timeout = 1s;
  /// Answers up to this size are handed on whole, in one part; 0 hands on what
  /// arrives.
  size_t whole_answer_bytes = 0;
  /// Header by which an answer names its request, in lower case; empty if
  /// answers name none. An answer that names another request is dropped.
  std::string request_id_header;
};

class HttpClient {
 public:
  HttpClient(Loop& loop, HttpAnswerHandler handler,
             HttpClientSettings settings = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Must succeed before `Send`.
  Result<void> Open(const std::string& name);

  /// Sends `request` on an idle connection or a new one. One that is not
  /// `repeatable` stays off connections that the peer may be closing. The
  /// answer never arrives before this returns.
  void Send(uint64_t id, Address to, const HttpRequest& request,
            bool repeatable = true);
  /// Stops or goes on reading the answer to request `id`.
  void SetReading(uint64_t id, bool reading);
  /// Closes the connection of request `id`; its handler hears no more.
  void Cancel(uint64_t id);
  uint64_t ConnectionsOpened() const { return connections_opened_; }

 private:
  class Connection;

  Connection* TakeIdle(Address to, bool repeatable);
  Connection& Connect(Address to);
  void KeepIdle(Connection& connection);
  void Remove(Connection& connection);

  Loop& loop_;
  HttpAnswerHandler handler_;
  HttpClientSettings settings_;
  TcpHost host_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  /// Connections that have ended and may still be on the call stack.
  std::vector<std::unique_ptr<Connection>> ended_;
  std::unordered_map<uint64_t, Connection*> by_id_;
  /// Idle connections, the one used last at the end.
  std::map<Address, std::vector<Connection*>> idle_;
  uint64_t connections_opened_ = 0;
};

}  // namespace buckthorncart
