#include "Kernel/kernel.h"

#include <utility>

namespace buckthorncart {
namespace {

/// Interval of the tick timer; the kernel expects an event at least this often.
constexpr Duration kTickInterval = 200ms;

}  // namespace

Kernel::Kernel(const KernelSettings& settings,
               std::vector<std::unique_ptr<Plugin>> plugins)
    : context_(settings, settings.seed), plugins_(std::move(plugins)) {
  for (const auto& plugin : plugins_) plugin->Attach(context_);
}

std::vector<Effect> Kernel::Handle(Time now, const Event& event) {
  if (const auto* started = std::get_if<Started>(&event)) {
    context_.now_ = now;
    context_.started_ = now;
    context_.shared_.started_wall_ms = started->wall_ms;
    context_.SetTimerIn(kTickInterval, TimerKind::kTick);
  }
  const Time last = std::exchange(context_.now_, now);
  const Duration elapsed = now - last;
  if (elapsed > std::chrono::milliseconds(context_.settings_.peer_timeout_ms)) {
    DispatchOne(EventLoopStalled{static_cast<uint64_t>(elapsed.count())});
    DispatchRaised();
  }
  DispatchOne(event);
  DispatchRaised();
  return std::exchange(context_.effects_, {});
}

void Kernel::DispatchOne(const Event& event) {
  if (const auto* timer = std::get_if<TimerFired>(&event);
      timer != nullptr && timer->kind == TimerKind::kTick) {
    context_.SetTimerIn(kTickInterval, TimerKind::kTick);
  }
  if (const auto* request = std::get_if<OperatorRequested>(&event)) {
    DispatchOperator(*request);
    return;
  }
  if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* query = std::get_if<OperatorQuery>(&received->message)) {
      const uint64_t id =
          context_.RegisterRemoteRequest(received->from, query->id);
      DispatchOperator({id, query->request});
      return;
    }
  }
  for (const auto& plugin : plugins_) plugin->Handle(context_, event);
}

void Kernel::DispatchOperator(const OperatorRequested& request) {
  for (const auto& plugin : plugins_) {
    if (plugin->HandleOperator(context_, request)) return;
  }
  constexpr uint16_t kNotFoundStatus = 404;
  context_.AnswerFailure(
      request.request, kNotFoundStatus,
      {Errc::kNotFound, request.http.method + " " + request.http.path,
       "a method and path of the operators' interface",
       "see docs/reference/operators-interface.md"});
}

void Kernel::DispatchRaised() {
  while (!context_.raised_.empty()) {
    const Event event = std::move(context_.raised_.front());
    context_.raised_.pop_front();
    DispatchOne(event);
  }
}

}  // namespace buckthorncart
