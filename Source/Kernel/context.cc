#include "Kernel/context.h"

#include "Kernel/failure_json.h"

namespace buckthorncart {

uint64_t Context::WallMilliseconds() const {
  return shared_.started_wall_ms +
         static_cast<uint64_t>(ToMilliseconds(now_ - started_));
}

uint32_t Context::RandomBelow(uint32_t bound) {
  return bound == 0 ? 0 : random_(bound);
}

void Context::Send(Address to, PeerMessage message) {
  if (to == settings_.self) {
    Raise(PeerMessageReceived{to, std::move(message)});
    return;
  }
  Emit(SendPeer{to, std::move(message)});
}

void Context::SendUdp(Address to, Datagram message) {
  Emit(SendDatagram{to, std::move(message)});
}

void Context::SetTimerIn(Duration delay, TimerKind kind, uint64_t argument) {
  Emit(SetTimer{now_ + delay, kind, argument});
}

void Context::Log(LogTopic topic,
                  std::vector<std::pair<std::string, std::string>> fields,
                  LogLevel level) {
  const auto suppressed = log_rate_limiter_.Allow(topic, now_);
  if (!suppressed) return;
  if (*suppressed > 0) {
    fields.emplace_back("left_out", std::to_string(*suppressed));
  }
  Emit(LogRecord{topic, std::move(fields), level});
}

void Context::AnswerJson(uint64_t request, uint16_t status, std::string body) {
  Answer(request, status, "application/json", std::move(body));
}

void Context::AnswerText(uint64_t request, uint16_t status, std::string body) {
  Answer(request, status, "text/plain; version=0.0.4", std::move(body));
}

void Context::AnswerFailure(uint64_t request, uint16_t status,
                            const Failure& failure) {
  AnswerJson(request, status, FailureJson(failure));
}

uint64_t Context::RegisterRemoteRequest(Address from, uint64_t remote_id) {
  const uint64_t id = kRemoteRequestBit | ++next_remote_request_;
  remote_requests_[id] = {from, remote_id};
  return id;
}

void Context::Answer(uint64_t request, uint16_t status,
                     std::string content_type, std::string body) {
  if ((request & kRemoteRequestBit) == 0) {
    Emit(AnswerOperator{request, status, std::move(content_type),
                        std::move(body)});
    return;
  }
  const auto it = remote_requests_.find(request);
  if (it == remote_requests_.end()) return;
  const RemoteRequest remote = it->second;
  remote_requests_.erase(it);
  Send(remote.from, OperatorReply{remote.id, status, std::move(body)});
}

}  // namespace buckthorncart
