#pragma once
/// \file
/// Admits requests to the backend server beside this daemon.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "Base/address.h"
#include "Base/error.h"
#include "Base/time.h"
#include "Kernel/claim_events.h"
#include "Kernel/counters.h"
#include "Kernel/latency_histogram.h"
#include "Kernel/plugin.h"
#include "Plugins/Admission/announcement_filter.h"
#include "Plugins/Admission/connect_backoff.h"
#include "Plugins/Admission/crash_suspects.h"
#include "Plugins/Admission/run_queue.h"
#include "Plugins/Admission/shed_limit.h"
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
};

template <>
struct EnumNames<AdmissionCounter> {
  static constexpr std::string_view kNames[] = {
      "admission_runs_total",      "admission_refused_total",
      "admission_queued_total",    "admission_expired_in_queue_total",
      "admission_completed_total", "admission_broken_total",
      "admission_cancelled_total", "admission_evicted_total",
      "admission_shed_total"};
};

/// Knows the slots, the drain and the connections of the backend server
/// exactly, so that its refusal "not run" is true by construction.
template <RequestRules Rules>
class Admission : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  /// The daemon that sent a call, and the call's id there.
  using CallKey = std::pair<Address, uint64_t>;
  struct Run {
    CallKey key;
    Call call;
    Time deadline{};
    bool started = false;
    bool head_sent = false;
    Time started_at{};
    Time queued_at{};
    /// Parts of the answer sent so far.
    uint32_t parts = 0;
    /// Unrepeatable, and its claim has not been decided.
    bool awaiting_claim = false;
  };

  void HandleCall(Context& ctx, Address from, const Call& call);
  void HandleCancel(Context& ctx, Address from, uint64_t id);
  void HandleAnswer(Context& ctx, const BackendAnswered& answered);
  void HandlePeerLost(Context& ctx, Address peer);
  void HandleDeadline(Context& ctx, uint64_t number);
  void HandleAnnouncement(Context& ctx, const OperatorRequested& request);
  void SetBackend(Context& ctx, BackendAnnouncement backend);
  Errc ReasonToRefuse(Context& ctx, const Call& call);
  void HandleTick(Context& ctx);
  void EvictFor(Context& ctx, const Call& call);
  void RefuseQueued(Context& ctx, Errc reason);
  static bool IsShed(const AnswerPart& part);
  void HandleShed(Context& ctx, uint64_t number);
  void CancelStarted(Context& ctx, uint64_t number);
  bool NoteBroken(Context& ctx, uint64_t fingerprint);
  void SendPart(Context& ctx, Run& run, AnswerPart part);
  bool MayStart(Context& ctx, const Call& call);
  /// Expected wait of a new call for a slot.
  Duration WaitOf(Context& ctx, const Call& call);
  bool IsTooLate(Context& ctx, const Call& call, Duration remaining,
                 Duration wait);
  /// True if the call would miss its target by waiting.
  bool MissesTarget(Context& ctx, const Call& call, Duration wait);
  void HandleClaimDenied(Context& ctx, const ClaimDenied& denied);
  /// Starts the run or queues it for a slot.
  void StartOrQueue(Context& ctx, uint64_t number);
  void StartQueued(Context& ctx);
  void StartRun(Context& ctx, uint64_t number);
  void EndRun(Context& ctx, uint64_t number);
  void Refuse(Context& ctx, const CallKey& key, Errc reason,
              bool reached_backend = false, Duration wait = {});
  void NoteBackendLost(Context& ctx);
  void LogRefusal(Context& ctx, Address from, const Call& call, Errc reason,
                  Duration wait);
  void LogFailedRun(Context& ctx, const Run& run, std::string_view fault,
                    uint16_t status);
  static double WeightOfCall(const Call& call);
  uint32_t Slots(Context& ctx) const;
  uint32_t LoadPerMille(Context& ctx) const;
  ServiceTime& TimeOf(const Call& call);

  BackendAnnouncement backend_;
  Time last_announcement_{};
  std::map<uint64_t, Run> runs_;
  std::map<CallKey, uint64_t> run_of_call_;
  RunQueue<Rules> queue_;
  /// By route.
  std::map<std::string, ServiceTime> service_times_;
  AnnouncementFilter announcement_filter_;
  ConnectBackoff connect_backoff_;
  CrashSuspects suspects_;
  ShedLimit shed_limit_;
  uint32_t slots_in_use_ = 0;
  uint64_t next_run_ = 0;
  LatencyHistogram waits_;
  LatencyHistogram run_times_;
  Counters<AdmissionCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Admission/admission_inl.h"
#include "Plugins/Admission/admission_runs_inl.h"
