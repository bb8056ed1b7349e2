#pragma once
/// \file
/// Definitions of `CallRouter` that handle withheld bodies. Include
/// call_router.h instead.

#include <algorithm>

#include "Plugins/Requests/body_rules.h"
#include "Plugins/Requests/call_router.h"

namespace buckthorncart {

template <BackendChoice Choice, RequestRules Rules>
uint64_t CallRouter<Choice, Rules>::BytesToWithhold(
    Context& ctx, const ActiveCall& active, const Member& member) const {
  // The claim of an idempotency key covers the whole request.
  const bool possible = Rules::kWithholdBodies && member.link_kbps > 0 &&
                        member.address != ctx.Settings().self &&
                        active.idempotency_key.empty();
  if (!possible) return 0;
  const uint64_t bytes = active.request.body.size();
  const uint32_t kbps = std::min(member.link_kbps, ctx.Settings().link_kbps);
  return ShouldWithholdBody(bytes, kbps) ? bytes : 0;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::AddBodyTime(Context& ctx,
                                            const ActiveCall& active,
                                            const Member& member,
                                            Candidate& candidate) const {
  const uint64_t withheld = BytesToWithhold(ctx, active, member);
  if (withheld == 0) return;
  const uint32_t kbps = std::min(member.link_kbps, ctx.Settings().link_kbps);
  candidate.body_time = LinkTime(withheld, kbps);
  candidate.link_wait = backend_stats_.LinkWaitOf(member.address, ctx.Now());
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleBodyRequest(Context& ctx, Address from,
                                                  const BodyRequest& request) {
  ActiveCall* active = FindActiveCall(from, request.id);
  if (active == nullptr) return;
  const std::string& body = active->request.body.Text();
  const bool is_next = request.offset == active->body_bytes_sent &&
                       request.bytes <= active->withheld_bytes - request.offset;
  if (!is_next) return;
  active->body_bytes_sent += request.bytes;
  ctx.Send(from, BodyPiece{request.id, request.offset,
                           body.substr(request.offset, request.bytes)});
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::IsBodyIncomplete(const ActiveCall& active) {
  return active.body_bytes_sent < active.withheld_bytes;
}

}  // namespace buckthorncart
