#pragma once
/// \file
/// End of operations of `ChangeAcceptor`: holders and answers; include
/// change_acceptor.h.

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Plugins/Configuration/change_acceptor.h"
#include "Plugins/Configuration/operation_answers.h"

namespace buckthorncart {

/// Other data centres that hold a change before it is called accepted.
inline constexpr size_t kWantedHolders = 2;
/// Wait for a holder before another one is asked.
inline constexpr Duration kResendInterval = 300ms;

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::BeginHolders(Context& ctx) {
  current_->phase = Phase::kHolders;
  if (current_->change.digest != 0) {
    ctx.Raise(PeerMessageReceived{ctx.Settings().self,
                                  PushChanges{{current_->change}}});
  }
  ctx.SetTimerIn(std::chrono::milliseconds(ctx.Settings().holders_timeout_ms),
                 TimerKind::kHoldersTimeout, current_->number);
  ctx.SetTimerIn(kResendInterval, TimerKind::kAcceptanceRetry,
                 current_->number);
  if (OtherDataCentres(ctx).empty()) AnswerAccepted(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::SendToMissingHolders(Context& ctx) {
  ctx.SetTimerIn(kResendInterval, TimerKind::kAcceptanceRetry,
                 current_->number);
  const uint64_t version = current_->change.version;
  const auto& kept = *ctx.Shared().recent_changes;
  const auto change = std::find_if(
      kept.begin(), kept.end(),
      [version](const Change& one) { return one.version == version; });
  if (change == kept.end()) return;
  ++current_->resends;
  std::map<std::string, std::vector<Address>> candidates;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone) continue;
    if (member.data_centre == ctx.Settings().data_centre) continue;
    if (current_->holders.contains(member.data_centre)) continue;
    candidates[member.data_centre].push_back(address);
  }
  const auto heavier = [version](Address a, Address b) {
    return RendezvousWeight(version, AddressHash{}(a)) >
           RendezvousWeight(version, AddressHash{}(b));
  };
  for (auto& [data_centre, addresses] : candidates) {
    // The first in this order is the relay, which has been asked already.
    std::sort(addresses.begin(), addresses.end(), heavier);
    ctx.Send(addresses[current_->resends % addresses.size()],
             PushChanges{{*change}});
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleHeld(Context& ctx, Address from,
                                       uint64_t version) {
  if (!current_ || current_->phase != Phase::kHolders) return;
  if (version < current_->change.version) return;
  const auto it = ctx.Shared().members.find(from);
  if (it == ctx.Shared().members.end()) return;
  if (it->second.data_centre == ctx.Settings().data_centre) return;
  current_->holders.insert(it->second.data_centre);
  const size_t wanted = std::min(kWantedHolders, OtherDataCentres(ctx).size());
  if (current_->holders.size() >= wanted) AnswerAccepted(ctx);
}

template <AcceptanceRules Rules>
std::set<std::string> ChangeAcceptor<Rules>::OtherDataCentres(
    Context& ctx) const {
  std::set<std::string> names;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone) continue;
    names.insert(member.data_centre);
  }
  names.erase(ctx.Settings().data_centre);
  return names;
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::AnswerAccepted(Context& ctx) {
  counters_.Add(AcceptanceCounter::kAccepted);
  std::set<std::string> missing = OtherDataCentres(ctx);
  for (const std::string& holder : current_->holders) missing.erase(holder);
  const bool enough = current_->holders.size() >= kWantedHolders;
  nlohmann::ordered_json body = {{"result", "accepted"},
                                 {"operation", current_->id},
                                 {"version", current_->change.version},
                                 {"holders", current_->holders}};
  if (!enough && !missing.empty()) body["missing"] = missing;
  ctx.AnswerJson(current_->request, 200, body.dump() + "\n");
  Finish(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::AnswerRefused(Context& ctx,
                                          const Failure& failure) {
  counters_.Add(AcceptanceCounter::kRefused);
  ctx.AnswerJson(current_->request, OperationStatus(failure.code),
                 RefusedJson(current_->id, failure).dump() + "\n");
  Finish(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::AnswerUndecided(Context& ctx) {
  counters_.Add(AcceptanceCounter::kUndecided);
  ctx.AnswerJson(current_->request, 202,
                 UndecidedJson(current_->id).dump() + "\n");
  Finish(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Finish(Context& ctx) {
  current_.reset();
  StartNext(ctx);
}

}  // namespace buckthorncart
