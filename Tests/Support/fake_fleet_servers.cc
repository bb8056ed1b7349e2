/// \file
/// The platform and the backend servers of `FakeFleet`.

#include <algorithm>
#include <utility>

#include "Support/fake_fleet.h"

namespace buckthorncart {
namespace {

constexpr Duration kPlatformDelay = 2ms;
/// Path at which the backend servers answer health checks.
constexpr std::string_view kHealthPath = "/health";

}  // namespace

void FakeFleet::HandlePlatformCall(FakeDaemon& from, const CallPlatform& call) {
  const uint32_t n = NumberOf(from.Self());
  if (platform_fault_ == PlatformFault::kDown) {
    Schedule(
        kPlatformDelay, n,
        PlatformReplied{call.tag, {PlatformStatus::kUnavailable, {}, {}, 0}});
    return;
  }
  if (platform_fault_ == PlatformFault::kSilent) return;
  if (refused_daemons_.contains(n)) {
    Schedule(
        kPlatformDelay, n,
        PlatformReplied{call.tag, {PlatformStatus::kUnavailable, {}, {}, 0}});
    return;
  }
  if (const auto* watch = std::get_if<WatchRow>(&call.request)) {
    HandleWatch(from, call.tag, *watch);
    return;
  }
  const bool write = std::holds_alternative<Transaction>(call.request) ||
                     std::holds_alternative<PutObject>(call.request);
  ++(write ? platform_writes_ : platform_reads_);
  PlatformReply reply = table_.Apply(call.request);
  if (platform_fault_ == PlatformFault::kLoseAnswers) {
    reply = {PlatformStatus::kUnknown, {}, {}, 0};
  }
  ReplyFromPlatform(n, call.tag, std::move(reply));
}

void FakeFleet::ReplyFromPlatform(uint32_t to, uint64_t tag,
                                  PlatformReply reply) {
  reply.era = platform_era_;
  Schedule(kPlatformDelay, to, PlatformReplied{tag, std::move(reply)});
}

void FakeFleet::HandleWatch(FakeDaemon& from, uint64_t tag,
                            const WatchRow& watch) {
  const uint32_t n = NumberOf(from.Self());
  ++platform_reads_;
  if (watch.after < history_start_ || watch.after > table_.Version()) {
    ReplyFromPlatform(n, tag, {PlatformStatus::kHistoryLost, {}, {}, 0});
    return;
  }
  watches_.push_back({n, process_ids_.at(n), tag, watch,
                      now_ + std::chrono::milliseconds(watch.wait_ms)});
  ServeWatches();
}

void FakeFleet::ServeWatches() {
  const bool down = platform_fault_ != PlatformFault::kNone;
  std::erase_if(watches_, [&](const PendingWatch& pending) {
    const auto process = process_ids_.find(pending.daemon);
    const bool gone =
        process == process_ids_.end() || process->second != pending.process;
    if (gone || down || refused_daemons_.contains(pending.daemon)) return gone;
    PlatformReply reply = table_.Apply(pending.watch);
    if (reply.rows.empty() && now_ < pending.until) return false;
    ReplyFromPlatform(pending.daemon, pending.tag, std::move(reply));
    return true;
  });
}

void FakeFleet::RestorePlatform(const MemoryTable& copy, bool keeps_watches) {
  table_ = copy;
  ++platform_era_;
  if (!keeps_watches) BreakWatches();
}

void FakeFleet::BreakWatches() {
  for (const PendingWatch& pending : std::exchange(watches_, {})) {
    const PlatformReply broken{PlatformStatus::kUnknown, {}, {}, 0};
    Schedule(kPlatformDelay, pending.daemon,
             PlatformReplied{pending.tag, broken});
  }
}

void FakeFleet::Put(const std::string& key, const std::string& value) {
  table_.Apply(Transaction{{}, {{key, value}}});
  ServeWatches();
}

void FakeFleet::HandleBackendCancel(const FakeDaemon& from,
                                    const CancelBackendCall& cancel) {
  busy_until_[NumberOf(from.Self())].erase(cancel.run);
  modelled_until_[NumberOf(from.Self())].erase(cancel.run);
  ++cancelled_;
}

bool FakeFleet::Sheds(uint32_t n, uint64_t run) {
  const BackendBehaviour& behaviour = behaviours_[n];
  auto& busy = busy_until_[n];
  std::erase_if(busy, [this](const auto& it) { return it.second <= now_; });
  if (behaviour.sheds) return true;
  if (behaviour.slots == 0) return false;
  if (busy.size() >= behaviour.slots) return true;
  busy[run] = now_ + behaviour.time;
  return false;
}

Duration FakeFleet::RunTime(uint32_t n, const BackendBehaviour& behaviour,
                            const CallBackend& call) {
  if (!behaviour.time_of) return behaviour.time;
  auto& running = modelled_until_[n];
  std::erase_if(running, [this](const auto& it) { return it.second <= now_; });
  const Duration time = behaviour.time_of(
      call.request, static_cast<uint32_t>(running.size()) + 1, now_);
  running[call.run] = now_ + time;
  return time;
}

BackendBehaviour FakeFleet::BehaviourFor(uint32_t n,
                                         const HttpRequest& request) {
  BackendBehaviour& own = behaviours_[n];
  BackendBehaviour behaviour = own;
  if (own.dead) {
    behaviour.fault = BackendFault::kNotConnected;
  } else if (!own.fatal_path.empty() &&
             request.path.find(own.fatal_path) != std::string::npos) {
    behaviour.fault = BackendFault::kConnectionBroken;
    own.dead = true;
  }
  return behaviour;
}

void FakeFleet::HandleBackendCall(FakeDaemon& from, const CallBackend& call) {
  const uint32_t n = NumberOf(from.Self());
  const BackendBehaviour behaviour = BehaviourFor(n, call.request);
  if (call.request.path == kHealthPath) {
    AnswerPart part;
    part.status = behaviour.healthy_id.empty() ? 503 : 200;
    part.headers = {{std::string(header::kBackendId), behaviour.healthy_id}};
    part.end = AnswerEnd::kComplete;
    Schedule(1ms, n, BackendAnswered{call.run, part, BackendFault::kNone});
    return;
  }
  if (Sheds(n, call.run)) {
    AnswerPart part;
    part.status = 503;
    part.headers = {{std::string(header::kOutcome), "not-run"}};
    part.end = AnswerEnd::kComplete;
    Schedule(1ms, n, BackendAnswered{call.run, part, BackendFault::kNone});
    return;
  }
  if (behaviour.fault != BackendFault::kNotConnected) {
    ++runs_[n];
    const std::string key(
        FindHeader(call.request.headers, header::kIdempotencyKey));
    if (!key.empty()) ++runs_by_key_[key];
  }
  if (behaviour.never_answers) return;
  Duration at{};
  for (const AnswerPart& part : behaviour.parts) {
    at += behaviour.time;
    const bool broken = part.end == AnswerEnd::kBroken;
    Schedule(at, n,
             BackendAnswered{call.run, part,
                             broken ? BackendFault::kConnectionBroken
                                    : BackendFault::kNone});
  }
  if (!behaviour.parts.empty()) return;
  AnswerPart part;
  Duration time = RunTime(n, behaviour, call);
  if (behaviour.fault == BackendFault::kNone) {
    constexpr uint16_t kHttpOk = 200;
    constexpr uint16_t kServerError = 500;
    const auto is_one_of = [&](uint32_t every) {
      return every != 0 && runs_[n] % every == 0;
    };
    part.status = is_one_of(behaviour.failure_every) ? kServerError : kHttpOk;
    if (is_one_of(behaviour.slow_every)) time = behaviour.slow_time;
    part.body = "answer of " + std::to_string(n) + " to " + call.request.path;
    part.end = AnswerEnd::kComplete;
  } else {
    part.end = AnswerEnd::kBroken;
  }
  Schedule(time, n,
           BackendAnswered{call.run, std::move(part), behaviour.fault});
}

void FakeFleet::HandleCallerAnswer(const AnswerCaller& answer) {
  AnswerPart& joined = caller_answers_[answer.call];
  if (answer.part.IsHead()) {
    joined.status = answer.part.status;
    joined.headers = answer.part.headers;
  }
  joined.body += answer.part.body;
  joined.end = answer.part.end;
  answered_at_[answer.call] = now_;
}

}  // namespace buckthorncart
