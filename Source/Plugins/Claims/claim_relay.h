#pragma once
/// \file
/// Batches transactions on claims into fewer writes to the platform.

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/claim_writer.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

enum class ClaimRelayCounter : uint8_t {
  kBatches,
  kBatched,
  kSplit,
  kRelayed,
  kRelayFailed,
};

template <>
struct EnumNames<ClaimRelayCounter> {
  static constexpr std::string_view kNames[] = {
      "claim_batches_total", "claim_batched_transactions_total",
      "claim_batches_split_total", "claims_relayed_total",
      "claim_relay_failures_total"};
};

/// Policy for the batching of transactions.
template <typename R>
concept ClaimRelayRules = requires {
  { R::kRelay } -> std::convertible_to<bool>;
  { R::kBuckets } -> std::convertible_to<uint64_t>;
};

struct StandardClaimRelayRules {
  /// Transactions go through a relay in the local data centre.
  static constexpr bool kRelay = true;
  /// Number of relays in a data centre; keys are distributed over them by hash.
  static constexpr uint64_t kBuckets = 1;
};

/// Sends each transaction to the relay of its key. A relay has at most one
/// batch in flight to the platform and starts at most one per batch interval,
/// so that the rate of writes of a data centre is bounded whatever its rate of
/// claims. A relay makes no decisions: each transaction keeps its own
/// conditions.
template <ClaimRelayRules Rules>
class ClaimRelay : public Plugin, public ClaimWriter {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  std::optional<uint64_t> Write(Context& ctx, Transaction transaction,
                                bool direct) override;

 private:
  /// A transaction and the daemon that waits for its reply.
  struct Entry {
    Address from;
    uint64_t tag = 0;
    Transaction transaction;
  };
  struct Batch {
    std::vector<Entry> entries;
    bool direct = false;
  };

  static Address RelayOf(Context& ctx, const std::string& row_key);
  void HandleRelayedWrite(Context& ctx, Address from,
                          const RelayedWrite& write);
  void Enqueue(Context& ctx, Entry entry);
  void Flush(Context& ctx);
  std::vector<Entry> TakeBatch();
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void RefuseQueued(Context& ctx);
  void Split(Context& ctx, std::vector<Entry> entries,
             const PlatformReply& reply);
  void Reply(Context& ctx, const Entry& entry, PlatformReply reply);
  void HandlePeerLost(Context& ctx, Address peer);
  void FailRelayed(Context& ctx, uint64_t tag);

  std::deque<Entry> queue_;
  std::map<uint64_t, Batch> batches_;
  /// Relays that transactions of this daemon have been sent to, by tag.
  std::map<uint64_t, Address> relay_by_tag_;
  bool batch_in_flight_ = false;
  bool timer_set_ = false;
  Time next_batch_{};
  uint64_t next_tag_ = 0;
  Counters<ClaimRelayCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Claims/claim_relay_inl.h"
