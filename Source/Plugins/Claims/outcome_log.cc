#include "Plugins/Claims/outcome_log.h"

#include <algorithm>

#include "Plugins/Claims/claim_row.h"

namespace buckthorncart {

void OutcomeLog::Add(Entry entry) {
  const uint64_t number = ++next_number_;
  bytes_ += AnswerBytes(entry.result.answer);
  if (entry.sequence != 0) by_claim_[entry.sequence] = number;
  by_call_[entry.call] = number;
  entries_.emplace(number, std::move(entry));
  while (entries_.size() > kMaxEntries || bytes_ > kMaxBytes) DropOldest();
}

const ClaimResult* OutcomeLog::FindClaim(uint64_t sequence) const {
  const auto it = by_claim_.find(sequence);
  return it == by_claim_.end() ? nullptr : &entries_.at(it->second).result;
}

const ClaimResult* OutcomeLog::FindCall(const CallKey& call,
                                        const std::string& row_key) const {
  const auto it = by_call_.find(call);
  if (it == by_call_.end()) return nullptr;
  const Entry& entry = entries_.at(it->second);
  // Ids restart with each incarnation of the calling daemon.
  return entry.row_key == row_key ? &entry.result : nullptr;
}

bool OutcomeLog::MayHaveDropped(const CallKey& call) const {
  const auto it = highest_dropped_.find(call.first);
  return it != highest_dropped_.end() && call.second <= it->second;
}

void OutcomeLog::DropOldest() {
  const auto it = entries_.begin();
  const Entry& entry = it->second;
  uint64_t& dropped = highest_dropped_[entry.call.first];
  dropped = std::max(dropped, entry.call.second);
  bytes_ -= AnswerBytes(entry.result.answer);
  by_claim_.erase(entry.sequence);
  const auto call = by_call_.find(entry.call);
  if (call != by_call_.end() && call->second == it->first) by_call_.erase(call);
  entries_.erase(it);
}

}  // namespace buckthorncart
