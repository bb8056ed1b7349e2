#pragma once
/// \file
/// Recent outcomes of unrepeatable calls, kept by their admitting daemon.

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Base/address.h"
#include "Wire/claim_messages.h"

namespace buckthorncart {

/// The daemon that sent a call, and the call's id there.
using CallKey = std::pair<Address, uint64_t>;

/// Bounded log of outcomes, indexed by claim and by call. It makes no
/// assumption about outcomes that it has dropped.
class OutcomeLog {
 public:
  struct Entry {
    CallKey call;
    std::string row_key;
    uint64_t sequence = 0;
    ClaimResult result;
  };

  /// Adds the outcome of a call; `sequence` is 0 if the call had no claim.
  void Add(Entry entry);
  /// Outcome of a claim of this daemon, or nothing when it is not known.
  const ClaimResult* FindClaim(uint64_t sequence) const;
  /// Outcome of a call, or nothing when there is none for this row.
  const ClaimResult* FindCall(const CallKey& call,
                              const std::string& row_key) const;
  /// True if the outcome of `call` may have been dropped. The ids of one
  /// daemon's calls increase, so that no outcome with an id above the highest
  /// dropped one has been dropped.
  bool MayHaveDropped(const CallKey& call) const;
  size_t Count() const { return entries_.size(); }

 private:
  static constexpr size_t kMaxEntries = 4'096;
  static constexpr size_t kMaxBytes = 16U << 20U;

  void DropOldest();

  std::map<uint64_t, Entry> entries_;
  std::map<uint64_t, uint64_t> by_claim_;
  std::map<CallKey, uint64_t> by_call_;
  uint64_t next_number_ = 0;
  size_t bytes_ = 0;
  /// Highest dropped call id of each calling daemon.
  std::map<Address, uint64_t> highest_dropped_;
};

}  // namespace buckthorncart
