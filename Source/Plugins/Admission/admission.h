#pragma once
/// \file
/// Admission control for requests to the local backend server.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "Base/address.h"
#include "Base/byte_budget.h"
#include "Base/error.h"
#include "Base/time.h"
#include "Kernel/claim_events.h"
#include "Kernel/counters.h"
#include "Kernel/kernel_settings.h"
#include "Kernel/latency_histogram.h"
#include "Kernel/plugin.h"
#include "Kernel/transit_clock.h"
#include "Plugins/Admission/adaptive_limit.h"
#include "Plugins/Admission/announcement_filter.h"
#include "Plugins/Admission/body_transfers.h"
#include "Plugins/Admission/capacity_report.h"
#include "Plugins/Admission/concurrency_limit.h"
#include "Plugins/Admission/connect_backoff.h"
#include "Plugins/Admission/crash_suspects.h"
#include "Plugins/Admission/run_queue.h"
#include "Plugins/Requests/request_rules.h"
#include "Plugins/Requests/service_time.h"
#include "Wire/member.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

enum class AdmissionCounter : uint8_t {
  kRuns,
  kRefused,
  kQueued,
  kExpiredInQueue,
  kCompleted,
  kBroken,
  kCancelled,
  kEvicted,
  kShed,
  kBodiesTransferred,
  kExpiredInTransit,
  kCapacityReports,
};

template <>
struct EnumNames<AdmissionCounter> {
  static constexpr std::string_view kNames[] = {
      "admission_runs_total",
      "admission_refused_total",
      "admission_queued_total",
      "admission_expired_in_queue_total",
      "admission_completed_total",
      "admission_broken_total",
      "admission_cancelled_total",
      "admission_evicted_total",
      "admission_shed_total",
      "admission_bodies_transferred_total",
      "admission_expired_in_transit_total",
      "capacity_reports_total"};
};

/// Admission control for one backend server. All requests to it pass through
/// this plug-in, so its slots, draining state and connections are known
/// exactly, and a request refused as "not run" is guaranteed not to have run.
template <RequestRules Rules>
class Admission : public Plugin {
 public:
  explicit Admission(const KernelSettings& settings);
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  /// Address of the daemon that sent the call, and the call's id on that
  /// daemon.
  using CallKey = std::pair<Address, uint64_t>;
  struct Run {
    CallKey key;
    Call call;
    Time deadline{};
    bool started = false;
    bool head_sent = false;
    Time started_at{};
    Time queued_at{};
    /// Number of runs at its start, this one included.
    uint32_t concurrency = 0;
    /// Number of answer parts sent so far.
    uint32_t parts = 0;
    /// True while the claim of an unrepeatable request is undecided.
    bool awaiting_claim = false;
    /// True until the withheld body has arrived.
    bool awaiting_body = false;
    /// What has arrived of a withheld body.
    std::string arriving_body;
    /// Memory that is reserved for it.
    uint64_t body_share = 0;
  };

