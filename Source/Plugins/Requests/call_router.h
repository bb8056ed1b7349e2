#pragma once
/// \file
/// Takes callers' requests and sees each of them to an answer.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/error.h"
#include "Base/time.h"
#include "Config/snapshot.h"
#include "Kernel/counters.h"
#include "Kernel/labelled_counter.h"
#include "Kernel/latency_histogram.h"
#include "Kernel/plugin.h"
#include "Plugins/Requests/backend_choice.h"
#include "Plugins/Requests/peer_loads.h"
#include "Plugins/Requests/request_rules.h"
#include "Plugins/Requests/retry_budgets.h"
#include "Plugins/Requests/split_picker.h"
#include "Wire/http.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

enum class CallRouterCounter : uint8_t {
  kCalls,
  kAttempts,
  kAnsweredRan,
  kAnsweredNotRun,
  kAnsweredUnknown,
  kRetries,
  kCallersLeft,
  kEjections,
  kTooLate,
  kBrokenOrder,
};

template <>
struct EnumNames<CallRouterCounter> {
  static constexpr std::string_view kNames[] = {
      "calls_total",          "call_attempts_total",
      "calls_ran_total",      "calls_not_run_total",
      "calls_unknown_total",  "call_retries_total",
      "callers_left_total",   "ejections_total",
      "calls_too_late_total", "answers_out_of_order_total"};
};

/// Routes a call by the snapshot held when it arrived, hands it to the daemon
/// beside a backend server and retries it only where that cannot run it
/// twice: after a refusal "not run", or when the call is repeatable.
template <BackendChoice Choice, RequestRules Rules>
class CallRouter : public Plugin {
 public:
  explicit CallRouter(const KernelSettings& settings);
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// A call without a complete answer.
  struct Active {
    uint64_t call = 0;
    /// Keeps the configuration by which the call was routed.
    SnapshotPtr snapshot;
    Route route;
    HttpRequest request;
    std::string idempotency_key;
    uint64_t fingerprint = 0;
    Time deadline{};
    uint32_t attempts = 0;
    Address admitting;
    std::set<Address> tried;
    bool head_sent = false;
    /// When the current attempt was sent.
    Time sent_at{};
    /// An earlier attempt ended without a word on whether it ran.
    bool may_have_run = false;
    /// Parts of the current attempt's answer that have arrived.
    uint32_t parts = 0;
    /// Incarnation of the admitting daemon.
    uint64_t incarnation = 0;
    uint32_t outcome_queries = 0;
    Time arrived{};
    /// Daemons that have refused the call because it would have to wait.
    std::set<Address> busy;
    /// The call waits for a slot where it is sent next.
    bool may_wait = false;
    /// Shortest wait that a daemon has refused it for.
    Duration least_wait{};
    /// What became of each attempt, for the log.
    std::string trail;
  };

  void HandleRequest(Context& ctx, const CallerRequested& requested);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void HandleRefused(Context& ctx, Address from, const CallRefused& refused);
  static void SetCaller(Context& ctx, Headers& headers);
  /// True if the call can be sent on without a retry, as it has not left the
  /// daemons.
  static bool IsBusy(Context& ctx, const CallRefused& refused);
  void HandleBusy(Context& ctx, Active& active, Address from,
                  const CallRefused& refused);
  /// Longest wait for a slot that the next attempt may cost.
  static uint32_t MaxWaitMs(Context& ctx, const Active& active);
  /// Time left to the target of the answer.
  static uint32_t TargetMs(Context& ctx, const Active& active);
  void HandleAnswer(Context& ctx, Address from, const CallAnswer& answer);
  void HandleFailed(Context& ctx, Address from, const CallFailed& failed);
  void HandlePeerLost(Context& ctx, Address peer);
  void HandleCallerLeft(Context& ctx, uint64_t call);
  void HandleDeadline(Context& ctx, uint64_t call);
  void HandleMemberChanged(Context& ctx, Address address);

  /// Keeps the connections of calls without an answer under watch.
  void NotePeersInUse(Context& ctx) const;
  /// Asks the admitting daemon what became of an unrepeatable call; false
  /// when that is pointless.
  bool QueryOutcome(Context& ctx, Active& active);
  void Attempt(Context& ctx, Active& active);
  void RetryOrAnswer(Context& ctx, Active& active, Errc reason, Outcome outcome,
                     bool charged);
  std::vector<Candidate> Candidates(Context& ctx, const Active& active) const;
  void AddCandidate(Context& ctx, const Active& active, const Member& member,
                    std::vector<Candidate>& candidates) const;
  void NoteFailure(Context& ctx, Address peer);
  void NoteRefusal(Context& ctx, Address from, Errc reason);
  /// True if the answer is a failure that another backend server may not
  /// repeat, and the call has been sent there.
  bool RetryFailedAnswer(Context& ctx, Active& active, Address from,
                         const AnswerPart& part);
  Duration RetryAfterFor(Context& ctx, const Active& active, Errc reason);
  void HandleMissingPart(Context& ctx, Active& active, Address from);
  void RemoveUnsuitable(Context& ctx, const Active& active,
                        std::vector<Candidate>& candidates) const;
  bool HasTime(Context& ctx, const Active& active,
               const Candidate& candidate) const;
  bool MayRetry(Context& ctx, const Active& active, bool charged);
  Active* FindFrom(Address from, uint64_t id);
  void ReleasePeer(const Active& active);
  void BreakAnswer(Context& ctx, uint64_t call);
  void AnswerFailure(Context& ctx, uint64_t call, Errc reason, Outcome outcome);
  void CountOutcome(Outcome outcome);
  /// Adds the end of an attempt at `daemon` to the trail.
  static void NoteTrail(Context& ctx, Active& active, Address daemon,
                        std::string_view end);
  /// Logs and counts the end of a call.
  void NoteResult(Context& ctx, const Active& active, Outcome outcome,
                  std::string_view reason, uint16_t status);
  /// Tells other plug-ins that a routed call has ended.
  void RaiseEnded(Context& ctx, uint64_t call, Outcome outcome,
                  bool caller_fault = false);
  void Finish(Context& ctx, uint64_t call);

  Choice choice_;
  RetryBudgets retry_budgets_;
  std::map<uint64_t, Active> active_;
  PeerLoads<Rules> loads_;
  SplitPicker split_picker_;
  LabelledCounter results_;
  LatencyHistogram times_;
  Counters<CallRouterCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Requests/call_router_attempts_inl.h"
#include "Plugins/Requests/call_router_inl.h"
