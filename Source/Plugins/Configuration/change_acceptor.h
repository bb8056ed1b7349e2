#pragma once
/// \file
/// Accepts operators' changes in one order, through the platform's table.

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/error.h"
#include "Base/time.h"
#include "Config/change.h"
#include "Config/configuration.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Configuration/acceptance_rules.h"
#include "Plugins/Configuration/configuration_rows.h"

namespace buckthorncart {

struct PlatformReply;
struct Url;

enum class AcceptanceCounter : uint8_t {
  kAccepted,
  kRefused,
  kUndecided,
  kRebased,
  kAnswersLost,
};

template <>
struct EnumNames<AcceptanceCounter> {
  static constexpr std::string_view kNames[] = {
      "operations_accepted_total", "operations_refused_total",
      "operations_undecided_total", "operations_rebased_total",
      "operations_answers_lost_total"};
};

/// A change is accepted by one conditional transaction that also writes the
/// outcome under the operation's id. When the answer to it is lost, the
/// outcome is settled by a second transaction that only one of the two can
/// win, so that an operator is never told a guess.
template <AcceptanceRules Rules>
class ChangeAcceptor : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  enum class Phase : uint8_t {
    /// Waits for the transaction that accepts the change.
    kTransact,
    /// Waits for the transaction that settles a lost answer.
    kSettle,
    /// Waits for the row of an operation that would be refused, in case it is
    /// a repetition of an accepted one.
    kLookUp,
    /// Waits until the held configuration has reached the head.
    kCatchUp,
    /// Accepted; waits for holders in other data centres.
    kHolders,
  };
  struct Operation {
    uint64_t number = 0;
    uint64_t request = 0;
    std::string id;
    /// The operator has chosen the id and may have used it before.
    bool own_id = false;
    std::vector<Edit> edits;
    uint64_t edits_digest = 0;
    uint64_t base = 0;
    /// End of the wait for a decision.
    Time deadline{};
    Phase phase = Phase::kTransact;
    std::optional<uint64_t> tag;
    Change change;
    uint64_t awaited_version = 0;
    /// Encoded row `head` that won the race.
    std::string head_row;
    /// Why the operation is refused unless it has been accepted before.
    Failure refusal;
    std::set<std::string> holders;
    /// Times that other members have been asked to hold the change.
    uint32_t resends = 0;
  };
  void Submit(Context& ctx, const OperatorRequested& request);
  Operation NewOperation(Context& ctx, const OperatorRequested& request,
                         const Url& url);
  /// Parses and checks what can be known before the operation's turn.
  std::optional<Failure> Prepare(Context& ctx, const OperatorRequested& request,
                                 const Url& url, Operation& operation);
  std::optional<Failure> ParseBase(Context& ctx, const Url& url,
                                   Operation& operation);
  void StartNext(Context& ctx);
  void Transact(Context& ctx);
  std::optional<Failure> FindConflict(Context& ctx,
                                      const Operation& operation) const;
  /// The conflict that made the edits invalid, or `failure` if none did.
  Failure ExplainInvalid(Context& ctx, const Operation& operation,
                         const Failure& failure) const;
  void HandleReply(Context& ctx, const PlatformReply& reply);
  void HandleTransacted(Context& ctx, const PlatformReply& reply);
  void RefuseUnlessKnown(Context& ctx, const Failure& failure);
  void HandleLookedUp(Context& ctx, const PlatformReply& reply);
  void HandleSettled(Context& ctx, const PlatformReply& reply);
  void HandleConditionFailed(Context& ctx, const PlatformReply& reply);
  void HandleOperationRow(Context& ctx, const std::string& row);
  void Settle(Context& ctx);
  void HandleTimer(Context& ctx, const TimerFired& timer);
  /// Ends an operation that has waited too long for its turn.
  void Expire(Context& ctx, uint64_t number);
  void Retry(Context& ctx);
  void CatchUp(Context& ctx);
  void ContinueIfCaughtUp(Context& ctx);
  void SendToMissingHolders(Context& ctx);
  void HandleHeld(Context& ctx, Address from, uint64_t version);
  void BeginHolders(Context& ctx);
  std::set<std::string> OtherDataCentres(Context& ctx) const;

  void AnswerAccepted(Context& ctx);
  void AnswerRefused(Context& ctx, const Failure& failure);
  void AnswerUndecided(Context& ctx);
  void Finish(Context& ctx);

  std::optional<Operation> current_;
  std::deque<Operation> waiting_;
  uint64_t next_number_ = 0;
  Counters<AcceptanceCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Configuration/change_acceptor_inl.h"
#include "Plugins/Configuration/change_holders_inl.h"
#include "Plugins/Configuration/change_submission_inl.h"
