#include "Plugins/admission.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "Config/value_parsers.h"
#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(PluginRank::kAdmission,
                                       [](const KernelSettings& /*settings*/) {
                                         return std::make_unique<Admission>();
                                       });

constexpr uint32_t kPerMille = 1'000;
constexpr uint32_t kMaxSlots = 10'000;
/// A backend server that has not announced itself for so long is absent.
constexpr Duration kAnnouncementLease = 3s;

Result<BackendAnnouncement> ParseAnnouncement(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto failure = [](const std::string& subject,
                          const std::string& expected) {
    return Fail(Errc::kInvalidValue, subject, expected,
                "see docs/reference/operators-interface.md");
  };
  if (!json.is_object()) return failure("announcement", "a JSON object");
  BackendAnnouncement backend;
  const auto text = [&json](const char* key) {
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
  };
  backend.service = text("service");
  if (!IsName(backend.service)) return failure("service", "a service name");
  const auto state = ParseEnum<BackendState>(text("state"));
  if (!state) return failure("state", NamesOf<BackendState>());
  backend.state = *state;
  const auto slots = json.find("slots");
  const bool valid_slots = slots != json.end() && slots->is_number_unsigned() &&
                           slots->get<uint64_t>() <= kMaxSlots &&
                           slots->get<uint64_t>() > 0;
  if (!valid_slots) return failure("slots", "1 to 10000");
  backend.slots = slots->get<uint32_t>();
  const auto labels = json.find("labels");
  if (labels == json.end()) return backend;
  if (!labels->is_object()) return failure("labels", "an object of names");
  for (const auto& [key, value] : labels->items()) {
    if (!value.is_string() || !IsName(key)) {
      return failure("labels." + key, "a name");
    }
    backend.labels[key] = value.get<std::string>();
  }
  return backend;
}

}  // namespace

void Admission::Attach(Context& ctx) {
  ctx.Shared().run_of_call = &run_of_call_;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("admission_slots_in_use", [this] {
    return static_cast<double>(slots_in_use_);
  });
  ctx.AllMetrics().AddGauge("admission_queue_length", [this] {
    return static_cast<double>(QueueLength());
  });
}

void Admission::Handle(Context& ctx, const Event& event) {
  if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* call = std::get_if<Call>(&message->message)) {
      HandleCall(ctx, message->from, *call);
    } else if (const auto* cancel =
                   std::get_if<CancelCall>(&message->message)) {
      HandleCancel(ctx, message->from, cancel->id);
    }
  } else if (const auto* answered = std::get_if<BackendAnswered>(&event)) {
    HandleAnswer(ctx, *answered);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    HandlePeerLost(ctx, lost->peer);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kQueueDeadline) {
      HandleDeadline(ctx, timer->argument);
    } else if (timer->kind == TimerKind::kTick) {
      const bool lapsed = backend_.state != BackendState::kAbsent &&
                          ctx.Now() - last_announcement_ > kAnnouncementLease;
      if (!lapsed) return;
      BackendAnnouncement absent = backend_;
      absent.state = BackendState::kAbsent;
      SetBackend(ctx, std::move(absent));
    }
  }
}

bool Admission::HandleOperator(Context& ctx, const OperatorRequested& request) {
  const bool mine = request.http.path == "/v1/backend-server" &&
                    request.http.method == "POST";
  if (mine) HandleAnnouncement(ctx, request);
  return mine;
}

void Admission::HandleAnnouncement(Context& ctx,
                                   const OperatorRequested& request) {
  auto backend = ParseAnnouncement(request.http.body);
  if (!backend) {
    ctx.AnswerFailure(request.request, 422, backend.error());
    return;
  }
  last_announcement_ = ctx.Now();
  SetBackend(ctx, std::move(*backend));
  ctx.AnswerJson(request.request, 200, "{\"result\":\"announced\"}\n");
}

void Admission::SetBackend(Context& ctx, BackendAnnouncement backend) {
  if (backend == backend_) return;
  if (backend.state != backend_.state) {
    ctx.Log(LogTopic::kBackendState,
            {{"service", backend.service},
             {"state", std::string(NameOf(backend.state))}});
  }
  backend_ = std::move(backend);
  ctx.Raise(LocalBackendChanged{backend_});
  StartQueued(ctx);
}

Errc Admission::ReasonToRefuse(Context& ctx, const Call& call) const {
  if (ctx.Shared().draining) return Errc::kDraining;
  if (backend_.state == BackendState::kDraining) return Errc::kDraining;
  if (backend_.state != BackendState::kReady) return Errc::kNotReady;
  if (backend_.service != call.service) return Errc::kNoBackendServer;
  if (call.remaining_ms == 0) return Errc::kDeadlineExpired;
  // Unrepeatable calls need a claim, which this daemon cannot take yet.
  if (!call.repeatable) return Errc::kClaimUndecided;
  const bool free_slot = slots_in_use_ < backend_.slots;
  if (!free_slot && QueueLength() >= ctx.Settings().queue_limit) {
    return Errc::kOverloaded;
  }
  return Errc::kOk;
}

