#include "Plugins/Operators/query_gather.h"

#include <utility>

#include "Kernel/context.h"

namespace buckthorncart {
namespace {

constexpr Duration kGatherTimeout = 2s;
/// The owner stands above the number of the query in its id.
constexpr unsigned kOwnerShift = 48;

}  // namespace

void QueryGather::Begin(Context& ctx, const std::vector<Address>& daemons,
                        const HttpRequest& request, Done done) {
  const uint64_t id = (static_cast<uint64_t>(owner_) << kOwnerShift) | ++next_;
  Gathering& gathering = gatherings_[id];
  gathering.done = std::move(done);
  gathering.result.missing.insert(daemons.begin(), daemons.end());
  gathering.pending = gathering.result.missing;
  for (const Address daemon : daemons) {
    ctx.Send(daemon, OperatorQuery{id, request});
  }
  ctx.SetTimerIn(kGatherTimeout, TimerKind::kQueryTimeout, id);
}

void QueryGather::Handle(Context& ctx, const Event& event) {
  if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
    const auto* reply = std::get_if<OperatorReply>(&received->message);
    if (reply != nullptr) NoteReply(ctx, received->from, *reply);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    NoteLost(ctx, lost->peer);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kQueryTimeout) End(ctx, timer->argument);
  }
}

void QueryGather::NoteReply(Context& ctx, Address from,
                            const OperatorReply& reply) {
  const auto it = gatherings_.find(reply.id);
  if (it == gatherings_.end()) return;
  GatheredReplies& result = it->second.result;
  if (result.missing.erase(from) == 0) return;
  result.replies[from] = {reply.status, reply.body};
  it->second.pending.erase(from);
  if (it->second.pending.empty()) End(ctx, reply.id);
}

void QueryGather::NoteLost(Context& ctx, Address peer) {
  std::vector<uint64_t> ended;
  for (auto& [id, gathering] : gatherings_) {
    if (gathering.pending.erase(peer) == 0) continue;
    if (gathering.pending.empty()) ended.push_back(id);
  }
  for (const uint64_t id : ended) End(ctx, id);
}

void QueryGather::End(Context& ctx, uint64_t id) {
  const auto it = gatherings_.find(id);
  if (it == gatherings_.end()) return;
  const Gathering gathering = std::move(it->second);
  gatherings_.erase(it);
  gathering.done(ctx, gathering.result);
}

std::vector<Address> LiveDaemons(Context& ctx) {
  std::vector<Address> daemons = {ctx.Settings().self};
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kGone) daemons.push_back(address);
  }
  return daemons;
}

}  // namespace buckthorncart
