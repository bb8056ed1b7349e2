#include "Plugins/Operators/query_fan_out.h"

#include <utility>

#include "Kernel/context.h"

namespace buckthorncart {
namespace {

constexpr Duration kReplyTimeout = 2s;
/// Query ids hold the `FanOutUser` in the bits from this one up and a running
/// number in the bits below.
constexpr unsigned kUserShift = 48;

}  // namespace

void QueryFanOut::Start(Context& ctx, const std::vector<Address>& daemons,
                        const HttpRequest& request, Callback callback) {
  const uint64_t id = (static_cast<uint64_t>(user_) << kUserShift) | ++last_id_;
  PendingQuery& query = pending_queries_[id];
  query.callback = std::move(callback);
  query.result.missing.insert(daemons.begin(), daemons.end());
  query.awaiting = query.result.missing;
  for (const Address daemon : daemons) {
    ctx.Send(daemon, OperatorQuery{id, request});
  }
  ctx.SetTimerIn(kReplyTimeout, TimerKind::kQueryTimeout, id);
}

void QueryFanOut::Handle(Context& ctx, const Event& event) {
  if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
    const auto* reply = std::get_if<OperatorReply>(&received->message);
    if (reply != nullptr) HandleReply(ctx, received->from, *reply);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    HandleConnectionLost(ctx, lost->peer);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kQueryTimeout) Finish(ctx, timer->argument);
  }
}

void QueryFanOut::HandleReply(Context& ctx, Address from,
                              const OperatorReply& reply) {
  const auto it = pending_queries_.find(reply.id);
  if (it == pending_queries_.end()) return;
  FanOutResult& result = it->second.result;
  if (result.missing.erase(from) == 0) return;
  result.replies[from] = {reply.status, reply.body};
  it->second.awaiting.erase(from);
  if (it->second.awaiting.empty()) Finish(ctx, reply.id);
}

void QueryFanOut::HandleConnectionLost(Context& ctx, Address peer) {
  std::vector<uint64_t> completed;
  for (auto& [id, query] : pending_queries_) {
    if (query.awaiting.erase(peer) == 0) continue;
    if (query.awaiting.empty()) completed.push_back(id);
  }
  for (const uint64_t id : completed) Finish(ctx, id);
}

void QueryFanOut::Finish(Context& ctx, uint64_t id) {
  const auto it = pending_queries_.find(id);
  if (it == pending_queries_.end()) return;
  const PendingQuery query = std::move(it->second);
  pending_queries_.erase(it);
  query.callback(ctx, query.result);
}

std::vector<Address> LiveDaemons(Context& ctx) {
  std::vector<Address> daemons = {ctx.Settings().self};
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kGone) daemons.push_back(address);
  }
  return daemons;
}

}  // namespace buckthorncart
