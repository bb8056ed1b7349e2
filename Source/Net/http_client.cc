#include "Net/http_client.h"

#include <utility>

#include "Net/http_connection.h"

namespace buckthorncart {

HttpClient::HttpClient(Loop& loop, HttpAnswerHandler handler,
                       HttpClientSettings settings)
    : loop_(loop),
      handler_(std::move(handler)),
      settings_(std::move(settings)),
      endpoint_(loop, DeadPeerDetection::kKeepaliveAndUserTimeout) {}

HttpClient::~HttpClient() = default;

Result<void> HttpClient::Open(const std::string& name) {
  return endpoint_.Open(name);
}

void HttpClient::Send(uint64_t id, Address to, const HttpRequest& request,
                      bool repeatable) {
  const std::string request_id(
      FindHeader(request.headers, settings_.request_id_header));
  Connection* connection = TakeIdle(to, request_id, repeatable);
  if (connection == nullptr) connection = &Connect(to);
  connections_by_request_[id] = connection;
  connection->Send(id, request);
  if (connection->IsOpen()) return;
  loop_.RunIn(settings_.connect_timeout, [this, id] {
    const auto it = connections_by_request_.find(id);
    if (it == connections_by_request_.end() || it->second->IsOpen()) return;
    it->second->HandleConnectTimeout();
  });
}

HttpClient::Connection* HttpClient::TakeIdle(Address to,
                                             const std::string& request_id,
                                             bool repeatable) {
  const auto it = idle_connections_.find(to);
  if (it == idle_connections_.end()) return nullptr;
  const Time now = Loop::Now();
  std::vector<Connection*>& idle = it->second;
  // Connections are ordered by last use: those before one that has been idle
  // for too long have been idle for longer.
  for (size_t i = idle.size(); i-- > 0;) {
    Connection* connection = idle[i];
    if (!connection->IsUsable(now, true)) {
      connection->Drop();
      continue;
    }
    if (!connection->IsUsable(now, repeatable)) return nullptr;
    if (connection->HasFailed(request_id)) continue;
    if (!repeatable && connection->MayRepeatFailure(now)) continue;
    idle.erase(idle.begin() + static_cast<ptrdiff_t>(i));
    return connection;
  }
  return nullptr;
}

HttpClient::Connection& HttpClient::Connect(Address to) {
  auto new_connection = std::make_unique<Connection>(*this, to);
  Connection& connection = *new_connection;
  connections_[&connection] = std::move(new_connection);
  connection.SetStream(endpoint_.Connect(to, connection));
  ++connections_opened_;
  return connection;
}

void HttpClient::AddIdle(Connection& connection) {
  idle_connections_[connection.To()].push_back(&connection);
}

void HttpClient::Remove(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  connections_by_request_.erase(connection.Id());
  const auto idle = idle_connections_.find(connection.To());
  if (idle != idle_connections_.end()) std::erase(idle->second, &connection);
  if (closed_connections_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { closed_connections_.clear(); });
  }
  closed_connections_.push_back(std::move(it->second));
  connections_.erase(it);
}

void HttpClient::Cancel(uint64_t id) {
  const auto it = connections_by_request_.find(id);
  if (it != connections_by_request_.end()) it->second->Drop();
}

void HttpClient::SetReading(uint64_t id, bool reading) {
  const auto it = connections_by_request_.find(id);
  if (it != connections_by_request_.end()) it->second->SetReading(reading);
}

}  // namespace buckthorncart
