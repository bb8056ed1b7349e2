#include "Net/http_server.h"

#include <algorithm>
#include <utility>

#include "Net/http_session.h"

namespace buckthorncart {
namespace {

constexpr Duration kSweepInterval = 1s;

}  // namespace

uint16_t StatusOf(ReadState fault) {
  constexpr uint16_t kBadRequest = 400;
  constexpr uint16_t kContentTooLarge = 413;
  constexpr uint16_t kHeadersTooLarge = 431;
  if (fault == ReadState::kBodyTooLarge) return kContentTooLarge;
  return fault == ReadState::kHeadTooLarge ? kHeadersTooLarge : kBadRequest;
}

AnswerPart HttpServerHandler::MakeRefusal(ReadState fault) {
  AnswerPart part;
  part.status = StatusOf(fault);
  part.end = AnswerEnd::kComplete;
  return part;
}

HttpServer::HttpServer(Loop& loop, const HttpServerLimits& limits,
                       HttpServerHandler& handler, uint64_t last_id)
    : loop_(loop),
      limits_(limits),
      handler_(handler),
      host_(loop, SilenceCheck::kIdle),
      next_id_(last_id) {}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::Bind(const std::string& name, Address address) {
  if (!open_) {
    const Result<void> opened = host_.Open(name);
    if (!opened) return opened;
    open_ = true;
    loop_.RunIn(kSweepInterval, [this] { Sweep(); });
  }
  return host_.Bind(address, [this](Stream& stream) { Accept(stream); });
}

Result<void> HttpServer::StartListening() { return host_.StartListening(); }

Result<void> HttpServer::Listen(const std::string& name, Address address) {
  const Result<void> bound = Bind(name, address);
  return bound ? StartListening() : bound;
}

void HttpServer::StopListening() { host_.StopListening(); }

void HttpServer::Accept(Stream& stream) {
  if (sessions_.size() >= limits_.connections) {
    stream.Abort();
    return;
  }
  auto owned = std::make_unique<Session>(*this, stream);
  stream.SetHandler(owned.get());
  Session* session = owned.get();
  sessions_[session] = std::move(owned);
}

void HttpServer::Remove(Session& session) {
  const auto it = sessions_.find(&session);
  if (it == sessions_.end()) return;
  by_id_.erase(session.Id());
  if (ended_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { ended_.clear(); });
  }
  ended_.push_back(std::move(it->second));
  sessions_.erase(it);
}

void HttpServer::Sweep() {
  const Time now = Loop::Now();
  std::vector<Session*> all;
  for (const auto& [session, owned] : sessions_) all.push_back(session);
  for (Session* session : all) session->CheckTime(now);
  loop_.RunIn(kSweepInterval, [this] { Sweep(); });
}

void HttpServer::Answer(uint64_t id, AnswerPart part, bool close) {
  const auto it = by_id_.find(id);
  if (it != by_id_.end()) it->second->Answer(std::move(part), close);
}

void HttpServer::Abort(uint64_t id) {
  const auto it = by_id_.find(id);
  if (it != by_id_.end()) it->second->Abort();
}

bool HttpServer::IsIdle() const {
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [](const auto& item) { return item.second->IsBusy(); });
}

size_t HttpServer::BufferedBytes(uint64_t id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? 0 : it->second->BufferedBytes();
}

}  // namespace buckthorncart
