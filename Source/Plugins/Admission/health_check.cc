#include "Plugins/Admission/health_check.h"

#include <memory>
#include <string>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(PluginRank::kAdmission,
                                       [](const KernelSettings& /*settings*/) {
                                         return std::make_unique<HealthCheck>();
                                       });

/// Set in the runs of health checks, which are none of admission.
constexpr uint64_t kHealthCheckBit = 1ULL << 62U;
/// Time after which a check that has not been answered is repeated.
constexpr Duration kCheckTimeout = 1s;
constexpr uint16_t kHttpOk = 200;

}  // namespace

void HealthCheck::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void HealthCheck::Handle(Context& ctx, const Event& event) {
  if (const auto* found = std::get_if<BackendUnconfirmed>(&event)) {
    unconfirmed_ = found->backend;
    Send(ctx);
  } else if (std::holds_alternative<ConfigurationAdopted>(event)) {
    Send(ctx);
  } else if (const auto* known = std::get_if<EarlierBackendKnown>(&event)) {
    if (known->is_conclusive) unconfirmed_.reset();
  } else if (const auto* answered = std::get_if<BackendAnswered>(&event)) {
    if (answered->run == run_) HandleAnswer(ctx, *answered);
  }
}

void HealthCheck::Send(Context& ctx) {
  if (!unconfirmed_) return;
  const auto& services = ctx.Shared().held->configuration.services;
  const auto it = services.find(unconfirmed_->service);
  if (it == services.end() || it->second.health_path.empty()) return;
  if (run_ != 0) {
    if (ctx.Now() - sent_at_ < kCheckTimeout) return;
    ctx.Emit(CancelBackendCall{run_});
  }
  counters_.Add(HealthCheckCounter::kChecks);
  run_ = kHealthCheckBit | ++checks_;
  sent_at_ = ctx.Now();
  ctx.Emit(CallBackend{
      run_, ctx.Settings().backend, {"GET", it->second.health_path, {}, {}}});
}

void HealthCheck::HandleAnswer(Context& ctx, const BackendAnswered& answered) {
  const AnswerPart& part = answered.part;
  // The rest of the answer is of no use.
  if (part.end == AnswerEnd::kMore) ctx.Emit(CancelBackendCall{run_});
  run_ = 0;
  const bool confirmed =
      unconfirmed_ && part.status == kHttpOk &&
      FindHeader(part.headers, header::kBackendId) == unconfirmed_->id;
  if (!confirmed) return;
  counters_.Add(HealthCheckCounter::kConfirmed);
  ctx.Raise(EarlierBackendKnown{{}, true});
}

}  // namespace buckthorncart
