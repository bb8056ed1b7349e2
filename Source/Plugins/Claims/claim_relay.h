#pragma once
/// \file
/// Joins transactions on claims into fewer writes to the platform.

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

/// How transactions are joined.
template <typename R>
concept ClaimRelayRules = requires {
  { R::kRelay } -> std::convertible_to<bool>;
  { R::kBuckets } -> std::convertible_to<uint64_t>;
};

struct StandardClaimRelayRules {
  /// Transactions go through a relay of the own data centre.
  static constexpr bool kRelay = true;
  /// Relays in a data centre; keys are spread over them by hash.
  static constexpr uint64_t kBuckets = 1;
};

/// Sends transactions to the relay of their key. A relay has one batch at a
/// time with the platform and starts one each batch interval at most, so that
/// the writes of a data centre are bounded whatever its rate of claims. It
/// decides nothing: each transaction keeps its own conditions.
template <ClaimRelayRules Rules>
class ClaimRelay : public Plugin, public ClaimWriter {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  std::optional<uint64_t> Write(Context& ctx, Transaction transaction,
                                bool direct) override;

 private:
  /// A transaction and who waits for its reply.
  struct Part {
    Address from;
    uint64_t tag = 0;
    Transaction transaction;
  };
  struct Batch {
    std::vector<Part> parts;
    bool direct = false;
  };

  static Address RelayOf(Context& ctx, const std::string& row_key);
  void Enqueue(Context& ctx, Part part);
  void Flush(Context& ctx);
  std::vector<Part> TakeParts();
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void RefuseWaiting(Context& ctx);
  void Split(Context& ctx, std::vector<Part> parts, const PlatformReply& reply);
  void Reply(Context& ctx, const Part& part, PlatformReply reply);
  void HandlePeerLost(Context& ctx, Address peer);
  void FailRelayed(Context& ctx, uint64_t tag);

  std::deque<Part> waiting_;
  std::map<uint64_t, Batch> batches_;
  /// Relays that work on transactions of this daemon, by tag.
  std::map<uint64_t, Address> relayed_;
  bool busy_ = false;
  bool timer_set_ = false;
  Time next_batch_{};
  uint64_t next_tag_ = 0;
  Counters<ClaimRelayCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Claims/claim_relay_inl.h"
