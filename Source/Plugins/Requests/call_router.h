#pragma once
/// \file
/// Routing of callers' requests to backend servers, with retries.

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
#include "Plugins/Requests/backend_stats.h"
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
  kAnswersOutOfOrder,
  kUnknownKeys,
};

template <>
struct EnumNames<CallRouterCounter> {
  static constexpr std::string_view kNames[] = {"calls_total",
                                                "call_attempts_total",
                                                "calls_ran_total",
                                                "calls_not_run_total",
                                                "calls_unknown_total",
                                                "call_retries_total",
                                                "callers_left_total",
                                                "ejections_total",
                                                "calls_too_late_total",
                                                "answers_out_of_order_total",
                                                "calls_unknown_key_total"};
};

/// Routes each call by the configuration snapshot held when it arrived and
/// sends it to the daemon of a backend server. A call is retried only if that
/// cannot run an unrepeatable request twice: after a refusal with the outcome
/// "not-run", or if the route is repeatable.
template <BackendChoice Choice, RequestRules Rules>
class CallRouter : public Plugin {
 public:
  explicit CallRouter(const KernelSettings& settings);
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// A call that has not been answered completely.
  struct ActiveCall {
    uint64_t call = 0;
    /// Configuration that the call was routed by, kept until the call ends.
    SnapshotPtr snapshot;
    Route route;
    HttpRequest request;
    std::string idempotency_key;
    uint64_t fingerprint = 0;
    /// In `snapshot`; null if the caller gave no key.
    const Workspace* workspace = nullptr;
    Time deadline{};
    uint32_t attempts = 0;
    /// Daemon that the current attempt was sent to.
    Address admitting;
    /// Daemons that are not tried again.
    std::set<Address> tried;
    bool head_sent = false;
    /// When the current attempt was sent.
    Time sent_at{};
    /// An earlier attempt ran or may have run.
    bool may_have_run = false;
    /// Parts received so far of the answer to the current attempt.
    uint32_t parts_received = 0;
    /// Incarnation of the admitting daemon.
    uint64_t incarnation = 0;
    /// Queries for the outcome of the current attempt so far.
    uint32_t outcome_queries = 0;
    Time arrived_at{};
    /// Daemons that have refused the call because it would have to queue there.
    std::set<Address> busy_daemons;
    /// The call may queue for a slot at the daemon that it is sent to next.
    bool may_wait = false;
    /// Shortest queueing time reported in a refusal.
    Duration min_wait{};
    /// Size of the body if the current attempt was sent without it.
    uint64_t withheld_bytes = 0;
    /// Bytes of the withheld body that have been sent.
    uint64_t body_bytes_sent = 0;
    /// Daemon, times and result of each attempt, for the log.
    std::string attempt_log;
    /// Version of the backend server of the current attempt, if roll-outs are
    /// staged.
    std::string version;
    /// Status of the answer whose head has been sent.
    uint16_t answer_status = 0;
    /// The next attempt waits for a token of the quota.
    bool awaits_quota = false;
    /// Time after which a call that was refused for the quota may fit.
    Duration quota_retry_after{};
    /// Failure of the last attempt, after which the quota is asked again.
    Errc last_failure = Errc::kOk;
  };

  void HandleRequest(Context& ctx, const CallerRequested& requested);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void HandleRefused(Context& ctx, Address from, const CallRefused& refused);
  static double RerunShare(Context& ctx);
  static void SetCallerHeader(Context& ctx, Headers& headers);
  /// True if the call was refused as overloaded before it reached a backend
  /// server, so that sending it to another daemon does not count as a retry.
  static bool IsBusy(Context& ctx, const CallRefused& refused);
  void HandleBusy(Context& ctx, ActiveCall& active, Address from,
                  const CallRefused& refused);
  /// Longest queueing time for a slot that the next attempt allows.
  static uint32_t MaxWaitMs(Context& ctx, const ActiveCall& active);
  /// Time left until the target latency of the route.
  static uint32_t RemainingTargetMs(Context& ctx, const ActiveCall& active);
  void HandleBodyRequest(Context& ctx, Address from,
                         const BodyRequest& request);
  /// True if the current attempt cannot have reached a backend server because
  /// its body has not been sent completely.
  static bool IsBodyIncomplete(const ActiveCall& active);
  /// Returns the bytes of the body that are sent only when the daemon of
  /// `member` asks for them; 0 if the call is sent with its body.
  uint64_t BytesToWithhold(Context& ctx, const ActiveCall& active,
                           const Member& member) const;
  /// Sets the times until the daemon of `member` has the body.
  void AddBodyTime(Context& ctx, const ActiveCall& active, const Member& member,
                   Candidate& candidate) const;
  void HandleAnswer(Context& ctx, Address from, const CallAnswer& answer);
  void HandleFailed(Context& ctx, Address from, const CallFailed& failed);
  void HandlePeerLost(Context& ctx, Address peer);
  void HandleCallerLeft(Context& ctx, uint64_t call);
  void HandleDeadline(Context& ctx, uint64_t call);
  /// Ends a call whose outcome is not awaited any more.
  void GiveUp(Context& ctx, ActiveCall& active, Errc reason);
  void GiveUpAll(Context& ctx);
  void HandleMemberChanged(Context& ctx, Address address);

