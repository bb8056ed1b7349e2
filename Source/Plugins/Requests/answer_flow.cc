#include "Plugins/Requests/answer_flow.h"

#include <algorithm>
#include <memory>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(PluginRank::kAnswerFlow,
                                       [](const KernelSettings& /*settings*/) {
                                         return std::make_unique<AnswerFlow>();
                                       });

}  // namespace

void AnswerFlow::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void AnswerFlow::Handle(Context& ctx, const Event& event) {
  if (const auto* answered = std::get_if<BackendAnswered>(&event)) {
    HandleBackendAnswered(ctx, *answered);
  } else if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *received);
  } else if (const auto* written = std::get_if<AnswerBytesWritten>(&event)) {
    GrantCredit(ctx, *written);
  } else if (const auto* left = std::get_if<CallerDisconnected>(&event)) {
    sources_.erase(left->call);
  }
}

void AnswerFlow::HandleBackendAnswered(Context& ctx,
                                       const BackendAnswered& answered) {
  if (answered.part.end != AnswerEnd::kMore) {
    flows_.erase(answered.run);
    return;
  }
  Flow& flow = flows_[answered.run];
  flow.outstanding += answered.part.body.size();
  if (flow.paused || flow.outstanding < ctx.Settings().answer_window_bytes)
    return;
  flow.paused = true;
  counters_.Add(AnswerFlowCounter::kPauses);
  ctx.Emit(PauseBackendRead{answered.run});
}

void AnswerFlow::HandlePeerMessage(Context& ctx,
                                   const PeerMessageReceived& received) {
  if (const auto* credit = std::get_if<CallCredit>(&received.message)) {
    ApplyCredit(ctx, received.from, credit->id, credit->bytes);
    return;
  }
  const auto* answer = std::get_if<CallAnswer>(&received.message);
  if (answer == nullptr) return;
  if (answer->part.end == AnswerEnd::kMore) {
    sources_[answer->id] = received.from;
  } else {
    sources_.erase(answer->id);
  }
}

void AnswerFlow::GrantCredit(Context& ctx, const AnswerBytesWritten& written) {
  const auto it = sources_.find(written.call);
  if (it == sources_.end()) return;
  ctx.Send(it->second, CallCredit{written.call, written.bytes});
}

void AnswerFlow::ApplyCredit(Context& ctx, Address from, uint64_t call,
                             uint64_t bytes) {
  const auto run = ctx.Shared().run_by_call->find({from, call});
  if (run == ctx.Shared().run_by_call->end()) return;
  const auto it = flows_.find(run->second);
  if (it == flows_.end()) return;
  Flow& flow = it->second;
  flow.outstanding -= std::min(flow.outstanding, bytes);
  if (!flow.paused || flow.outstanding > ctx.Settings().answer_window_bytes / 2)
    return;
  flow.paused = false;
  counters_.Add(AnswerFlowCounter::kResumes);
  ctx.Emit(ResumeBackendRead{run->second});
}

}  // namespace buckthorncart