  void HandleCall(Context& ctx, Address from, const Call& call);
  /// Handles a call that may have been held up in transit: takes the time that
  /// exceeds the usual off what is left until its deadline and its target.
  void HandleCallInTransit(Context& ctx, Address from, const Call& call);
  void HandleCancel(Context& ctx, Address from, uint64_t id);
  void HandleBodyPiece(Context& ctx, Address from, const BodyPiece& piece);
  /// Asks for as much of the withheld bodies as the link has room for.
  void RequestBodies(Context& ctx);
  void RefuseAwaitingBody(Context& ctx, Errc reason);
  void HandleAnswer(Context& ctx, const BackendAnswered& answered);
  void HandlePeerLost(Context& ctx, Address peer);
  void HandleDeadline(Context& ctx, uint64_t run_id);
  void HandleAnnouncement(Context& ctx, const OperatorRequested& request);
  /// Answers the announcement `request`, which has been taken over. That the
  /// backend server is leaving is acknowledged once it is recorded outside of
  /// this process.
  void AnswerAnnouncement(Context& ctx, uint64_t request);
  void HandleLeaveRecorded(Context& ctx, const BackendAnnouncement& backend);
  void HandleLeaveAnswerTimeout(Context& ctx, uint64_t request);
  void HandleEarlierBackend(Context& ctx, const EarlierBackendKnown& known);
  void TakeOver(Context& ctx, BackendAnnouncement backend);
  void SetBackend(Context& ctx, BackendAnnouncement backend);
  Errc ReasonToRefuse(Context& ctx, const Call& call);
  void HandleTick(Context& ctx);
  bool LearnsSlots(Context& ctx) const;
  void RecordRunTime(Context& ctx, const Run& run, Duration time);
  /// Takes the ages of unfinished runs into account and reports what has been
  /// learned if it has changed.
  void UpdateCapacity(Context& ctx);
  /// Returns false if a roll-out has moved all calls to another version.
  bool MayRunVersion(Context& ctx) const;
  void EvictFor(Context& ctx, const Call& call);
  void RefuseQueued(Context& ctx, Errc reason);
  static bool IsShed(const AnswerPart& part);
  void HandleShed(Context& ctx, uint64_t run_id);
  void CancelExpiredRun(Context& ctx, uint64_t run_id);
  bool HandleBrokenRun(Context& ctx, uint64_t fingerprint);
  void SendAnswerPart(Context& ctx, Run& run, AnswerPart part);
  bool MayStart(Context& ctx, const Call& call);
  /// Returns the expected time until a new call gets a slot; zero if there is
  /// one.
  Duration SlotWait(Context& ctx, const Call& call);
  /// Returns the time until the withheld body of a new call begins to arrive.
  Duration LinkWait(const Call& call) const;
  /// Returns the expected time until a new call starts: the waits for the link
  /// and for a slot, and the transfer of a withheld body.
  Duration TimeToStart(Context& ctx, const Call& call);
  bool MissesDeadline(Context& ctx, const Call& call, Duration remaining,
                      Duration to_start);
  /// Returns true if a call that starts after `to_start` is expected to miss
  /// its target.
  bool MissesTarget(Context& ctx, const Call& call, Duration to_start);
  void HandleClaimDenied(Context& ctx, const ClaimDenied& denied);
  /// Starts the run, or queues it until a slot is free.
  void StartOrQueue(Context& ctx, uint64_t run_id);
  void StartQueued(Context& ctx);
  void StartRun(Context& ctx, uint64_t run_id);
  void EndRun(Context& ctx, uint64_t run_id);
  void Refuse(Context& ctx, const CallKey& key, Errc reason,
              bool refused_by_backend = false, Duration wait = {},
              Duration link_wait = {});
  void ReportCrashSuspects(Context& ctx);
  void LogRefusal(Context& ctx, Address from, const Call& call, Errc reason,
                  Duration wait);
  void LogFailedRun(Context& ctx, const Run& run, std::string_view fault,
                    uint16_t status);
  static double WeightOfCall(const Call& call);
  uint32_t Slots(Context& ctx) const;
  uint32_t LoadPerMille(Context& ctx) const;
  ServiceTime& ServiceTimeOf(const Call& call);

  BackendAnnouncement backend_;
  Time last_announcement_{};
  /// Whether it is recorded outside of this process that the backend server is
  /// leaving.
  bool leave_recorded_ = false;
  /// Announcements to be answered when it is.
  std::set<uint64_t> unanswered_leaves_;
  /// The last announcement that waits until the earlier state is known.
  std::optional<ReceivedAnnouncement> held_announcement_;
  std::map<uint64_t, Run> runs_;
  std::map<CallKey, uint64_t> run_of_call_;
  RunQueue<Rules> queue_;
  BodyTransfers body_transfers_;
  /// Returns the memory that is left for withheld bodies.
  uint64_t FreeBodyMemory(Context& ctx) const;

  /// Memory for withheld bodies.
  ByteBudget body_memory_;
  /// Memory that the bodies of callers' requests occupy.
  uint64_t caller_body_bytes_ = 0;
  /// Service times by route.
  std::map<std::string, ServiceTime> service_times_;
  AnnouncementFilter announcement_filter_;
  ConnectBackoff connect_backoff_;
  CrashSuspects suspects_;
  ConcurrencyLimit concurrency_limit_;
  /// By the daemon at the other end of the connection.
  std::map<Address, TransitClock> transit_clocks_;
  AdaptiveLimit adaptive_limit_;
  CapacityReport capacity_report_;
  uint32_t slots_in_use_ = 0;
  uint64_t last_run_id_ = 0;
  LatencyHistogram queue_waits_;
  LatencyHistogram run_times_;
  Counters<AdmissionCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Admission/admission_announcements_inl.h"
#include "Plugins/Admission/admission_bodies_inl.h"
#include "Plugins/Admission/admission_capacity_inl.h"
#include "Plugins/Admission/admission_inl.h"
#include "Plugins/Admission/admission_log_inl.h"
#include "Plugins/Admission/admission_runs_inl.h"
#include "Plugins/Admission/admission_waits_inl.h"