  /// Marks the connections of unanswered calls as in use, so that their health
  /// continues to be checked.
  void MarkPeersInUse(Context& ctx) const;
  /// Divides the retries of the fleet among the daemons that are alive.
  void CountDaemons(Context& ctx);
  /// Asks the admitting daemon for the outcome of an unrepeatable call. Returns
  /// false if the outcome cannot be obtained that way.
  bool QueryOutcome(Context& ctx, ActiveCall& active);
  void Attempt(Context& ctx, ActiveCall& active);
  /// Attempts the call if it fits into the limit of its workspace, now or when
  /// the quota has been asked. Each run counts, those of retries too.
  void AttemptWithinQuota(Context& ctx, ActiveCall& active);
  void HandleQuotaDecided(Context& ctx, const QuotaDecided& decided);
  /// Ends a call that does not fit into the limit of its workspace.
  void RefuseOverQuota(Context& ctx, ActiveCall& active, Duration retry_after);
  /// Reports the end of `call` to the quota.
  static void SettleQuota(Context& ctx, uint64_t call, bool may_have_run);
  /// Retries a failed attempt or answers the caller with the failure.
  /// `use_budget` is true if a retry counts against the retry budget.
  void RetryOrAnswer(Context& ctx, ActiveCall& active, Errc reason,
                     Outcome outcome, bool use_budget);
  std::vector<Candidate> FindCandidates(Context& ctx,
                                        const ActiveCall& active) const;
  void AddCandidate(Context& ctx, const ActiveCall& active,
                    const Member& member,
                    std::vector<Candidate>& candidates) const;
  /// Keeps only candidates of a version that gets a share of the calls if there
  /// are any, so that the share is reached.
  static void PreferStaged(std::vector<Candidate>& candidates);
  /// Returns true if a roll-out of the service of `backend` runs.
  static bool IsInRollout(Context& ctx, const BackendAnnouncement& backend);
  /// Counts the attempt that is about to be sent to the daemon at `admitting`.
  static void RecordVersionSent(Context& ctx, ActiveCall& active);
  /// Counts the end of the current attempt as evidence on its version.
  static void RecordVersionEnd(Context& ctx, const ActiveCall& active,
                               bool failed);
  Call MakeCall(Context& ctx, const ActiveCall& active) const;
  void RecordFailure(Context& ctx, Address peer);
  void RecordRefusal(Context& ctx, Address from, Errc reason);
  /// If the answer is a failure that another backend server may not repeat,
  /// sends the call there and returns true.
  bool RetryFailedAnswer(Context& ctx, ActiveCall& active, Address from,
                         const AnswerPart& part);
  Duration RetryAfterFor(Context& ctx, const ActiveCall& active, Errc reason);
  void HandleMissingPart(Context& ctx, ActiveCall& active, Address from);
  /// Removes candidates that would answer after the deadline, that are busy or
  /// that are ejected; if all the others are ejected, they are kept.
  void RemoveUnsuitable(Context& ctx, const ActiveCall& active,
                        std::vector<Candidate>& candidates) const;
  bool HasTime(Context& ctx, const ActiveCall& active,
               const Candidate& candidate) const;
  /// `may_have_run` tells whether the last attempt may have run.
  bool MayRetry(Context& ctx, const ActiveCall& active, bool use_budget,
                bool may_have_run);
  /// The call whose current attempt was sent to `from`, or null.
  ActiveCall* FindActiveCall(Address from, uint64_t id);
  void ReleasePeer(const ActiveCall& active);
  void AbortAnswer(Context& ctx, uint64_t call);
  void AnswerFailure(Context& ctx, uint64_t call, Errc reason, Outcome outcome);
  void CountOutcome(Outcome outcome);
  /// Appends the end of an attempt at `daemon` to the attempt log of the call.
  static void RecordAttempt(Context& ctx, ActiveCall& active, Address daemon,
                            std::string_view end);
  /// Logs and counts the end of a call.
  void RecordResult(Context& ctx, const ActiveCall& active, Outcome outcome,
                    std::string_view reason, uint16_t status);
  /// Notifies other plug-ins that a routed call has ended.
  void RaiseCallEnded(Context& ctx, uint64_t call, Outcome outcome,
                      bool ended_by_caller = false);
  void Finish(Context& ctx, uint64_t call);

  Choice choice_;
  RetryBudgets retry_budgets_;
  std::map<uint64_t, ActiveCall> active_;
  BackendStats<Rules> backend_stats_;
  SplitPicker split_picker_;
  LabelledCounter results_;
  LatencyHistogram call_times_;
  Counters<CallRouterCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Requests/call_router_attempts_inl.h"
#include "Plugins/Requests/call_router_bodies_inl.h"
#include "Plugins/Requests/call_router_inl.h"
#include "Plugins/Requests/call_router_quota_inl.h"
#include "Plugins/Requests/call_router_results_inl.h"
#include "Plugins/Requests/call_router_versions_inl.h"
