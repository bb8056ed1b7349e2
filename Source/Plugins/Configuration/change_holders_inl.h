#pragma once
/// \file
/// Definitions of `ChangeAcceptor` that wait for holders and send the final
/// answer; include change_acceptor.h.

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "Base/digest.h"
#include "Base/json_text.h"
#include "Kernel/context.h"
#include "Plugins/Configuration/change_acceptor.h"
#include "Plugins/Configuration/operation_answers.h"

namespace buckthorncart {

/// Number of other data centres that must hold a change before the operator is
/// told that it is accepted.
inline constexpr size_t kRequiredHolders = 2;
/// Time to wait for a holder before the change is sent to another member.
inline constexpr Duration kResendInterval = 300ms;

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::AwaitHolders(Context& ctx) {
  current_->phase = Phase::kAwaitHolders;
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
  ++current_->resend_count;
  std::map<std::string, std::vector<Address>> candidates;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone) continue;
    if (member.data_centre == ctx.Settings().data_centre) continue;
    if (current_->holder_data_centres.contains(member.data_centre)) continue;
    candidates[member.data_centre].push_back(address);
  }
  const auto by_descending_weight = [version](Address a, Address b) {
    return RendezvousWeight(version, AddressHash{}(a)) >
           RendezvousWeight(version, AddressHash{}(b));
  };
  for (auto& [data_centre, addresses] : candidates) {
    // Skips the first address in the first attempt, on the assumption that it
    // is the relay to which the change has already been sent.
    std::sort(addresses.begin(), addresses.end(), by_descending_weight);
    ctx.Send(addresses[current_->resend_count % addresses.size()],
             PushChanges{{*change}});
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleVersionHeld(Context& ctx, Address from,
                                              uint64_t version) {
  if (!current_ || current_->phase != Phase::kAwaitHolders) return;
  if (version < current_->change.version) return;
  const auto it = ctx.Shared().members.find(from);
  if (it == ctx.Shared().members.end()) return;
  if (it->second.data_centre == ctx.Settings().data_centre) return;
  current_->holder_data_centres.insert(it->second.data_centre);
  const size_t required =
      std::min(kRequiredHolders, OtherDataCentres(ctx).size());
  if (current_->holder_data_centres.size() >= required) AnswerAccepted(ctx);
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
  for (const std::string& holder : current_->holder_data_centres)
    missing.erase(holder);
  const bool enough = current_->holder_data_centres.size() >= kRequiredHolders;
  nlohmann::ordered_json body = {{"result", "accepted"},
                                 {"operation", current_->id},
                                 {"version", current_->change.version},
                                 {"holders", current_->holder_data_centres}};
  if (!enough && !missing.empty()) body["missing"] = missing;
  ctx.AnswerJson(current_->request, 200, FormatJson(body) + "\n");
  Finish(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::AnswerRefused(Context& ctx,
                                          const Failure& failure) {
  counters_.Add(AcceptanceCounter::kRefused);
  ctx.AnswerJson(current_->request, OperationStatus(failure.code),
                 FormatJson(RefusedJson(current_->id, failure)) + "\n");
  Finish(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::AnswerUndecided(Context& ctx) {
  counters_.Add(AcceptanceCounter::kUndecided);
  ctx.AnswerJson(current_->request, 202,
                 FormatJson(UndecidedJson(current_->id)) + "\n");
  Finish(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Finish(Context& ctx) {
  current_.reset();
  StartNext(ctx);
}

}  // namespace buckthorncart
