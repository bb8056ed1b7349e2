#pragma once
/// \file
/// What plug-ins publish for one another.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <utility>

#include "Base/address.h"
#include "Base/time.h"
#include "Config/change.h"
#include "Config/snapshot.h"
#include "Wire/member.h"

namespace buckthorncart {

class ClaimWriter;
class CrashRegister;
class PlatformQueue;

/// Each field is written by the one plug-in named beside it and read by all.
struct SharedState {
  /// Held configuration, never null (configuration).
  SnapshotPtr held = std::make_shared<const Snapshot>();
  /// Changes that led to the held version, oldest first (configuration).
  const std::deque<Change>* recent_changes = nullptr;
  /// True once the held version may be served (configuration).
  bool ready = false;
  /// All known daemons but this one, by address (membership).
  std::map<Address, Member> members;
  /// This daemon (membership).
  Member self;
  /// Requests to the platform go through here (platform queue).
  PlatformQueue* platform = nullptr;
  /// True once this daemon leaves (drain).
  bool draining = false;
  /// True once callers that stayed are refused, so that it can end (drain).
  bool refusing_callers = false;
  /// Requests that run or wait for the local backend server (admission).
  uint32_t active_runs = 0;
  /// Requests of callers without a complete answer (receiving).
  uint32_t active_calls = 0;
  /// Runs by the daemon that sent the call and the call's id (admission).
  const std::map<std::pair<Address, uint64_t>, uint64_t>* run_by_call = nullptr;
  /// Transactions on claims go through here (claim relay).
  ClaimWriter* claim_writer = nullptr;
  /// Last use of the connection to a peer for calls (receiving, admission,
  /// claims).
  std::map<Address, Time> peer_last_used;
  /// Requests whose runs have killed backend servers (crash guard).
  CrashRegister* crash_register = nullptr;
  /// Outcomes of unrepeatable calls that the platform has not confirmed
  /// (claims).
  uint32_t unrecorded_outcomes = 0;
  /// Wall-clock time of the start, milliseconds since the epoch (kernel).
  uint64_t started_wall_ms = 0;
};

}  // namespace buckthorncart
