#pragma once
/// \file
/// Steps of a roll-out: which share of the calls the target version gets at
/// which moment, and when the roll-out succeeds or is rolled back.

#include <cstdint>
#include <optional>
#include <string_view>

#include "Base/enum_names.h"
#include "Base/time.h"
#include "Plugins/Rollouts/rollout_evidence.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

/// Step in which only the target version gets calls.
inline constexpr uint32_t kFullStep = 4;
inline constexpr uint32_t kFullShare = 1'000;

/// Requests that a version which is rolled back may get.
struct ExposureLimit {
  uint32_t share_per_mille = 100;
  uint32_t slack = 50;
};

/// What the decider knows of a roll-out.
struct RolloutFacts {
  /// Time since the order was opened.
  Duration elapsed{};
  /// Time since the present step began.
  Duration step_age{};
  /// Calls of the service at all daemons, per second; 0 if not known yet.
  double calls_per_s = 0;
  /// Slots of ready backend servers of the target version and of the others.
  uint32_t target_slots = 0;
  uint32_t other_slots = 0;
  /// Time since a backend server of the target version became ready first.
  Duration target_age{};
  /// Answers of the target version past its cold start.
  uint64_t timed_answers = 0;
  RolloutVerdict verdict = RolloutVerdict::kNone;
  /// A daemon has rejected the target version by its own evidence.
  bool rejected_by_daemon = false;
  /// No call runs on another version, and none is admitted.
  bool others_stopped = false;
};

/// Why a roll-out changes its state.
enum class RolloutReason : uint8_t {
  kStep,
  kComplete,
  kFailures,
  kSlow,
  kDaemonEvidence,
  kNoBackendServer,
  kDeadline,
};

template <>
struct EnumNames<RolloutReason> {
  static constexpr std::string_view kNames[] = {
      "step",    "complete",        "failures",
      "slow",    "daemon-evidence", "no-backend-server",
      "deadline"};
};

struct RolloutChange {
  Rollout next;
  RolloutReason reason = RolloutReason::kStep;
};

/// Returns the first state of a roll-out for `order`. The target version gets
/// a share that is small at any rate of calls, until that rate is known.
Rollout OpenRollout(const RolloutOrder& order, std::string_view from,
                    uint64_t wall_ms);

/// Returns the state that follows `rollout`, or nothing if it stays as it is.
/// The token and revision are not changed.
std::optional<RolloutChange> NextState(const Rollout& rollout,
                                       const RolloutFacts& facts,
                                       const ExposureLimit& limit);

}  // namespace buckthorncart
