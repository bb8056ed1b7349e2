#pragma once
/// \file
/// Records and messages of staged roll-outs.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "Base/address.h"
#include "Base/enum_names.h"
#include "Wire/enum_adaptor.h"

namespace buckthorncart {

enum class RolloutPhase : uint8_t { kRunning, kSucceeded, kRolledBack };

template <>
struct EnumNames<RolloutPhase> {
  static constexpr std::string_view kNames[] = {"running", "succeeded",
                                                "rolled_back"};
};
template <>
struct WireEnum<RolloutPhase> : NamedWireEnum<RolloutPhase> {};

/// An operator's order to move the calls of a service to a version; the row
/// `op/rollout/SERVICE`.
struct RolloutOrder {
  std::string service;
  std::string target;
  /// Time from the order until its deadline.
  uint32_t duration_ms = 0;
  MSGPACK_DEFINE(service, target, duration_ms)
};

/// State of the roll-out of a service; the row `status/rollout/SERVICE`.
struct Rollout {
  std::string service;
  /// Version that the calls are moved to; empty if there has been no order.
  std::string target;
  /// Version in use when the order was opened; empty if there was none.
  std::string from;
  RolloutPhase phase = RolloutPhase::kRunning;
  /// Index of the present step of the plan.
  uint32_t step = 0;
  /// Share of the calls that may go to `target`, per mille.
  uint32_t share_per_mille = 0;
  /// Wall-clock time at which the order was opened, milliseconds since the
  /// epoch.
  uint64_t opened_ms = 0;
  uint32_t duration_ms = 0;
  /// Fencing token of the decider that wrote this state.
  uint64_t token = 0;
  /// Number of states of the service so far.
  uint64_t revision = 0;

  bool operator==(const Rollout&) const = default;
  /// Returns true if this state replaces `other`, one of the same service.
  bool Supersedes(const Rollout& other) const {
    return std::tie(token, revision) > std::tie(other.token, other.revision);
  }
  MSGPACK_DEFINE(service, target, from, phase, step, share_per_mille, opened_ms,
                 duration_ms, token, revision)
};

/// Value of the row `rollout/lead`: the daemon that decides on roll-outs.
struct RolloutLead {
  Address holder;
  uint64_t token = 0;
  MSGPACK_DEFINE(holder, token)
};

/// Answers of one version on one route, counted from the opening of the order.
struct VersionCounts {
  uint64_t answers = 0;
  /// Answers with status 5xx, and broken connections.
  uint64_t failures = 0;
  /// Answers whose time counts: those of backend servers past their cold start.
  uint64_t timed = 0;
  /// Those of them that took several times as long as usual.
  uint64_t slow = 0;
  MSGPACK_DEFINE(answers, failures, timed, slow)
};

/// Evidence on one route: the target version and the others.
struct RouteEvidence {
  std::string route;
  VersionCounts target;
  VersionCounts others;
  MSGPACK_DEFINE(route, target, others)
};

/// What a daemon knows and has seen of the roll-out of a service.
struct RolloutReport {
  std::string service;
  /// Target, token and revision of the state that the sender applies.
  std::string target;
  uint64_t token = 0;
  uint64_t revision = 0;
  /// Calls of the service at the sender since the order was opened.
  uint64_t calls = 0;
  /// The sender's own evidence is against the target version.
  bool rejected = false;
  /// The sender's backend server is not of the target version, no call runs on
  /// it, and none is admitted.
  bool stopped = false;
  std::vector<RouteEvidence> evidence;
  /// The state that the sender applies, if it is of an earlier era than the
  /// decider's token, so that the store may have lost it; else without target.
  Rollout applied = {};
  MSGPACK_DEFINE(service, target, token, revision, calls, rejected, stopped,
                 evidence, applied)
};

/// Reports on the services that the sender asks for; the reply is
/// `RolloutStates`.
struct RolloutReports {
  std::vector<RolloutReport> reports;
  MSGPACK_DEFINE(reports)
};

/// States of roll-outs. A service that the receiver has asked for and that has
/// none is listed with an empty target.
struct RolloutStates {
  /// The daemon that decides on roll-outs; unset if the sender knows none.
  Address lead;
  uint64_t token = 0;
  /// Time since the decider last read the orders, milliseconds.
  uint32_t age_ms = 0;
  std::vector<Rollout> rollouts;
  MSGPACK_DEFINE(lead, token, age_ms, rollouts)
};

}  // namespace buckthorncart
