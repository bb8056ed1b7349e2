#include "Net/http_server.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Net/connection_eviction.h"
#include "Net/http_session.h"

namespace buckthorncart {
namespace {

constexpr Duration kTimeoutCheckInterval = 1s;
/// Closed connections that may wait for their peers to read the last answer:
/// one for this many open connections, and at least the given number.
constexpr size_t kConnectionsPerLingering = 4;
constexpr size_t kMinLingering = 16;

}  // namespace

uint16_t HttpStatusOf(ReadState fault) {
  constexpr uint16_t kBadRequest = 400;
  constexpr uint16_t kContentTooLarge = 413;
  constexpr uint16_t kHeadersTooLarge = 431;
  if (fault == ReadState::kBodyTooLarge) return kContentTooLarge;
  return fault == ReadState::kHeadTooLarge ? kHeadersTooLarge : kBadRequest;
}

AnswerPart HttpServerHandler::MakeErrorAnswer(ReadState fault) {
  AnswerPart part;
  part.status = HttpStatusOf(fault);
  part.end = AnswerEnd::kComplete;
  return part;
}

AnswerPart HttpServerHandler::MakeOverloadAnswer() {
  constexpr uint16_t kServiceUnavailable = 503;
  AnswerPart part;
  part.status = kServiceUnavailable;
  part.end = AnswerEnd::kComplete;
  return part;
}

HttpServer::HttpServer(Loop& loop, const HttpServerLimits& limits,
                       HttpServerHandler& handler, uint64_t last_id,
                       ClientMemory* memory)
    : loop_(loop),
      limits_(limits),
      handler_(handler),
      endpoint_(loop, DeadPeerDetection::kKeepalive),
      next_id_(last_id),
      own_memory_(limits.memory),
      memory_(memory == nullptr ? own_memory_ : *memory) {}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::Bind(const std::string& name, Address address) {
  if (!open_) {
    const Result<void> opened = endpoint_.Open(name);
    if (!opened) return opened;
    open_ = true;
    loop_.RunIn(kTimeoutCheckInterval, [this] { CloseExpiredSessions(); });
  }
  return endpoint_.Bind(
      address, [this](Stream& stream) { Accept(stream); },
      limits_.receive_buffer_bytes);
}

Result<void> HttpServer::StartListening() { return endpoint_.StartListening(); }

Result<void> HttpServer::Listen(const std::string& name, Address address) {
  const Result<void> bound = Bind(name, address);
  return bound ? StartListening() : bound;
}

void HttpServer::StopListening() { endpoint_.StopListening(); }

void HttpServer::Accept(Stream& stream) {
  if (sessions_.size() >= limits_.connections && !EvictOne()) {
    stream.Abort();
    return;
  }
  auto owned_session = std::make_unique<Session>(*this, stream);
  stream.SetHandler(owned_session.get());
  Session* session = owned_session.get();
  sessions_[session] = std::move(owned_session);
}

bool HttpServer::EvictOne() {
  const Time now = Loop::Now();
  Session* chosen = nullptr;
  std::optional<EvictionRank> lowest;
  for (const auto& [session, owned_session] : sessions_) {
    const auto rank = RankForEviction(session->Activity(), now);
    if (!rank || (lowest && *lowest <= *rank)) continue;
    lowest = rank;
    chosen = session;
  }
  if (chosen == nullptr) return false;
  ++evicted_connections_;
  chosen->GiveWay();
  return true;
}

bool HttpServer::MayLinger() const {
  const size_t lingering = endpoint_.ConnectionCount() - sessions_.size();
  return lingering < std::max(limits_.connections / kConnectionsPerLingering,
                              kMinLingering);
}

void HttpServer::Remove(Session& session) {
  const auto it = sessions_.find(&session);
  if (it == sessions_.end()) return;
  for (const uint64_t id : session.StartedIds()) sessions_by_request_.erase(id);
  memory_.Remove(session);
  if (closed_sessions_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { closed_sessions_.clear(); });
  }
  closed_sessions_.push_back(std::move(it->second));
  sessions_.erase(it);
}

void HttpServer::CloseExpiredSessions() {
  const Time now = Loop::Now();
  std::vector<Session*> sessions;
  for (const auto& [session, owned_session] : sessions_)
    sessions.push_back(session);
  for (Session* session : sessions) session->CloseIfExpired(now);
  loop_.RunIn(kTimeoutCheckInterval, [this] { CloseExpiredSessions(); });
}

void HttpServer::Answer(uint64_t id, AnswerPart part, bool close) {
  const auto it = sessions_by_request_.find(id);
  if (it != sessions_by_request_.end())
    it->second->Answer(id, std::move(part), close);
}

void HttpServer::Abort(uint64_t id) {
  const auto it = sessions_by_request_.find(id);
  if (it != sessions_by_request_.end()) it->second->Abort(id);
}

bool HttpServer::IsIdle() const {
  // The last answer of a connection may be with its stream only.
  if (endpoint_.HasUnsentBytes()) return false;
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [](const auto& item) { return item.second->IsBusy(); });
}

Address HttpServer::ClientOf(uint64_t id) const {
  const auto it = sessions_by_request_.find(id);
  return it == sessions_by_request_.end() ? Address{} : it->second->Client();
}

size_t HttpServer::BufferedBytes(uint64_t id) const {
  const auto it = sessions_by_request_.find(id);
  return it == sessions_by_request_.end() ? 0 : it->second->BufferedBytes(id);
}

}  // namespace buckthorncart
