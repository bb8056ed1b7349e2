#include "LoadTool/load_generator.h"

#include <algorithm>
#include <utility>

namespace buckthorncart {
namespace {

constexpr Duration kSendInterval = 1ms;
constexpr Duration kFinalAnswerTimeout = 10s;
/// Time for which a target that is unreachable or draining is avoided.
constexpr Duration kAvoidanceTime = 200ms;

}  // namespace

int64_t LoadReport::LatencyQuantile(double share) {
  if (latencies_us.empty()) return 0;
  const auto n = static_cast<ptrdiff_t>(
      share * static_cast<double>(latencies_us.size() - 1));
  std::nth_element(latencies_us.begin(), latencies_us.begin() + n,
                   latencies_us.end());
  return latencies_us[static_cast<size_t>(n)];
}

LoadGenerator::LoadGenerator(Loop& loop, const LoadSettings& settings)
    : loop_(loop),
      settings_(settings),
      client_(loop, [this](uint64_t id, const AnswerPart& part,
                           BackendFault fault) { OnPart(id, part, fault); }) {}

Result<void> LoadGenerator::Start() {
  auto opened = client_.Open("load");
  if (!opened) return opened;
  started_ = Loop::Now();
  SendScheduled();
  return {};
}

void LoadGenerator::SendScheduled() {
  const Duration elapsed = Loop::Now() - started_;
  if (elapsed < settings_.duration) {
    const auto target =
        static_cast<uint64_t>(std::chrono::duration<double>(elapsed).count() *
                              settings_.rate_per_second);
    for (; scheduled_ < target; ++scheduled_) SendOne();
  } else if (pending_.empty() ||
             elapsed > settings_.duration + kFinalAnswerTimeout) {
    report_.broken += pending_.size();
    loop_.Stop();
    return;
  }
  loop_.RunIn(kSendInterval, [this] { SendScheduled(); });
}

void LoadGenerator::StopSending() {
  settings_.duration = std::min(settings_.duration, Loop::Now() - started_);
}

void LoadGenerator::SendOne() {
  if (pending_.size() >= settings_.max_in_flight) {
    ++report_.withheld;
    return;
  }
  const uint64_t id = ++next_id_;
  Pending& pending = pending_[id];
  pending.sent = Loop::Now();
  pending.target = id % settings_.targets.size();
  Attempt(id, pending);
}

void LoadGenerator::Attempt(uint64_t id, Pending& pending) {
  const size_t n = settings_.targets.size();
  for (size_t i = 0; i < n; ++i) {
    if (Loop::Now() >= avoided_until_[pending.target]) break;
    pending.target = (pending.target + 1) % n;
  }
  ++pending.attempts;
  HttpRequest request;
  request.method = settings_.method;
  request.path = settings_.path;
  request.headers.push_back(
      {std::string(header::kRequestId), std::to_string(id)});
  if (settings_.deadline_ms != 0) {
    request.headers.push_back({std::string(header::kDeadline),
                               std::to_string(settings_.deadline_ms)});
  }
  if (!settings_.key_prefix.empty()) {
    request.headers.push_back({std::string(header::kIdempotencyKey),
                               settings_.key_prefix + std::to_string(id)});
  }
  client_.Send(id, settings_.targets[pending.target], std::move(request));
}

/// Returns whether a request was not run and may be sent to another target.
bool LoadGenerator::MayFailOver(const Pending& pending,
                                BackendFault fault) const {
  if (!settings_.fail_over) return false;
  if (pending.attempts > settings_.targets.size()) return false;
  if (fault == BackendFault::kNotConnected) return true;
  return fault == BackendFault::kNone &&
         pending.reason == NameOf(Errc::kDraining) &&
         pending.outcome == NameOf(Outcome::kNotRun);
}

void LoadGenerator::OnPart(uint64_t id, const AnswerPart& part,
                           BackendFault fault) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Pending& pending = it->second;
  if (part.IsHead()) {
    pending.status = part.status;
    pending.outcome = FindHeader(part.headers, header::kOutcome);
    pending.reason = FindHeader(part.headers, header::kReason);
  }
  pending.bytes += part.body.size();
  if (part.end == AnswerEnd::kMore) return;
  if (!MayFailOver(pending, fault)) {
    Classify(pending, fault);
    pending_.erase(it);
    return;
  }
  ++report_.moved;
  avoided_until_[pending.target] = Loop::Now() + kAvoidanceTime;
  Pending next;
  next.sent = pending.sent;
  next.target = pending.target;
  next.attempts = pending.attempts;
  pending = next;
  // Deferred, since the client must not be called from its own handler.
  loop_.RunIn(Duration(1), [this, id] {
    const auto moved = pending_.find(id);
    if (moved != pending_.end()) Attempt(id, moved->second);
  });
}

void LoadGenerator::Classify(const Pending& pending, BackendFault fault) {
  constexpr uint16_t kHttpOk = 200;
  if (fault != BackendFault::kNone) {
    ++report_.broken;
    return;
  }
  if (pending.status != kHttpOk) {
    ++report_.reasons[pending.reason];
    ++(pending.outcome == NameOf(Outcome::kNotRun) ? report_.not_run
                                                   : report_.unknown);
    return;
  }
  if (pending.bytes != settings_.expected_bytes) {
    ++report_.wrong;
    return;
  }
  ++report_.whole;
  report_.latencies_us.push_back((Loop::Now() - pending.sent).count());
}

}  // namespace buckthorncart
