#pragma once
/// \file
/// Decides which versions of a service may get calls.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/time.h"
#include "Plugins/Rollouts/rollout_evidence.h"
#include "Wire/member.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

/// The calls of one service that this daemon sends, by version.
///
/// A version may get calls if it is the present one of the service, or as far
/// as a roll-out to it allows. A version that nobody has ordered gets none for
/// `kHoldTime`; if it is known by then that there is no order for the service,
/// its backend servers are ordinary replacements. If no ready backend server
/// has a version that may get calls, all of them may, since the service would
/// otherwise have none.
///
/// The share of a roll-out is kept by credit: each call adds the share to it
/// and each attempt at the target version takes one, so that the sum over any
/// number of daemons stays within the share of all calls, and a retry counts as
/// much as a first attempt.
class VersionGate {
 public:
  /// Time for which a version that nobody has ordered gets no calls. Together
  /// with the time until other daemons know of a backend server, it is shorter
  /// than the four seconds in which a replacement must get calls.
  static constexpr Duration kHoldTime = 1'600ms;
  /// The orders must have been read this long after the version was first seen.
  static constexpr Duration kOrderDelay = 800ms;
  /// Cold start of a backend server, with the time until daemons know of it.
  static constexpr Duration kColdStart = 3'500ms;

  /// Replaces the backend servers that are known; called regularly.
  void UpdateMembers(const std::vector<const Member*>& members, Time now);
  bool Knows(const std::string& service, const std::string& version) const;
  /// Takes over a state, unless it is older than the present one. `credit` is
  /// uniform in [0, 1), so that daemons do not send their first call to the
  /// target version at the same time. Returns true if the state is new.
  bool Adopt(const Rollout& rollout, double credit, Time now);
  /// The orders for `service` are known as of `at`.
  void SetOrdersKnown(const std::string& service, Time at);

  /// A caller's request for `service` has arrived.
  void RecordCall(const std::string& service);
  /// Returns true if the next attempt may go to `version`.
  bool MaySend(const std::string& service, const std::string& version) const;
  /// Returns true if calls to `version` are limited to a share. An attempt that
  /// may go there is to do so, so that the share is reached.
  bool IsStaged(const std::string& service, const std::string& version) const;
  void RecordSent(const std::string& service, const std::string& version);

  /// An attempt at `daemon` has ended with an answer, or has failed.
  struct Ending {
    const std::string& service;
    const std::string& route;
    const std::string& version;
    Address daemon;
    Time sent_at{};
    bool failed = false;
  };
  void RecordEnd(const Ending& ending, Time now);
  /// Judges the own evidence, and stops the use of a version that it is
  /// against. Returns the services whose roll-out has been rejected now.
  std::vector<std::string> Judge(Time now);

  /// Returns false if a backend server of `version` must not run calls any
  /// more: a roll-out to another version has reached its last step, or the one
  /// to `version` has been rolled back. Its daemon refuses calls of daemons
  /// that do not know it yet.
  bool MayRun(const std::string& service, const std::string& version) const;

  /// Reports on the services whose roll-out runs, or of which this daemon knows
  /// versions that may not get calls.
  std::vector<RolloutReport> MakeReports() const;
  /// Returns true if the roll-out of some service is in its last step.
  bool IsInLastStep() const;
  /// Returns the present state, or null if there has been no order.
  const Rollout* FindRollout(const std::string& service) const;

 private:
  enum class Access : uint8_t { kDenied, kShare, kFree };
  struct Version {
    Time first_seen{};
    uint32_t ready = 0;
    /// Earliest start of its backend servers, milliseconds since the epoch.
    uint64_t started_ms = 0;
    Access access = Access::kDenied;
  };
  /// Mean time of the answers of the versions that are not the target.
  struct RouteTime {
    double mean_us = 0;
    uint32_t answers = 0;
  };
  struct Service {
    std::map<std::string, Version> versions;
    /// Versions in use, apart from a roll-out.
    std::set<std::string> accepted;
    Rollout rollout;
    Time orders_known{};
    double credit = 0;
    uint64_t calls = 0;
    bool rejected = false;
    /// Some known version may not get calls, or a roll-out runs.
    bool needs_orders = false;
    RolloutEvidence evidence;
    std::unordered_map<std::string, RouteTime> times;
  };

  static bool IsRunning(const Service& service);
  static Access Classify(const Service& service, const std::string& name);
  static void Accept(Service& service, Time now);
  static void Refresh(Service& service, Time now);
  bool IsCold(Address daemon, Time sent_at) const;
  const Service* Find(const std::string& service) const;

  std::unordered_map<std::string, Service> services_;
  /// When each daemon's backend server was first seen to be ready, by the start
  /// of the backend server.
  struct ReadySince {
    std::string id;
    Time since{};
  };
  std::map<Address, ReadySince> ready_since_;
};

}  // namespace buckthorncart
