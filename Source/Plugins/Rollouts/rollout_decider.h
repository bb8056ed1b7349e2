#pragma once
/// \file
/// Decides on the roll-outs of all services.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Platform/platform_messages.h"
#include "Plugins/Rollouts/rollout_board.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

enum class DeciderCounter : uint8_t {
  kTakeOvers,
  kOrderScans,
  kWrites,
  kSteps,
  kSucceeded,
  kRolledBack,
};

template <>
struct EnumNames<DeciderCounter> {
  static constexpr std::string_view kNames[] = {
      "rollout_take_overs_total", "rollout_order_scans_total",
      "rollout_writes_total",     "rollout_steps_total",
      "rollouts_succeeded_total", "rollouts_rolled_back_total"};
};

/// One of the relays of the fleet decides. It holds the row `rollout/lead`,
/// whose token is a condition of each of its writes, so that an earlier decider
/// changes nothing in the store, and daemons ignore states with a lower token.
///
/// A step and a success are stored before they are announced; a rollback is
/// announced at once and stored afterwards. The other relays hear from the
/// decider regularly, and the first of them that does not takes over: it reads
/// the states from the store, and the evidence from the next reports, which are
/// cumulative.
///
/// A store that is restored from an older copy may lose states and the lead.
/// The decider then takes over again and stores its states once more. If it is
/// lost too, the daemons report the states that they apply to the next one.
class RolloutDecider : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// Time after which a relay that hears nothing takes over.
  static constexpr Duration kLeadTimeout = 1'500ms;

  enum class Role : uint8_t {
    kObserver,
    kReadingLead,
    kWritingLead,
    kReadingStates,
    kLead,
  };
  struct Entry {
    RolloutBoard board;
    /// Value of the status row; not set if there is none.
    std::optional<std::string> stored;
    /// State to be stored.
    std::optional<Rollout> wanted;
    /// Value that is being written with the platform call `tag`.
    std::string writing;
    uint64_t tag = 0;
    Time retry_at{};
  };

  void HandleTimer(Context& ctx);
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void HandleReports(Context& ctx, Address from, const RolloutReports& reports);
  void HandleStates(Context& ctx, const RolloutStates& states);

  // Take-over.
  void ConsiderTakeOver(Context& ctx);
  void HandleLeadRow(Context& ctx, const PlatformReply& reply);
  void HandleLeadWritten(Context& ctx, const PlatformReply& reply);
  void HandleStoredStates(Context& ctx, const PlatformReply& reply);
  void StepDown(Context& ctx, Role role);
  void ReadLead(Context& ctx);
  /// Takes over again after a restore of the store, in a token of its new era.
  void HandleRestore(Context& ctx);
  /// Adds an acknowledged state that the store lacks, to be stored again.
  void AddLost(const Rollout& lost);

  // Decisions.
  void ScanOrders(Context& ctx);
  void HandleOrders(Context& ctx, const PlatformReply& reply);
  void Open(Context& ctx, const RolloutOrder& order);
  void Decide(Context& ctx, Entry& entry);
  void Want(Entry& entry, Rollout next) const;
  void WriteWanted(Context& ctx, Entry& entry);
  void HandleWritten(Context& ctx, Entry& entry, const PlatformReply& reply);
  /// Applies the state that has been stored.
  void TakeStored(Context& ctx, Entry& entry);
  void LogChange(Context& ctx, const Rollout& rollout,
                 std::string_view reason) const;

  // Messages.
  RolloutStates MakeStates(Context& ctx) const;
  void Announce(Context& ctx, const Rollout& rollout) const;
  void NotifyRelays(Context& ctx);

  Role role_ = Role::kObserver;
  uint64_t tag_ = 0;
  uint64_t scan_tag_ = 0;
  /// Value of the row `rollout/lead`, and what is being written to it.
  std::optional<std::string> lead_row_;
  RolloutLead lead_;
  Time lead_heard_at_{};
  Time lead_since_{};
  Time next_scan_{};
  Time next_notice_{};
  Time orders_read_at_{};
  std::map<std::string, Entry> entries_;
  /// States that were stored before a restore of the store, by service, until
  /// they are known to be stored again.
  std::map<std::string, Rollout> acknowledged_;
  Counters<DeciderCounter> counters_;
};

}  // namespace buckthorncart
