#pragma once
/// \file
/// What the decider knows of the roll-out of one service.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Plugins/Rollouts/rollout_evidence.h"
#include "Plugins/Rollouts/rollout_plan.h"
#include "Wire/member.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

/// Adds up the reports of all daemons on one roll-out, and derives the facts
/// that decide on its next state.
class RolloutBoard {
 public:
  explicit RolloutBoard(Rollout rollout) : rollout_(std::move(rollout)) {}

  const Rollout& Current() const { return rollout_; }
  /// Takes over a state. One with another order starts without evidence.
  void Set(const Rollout& rollout);
  void AddReport(Address daemon, const RolloutReport& report, Time now);
  /// Returns the facts on the current state. `members` are all known daemons;
  /// `wall_ms` is the wall-clock time, milliseconds since the epoch.
  RolloutFacts Facts(const std::vector<const Member*>& members, Time now,
                     uint64_t wall_ms);

 private:
  struct Daemon {
    uint64_t calls = 0;
    std::map<std::string, RouteEvidence> evidence;
    /// Revision of the state in which the daemon has stopped its backend
    /// server; 0 if it has not.
    uint64_t stopped_token = 0;
    uint64_t stopped_revision = 0;
  };
  struct RateSample {
    Time taken_at{};
    uint64_t calls = 0;
  };

  bool AllOthersStopped(const std::vector<const Member*>& members) const;
  double CallsPerSecond(Time now);

  Rollout rollout_;
  std::map<Address, Daemon> daemons_;
  RolloutEvidence evidence_;
  std::deque<RateSample> rate_samples_;
  uint64_t calls_ = 0;
  bool rejected_ = false;
  /// A step has begun since the last facts.
  bool window_pending_ = false;
  std::optional<Time> target_ready_at_;
  std::optional<Time> step_since_;
};

/// Version of most ready backend servers of `service` other than `target`; of
/// equally many, the one whose backend server was started first. Empty if there
/// is none.
std::string PresentVersion(const std::vector<const Member*>& members,
                           const std::string& service,
                           const std::string& target);

}  // namespace buckthorncart
