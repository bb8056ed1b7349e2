#pragma once
/// \file
/// HTTP/1.1 client with a pool of keep-alive connections.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Kernel/event.h"
#include "Net/loop.h"
#include "Net/tcp_endpoint.h"
#include "Wire/http.h"
#include "Wire/http_limits.h"

namespace buckthorncart {

/// Receives the parts of an answer; the last part carries the end of the answer
/// or a fault.
using HttpAnswerHandler =
    std::function<void(uint64_t id, AnswerPart part, BackendFault fault)>;

struct HttpClientSettings {
  HttpLimits limits;
  /// Maximum time for establishing a connection.
  Duration connect_timeout = 1s;
  /// Answers up to this size are buffered and delivered in one part; 0 delivers
  /// data as it arrives.
  size_t max_buffered_answer_bytes = 0;
  /// Lower-case name of the header that carries the ID of the request which an
  /// answer belongs to; empty if answers carry none. An answer with the ID of
  /// another request is dropped. A request is not sent on a connection on which
  /// one with its ID has failed before, since a late answer to that one could
  /// not be told from its own; nor is one that must not run twice for some
  /// time after a failed answer without the ID, if the peer sends IDs
  /// otherwise.
  std::string request_id_header;
};

class HttpClient {
 public:
  HttpClient(Loop& loop, HttpAnswerHandler handler,
             HttpClientSettings settings = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Must succeed before `Send` is called.
  Result<void> Open(const std::string& name);

  /// Sends `request` on an idle connection or a new one. A request that is not
  /// `repeatable` is not sent on a connection that the peer may be closing. The
  /// handler is never called before this function returns.
  void Send(uint64_t id, Address to, const HttpRequest& request,
            bool repeatable = true);
  /// Pauses or resumes reading the answer to request `id`.
  void SetReading(uint64_t id, bool reading);
  /// Closes the connection of request `id`; the handler is not called for it
  /// any more.
  void Cancel(uint64_t id);
  uint64_t ConnectionsOpened() const { return connections_opened_; }

 private:
  class Connection;

  Connection* TakeIdle(Address to, const std::string& request_id,
                       bool repeatable);
  Connection& Connect(Address to);
  void AddIdle(Connection& connection);
  void Remove(Connection& connection);

  Loop& loop_;
  HttpAnswerHandler handler_;
  HttpClientSettings settings_;
  TcpEndpoint endpoint_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  /// Closed connections whose functions may still be on the call stack; they
  /// are destroyed from the loop.
  std::vector<std::unique_ptr<Connection>> closed_connections_;
  std::unordered_map<uint64_t, Connection*> connections_by_request_;
  /// Idle connections, ordered by last use; the most recent is at the end.
  std::map<Address, std::vector<Connection*>> idle_connections_;
  /// Peers that have named the request in an answer.
  std::set<Address> peers_with_ids_;
  uint64_t connections_opened_ = 0;
};

}  // namespace buckthorncart
