#pragma once
/// \file
/// Accepts operators' changes in a single total order, serialized by the
/// platform's table.

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

/// Commits a change in one conditional transaction that also records the
/// outcome under the operation's id. If the reply is lost, a second transaction
/// writes to the same row on the condition that it is absent. Only one of the
/// two can commit, so the outcome reported to the operator is certain.
template <AcceptanceRules Rules>
class ChangeAcceptor : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  enum class Phase : uint8_t {
    /// Waiting for the transaction that commits the change.
    kTransact,
    /// Waiting for the transaction that determines the outcome after a lost
    /// reply.
    kSettle,
    /// Waiting for the operation's row before refusing it, since it may repeat
    /// an operation that was already accepted.
    kLookUp,
    /// Waiting until the held configuration reaches `head`.
    kCatchUp,
    /// Committed; waiting until members in other data centres hold the change.
    kAwaitHolders,
  };
  struct Operation {
    uint64_t number = 0;
    uint64_t request = 0;
    std::string id;
    /// The operator supplied the id and may have submitted it before.
    bool has_client_id = false;
    std::vector<Edit> edits;
    uint64_t edits_digest = 0;
    uint64_t base = 0;
    /// Time at which the decision timeout expires.
    Time deadline{};
    Phase phase = Phase::kTransact;
    std::optional<uint64_t> tag;
    Change change;
    uint64_t catch_up_version = 0;
    /// Encoded row `head` that was returned with the failed condition.
    std::string head_row;
    /// Reason to refuse the operation if its row shows no earlier acceptance.
    Failure refusal;
    std::set<std::string> holder_data_centres;
    /// Number of times that the change has been sent to further members.
    uint32_t resend_count = 0;
  };
  void Submit(Context& ctx, const OperatorRequested& request);
  Operation NewOperation(Context& ctx, const OperatorRequested& request,
                         const Url& url);
  /// Parses the request and runs the checks that don't depend on the queue.
  std::optional<Failure> ParseAndCheck(Context& ctx,
                                       const OperatorRequested& request,
                                       const Url& url, Operation& operation);
  std::optional<Failure> ParseBase(Context& ctx, const Url& url,
                                   Operation& operation);
  void StartNext(Context& ctx);
  void Transact(Context& ctx);
  std::optional<Failure> FindConflict(Context& ctx,
                                      const Operation& operation) const;
  /// Returns the conflict that made the edits invalid, or `failure` if there is
  /// none.
  Failure ExplainInvalid(Context& ctx, const Operation& operation,
                         const Failure& failure) const;
  void HandleReply(Context& ctx, const PlatformReply& reply);
  void HandleTransactReply(Context& ctx, const PlatformReply& reply);
  void RefuseUnlessRecorded(Context& ctx, const Failure& failure);
  void HandleLookUpReply(Context& ctx, const PlatformReply& reply);
  void HandleSettleReply(Context& ctx, const PlatformReply& reply);
  void HandleConditionFailed(Context& ctx, const PlatformReply& reply);
  void HandleOperationRow(Context& ctx, const std::string& row);
  void Settle(Context& ctx);
  void HandleTimer(Context& ctx, const TimerFired& timer);
  /// Ends a queued operation whose deadline has passed.
  void Expire(Context& ctx, uint64_t number);
  void Retry(Context& ctx);
  void CatchUp(Context& ctx);
  void ContinueIfCaughtUp(Context& ctx);
  void SendToMissingHolders(Context& ctx);
  void HandleVersionHeld(Context& ctx, Address from, uint64_t version);
  void AwaitHolders(Context& ctx);
  std::set<std::string> OtherDataCentres(Context& ctx) const;

  void AnswerAccepted(Context& ctx);
  void AnswerRefused(Context& ctx, const Failure& failure);
  void AnswerUndecided(Context& ctx);
  void Finish(Context& ctx);

  std::optional<Operation> current_;
  std::deque<Operation> queue_;
  uint64_t next_number_ = 0;
  Counters<AcceptanceCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Configuration/change_acceptor_inl.h"
#include "Plugins/Configuration/change_holders_inl.h"
#include "Plugins/Configuration/change_submission_inl.h"