void Admission::HandleCall(Context& ctx, Address from, const Call& call) {
  const CallKey key{from, call.id};
  if (run_of_call_.contains(key)) return;
  const Errc reason = ReasonToRefuse(ctx, call);
  if (reason != Errc::kOk) {
    Refuse(ctx, key, reason);
    return;
  }
  const uint64_t number = ++next_run_;
  const Duration remaining = std::chrono::milliseconds(call.remaining_ms);
  runs_[number] = {key, call, ctx.Now() + remaining, false, false};
  run_of_call_[key] = number;
  ctx.Shared().active_runs = static_cast<uint32_t>(runs_.size());
  ctx.SetTimerIn(remaining, TimerKind::kQueueDeadline, number);
  if (slots_in_use_ < backend_.slots && QueueLength() == 0) {
    StartRun(ctx, number);
    return;
  }
  counters_.Add(AdmissionCounter::kQueued);
  queues_[static_cast<size_t>(call.request_class)].push_back(number);
}

void Admission::StartQueued(Context& ctx) {
  for (auto& queue : queues_) {
    while (!queue.empty() && slots_in_use_ < backend_.slots) {
      const uint64_t number = queue.front();
      queue.pop_front();
      if (runs_.contains(number)) StartRun(ctx, number);
    }
  }
}

void Admission::StartRun(Context& ctx, uint64_t number) {
  Run& run = runs_.at(number);
  run.started = true;
  ++slots_in_use_;
  counters_.Add(AdmissionCounter::kRuns);
  HttpRequest request = run.call.request;
  const auto remaining = ToMilliseconds(run.deadline - ctx.Now());
  request.headers.push_back(
      {std::string(header::kDeadline), std::to_string(remaining)});
  ctx.Emit(CallBackend{number, ctx.Settings().backend, std::move(request),
                       run.call.repeatable});
}

void Admission::HandleAnswer(Context& ctx, const BackendAnswered& answered) {
  const auto it = runs_.find(answered.run);
  if (it == runs_.end()) return;
  Run& run = it->second;
  const auto [peer, id] = run.key;
  if (answered.fault == BackendFault::kNotConnected) {
    EndRun(ctx, answered.run);
    Refuse(ctx, {peer, id}, Errc::kBackendServerFailed);
    StartQueued(ctx);
    return;
  }
  const bool broken = answered.fault == BackendFault::kConnectionBroken;
  if (broken && !run.head_sent) {
    counters_.Add(AdmissionCounter::kBroken);
    ctx.Send(peer, CallFailed{id, Errc::kBackendServerFailed});
  } else {
    AnswerPart part = answered.part;
    if (broken) part.end = AnswerEnd::kBroken;
    run.head_sent = true;
    ctx.Send(peer, CallAnswer{id, std::move(part), LoadPerMille()});
  }
  if (!broken && answered.part.end == AnswerEnd::kMore) return;
  counters_.Add(AdmissionCounter::kCompleted);
  EndRun(ctx, answered.run);
  StartQueued(ctx);
}

void Admission::HandleCancel(Context& ctx, Address from, uint64_t id) {
  const auto it = run_of_call_.find({from, id});
  if (it == run_of_call_.end()) return;
  const uint64_t number = it->second;
  counters_.Add(AdmissionCounter::kCancelled);
  if (runs_.at(number).started) ctx.Emit(CancelBackend{number});
  EndRun(ctx, number);
  StartQueued(ctx);
}

void Admission::HandlePeerLost(Context& ctx, Address peer) {
  std::vector<uint64_t> ids;
  for (const auto& [key, number] : run_of_call_) {
    if (key.first == peer && runs_.at(number).call.repeatable) {
      ids.push_back(key.second);
    }
  }
  for (const uint64_t id : ids) HandleCancel(ctx, peer, id);
}

void Admission::HandleDeadline(Context& ctx, uint64_t number) {
  const auto it = runs_.find(number);
  if (it == runs_.end() || it->second.started) return;
  counters_.Add(AdmissionCounter::kExpiredInQueue);
  const CallKey key = it->second.key;
  EndRun(ctx, number);
  Refuse(ctx, key, Errc::kDeadlineExpired);
}

void Admission::EndRun(Context& ctx, uint64_t number) {
  const auto it = runs_.find(number);
  if (it->second.started) --slots_in_use_;
  if (!it->second.started) {
    for (auto& queue : queues_) std::erase(queue, number);
  }
  run_of_call_.erase(it->second.key);
  runs_.erase(it);
  ctx.Shared().active_runs = static_cast<uint32_t>(runs_.size());
}

void Admission::Refuse(Context& ctx, const CallKey& key, Errc reason) {
  counters_.Add(AdmissionCounter::kRefused);
  ctx.Send(key.first, CallRefused{key.second, reason});
}

uint32_t Admission::LoadPerMille() const {
  if (backend_.slots == 0) return kPerMille;
  return (slots_in_use_ + static_cast<uint32_t>(QueueLength())) * kPerMille /
         backend_.slots;
}

size_t Admission::QueueLength() const {
  size_t n = 0;
  for (const auto& queue : queues_) n += queue.size();
  return n;
}

}  // namespace buckthorncart
