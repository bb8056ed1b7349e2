#include "Net/http_client.h"

#include <utility>

#include "Net/http_connection.h"

namespace buckthorncart {

HttpClient::HttpClient(Loop& loop, HttpAnswerHandler handler,
                       HttpClientSettings settings)
    : loop_(loop),
      handler_(std::move(handler)),
      settings_(std::move(settings)),
      host_(loop, SilenceCheck::kAlways) {}

HttpClient::~HttpClient() = default;

Result<void> HttpClient::Open(const std::string& name) {
  return host_.Open(name);
}

void HttpClient::Send(uint64_t id, Address to, const HttpRequest& request,
                      bool repeatable) {
  Connection* connection = TakeIdle(to, repeatable);
  if (connection == nullptr) connection = &Connect(to);
  by_id_[id] = connection;
  connection->Send(id, request);
  if (connection->IsOpen()) return;
  loop_.RunIn(settings_.connect_timeout, [this, id] {
    const auto it = by_id_.find(id);
    if (it == by_id_.end() || it->second->IsOpen()) return;
    it->second->GiveUpOpening();
  });
}

HttpClient::Connection* HttpClient::TakeIdle(Address to, bool repeatable) {
  const auto it = idle_.find(to);
  if (it == idle_.end()) return nullptr;
  const Time now = Loop::Now();
  std::vector<Connection*>& idle = it->second;
  // The one used last is the youngest: if it is too old, all are.
  while (!idle.empty()) {
    Connection* connection = idle.back();
    if (connection->IsUsable(now, repeatable)) {
      idle.pop_back();
      return connection;
    }
    if (connection->IsUsable(now, true)) return nullptr;
    connection->Drop();
  }
  return nullptr;
}

HttpClient::Connection& HttpClient::Connect(Address to) {
  auto owned = std::make_unique<Connection>(*this, to);
  Connection& connection = *owned;
  connections_[&connection] = std::move(owned);
  connection.SetStream(host_.Connect(to, connection));
  ++connections_opened_;
  return connection;
}

void HttpClient::KeepIdle(Connection& connection) {
  idle_[connection.To()].push_back(&connection);
}

void HttpClient::Remove(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  by_id_.erase(connection.Id());
  const auto idle = idle_.find(connection.To());
  if (idle != idle_.end()) std::erase(idle->second, &connection);
  if (ended_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { ended_.clear(); });
  }
  ended_.push_back(std::move(it->second));
  connections_.erase(it);
}

void HttpClient::Cancel(uint64_t id) {
  const auto it = by_id_.find(id);
  if (it != by_id_.end()) it->second->Drop();
}

void HttpClient::SetReading(uint64_t id, bool reading) {
  const auto it = by_id_.find(id);
  if (it != by_id_.end()) it->second->SetReading(reading);
}

}  // namespace buckthorncart
