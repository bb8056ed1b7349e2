#pragma once
/// \file
/// State that plug-ins publish for one another.

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
class QuotaGate;
class VersionGate;

/// Each field may be read by all plug-ins and is written only by those given in
/// parentheses.
struct SharedState {
  /// Configuration that this daemon holds, never null (configuration).
  SnapshotPtr held = std::make_shared<const Snapshot>();
  /// Changes that led to the held version, oldest first (configuration).
  const std::deque<Change>* recent_changes = nullptr;
  /// True once the held version may be served (configuration).
  bool ready = false;
  /// All known daemons but this one, by address (membership).
  std::map<Address, Member> members;
  /// This daemon (membership).
  Member self;
  /// Queue for requests to the platform (platform queue).
  PlatformQueue* platform = nullptr;
  /// True once this daemon has begun to drain (drain).
  bool draining = false;
  /// True once requests of callers that keep sending are refused, so that
  /// draining can finish (drain).
  bool refusing_callers = false;
  /// Requests that run on the local backend server or wait for it (admission).
  uint32_t active_runs = 0;
  /// Runs that the local backend server executes, and those of them whose
  /// request was sent to another backend server before (admission).
  uint32_t running = 0;
  uint32_t rerunning = 0;
  /// Requests of callers without a complete answer (call router).
  uint32_t active_calls = 0;
  /// Run of each call, by the daemon that sent the call and the call's id there
  /// (admission).
  const std::map<std::pair<Address, uint64_t>, uint64_t>* run_by_call = nullptr;
  /// Interface for transactions on claims (claim relay).
  ClaimWriter* claim_writer = nullptr;
  /// Time at which the connection to a peer was last used for calls (call
  /// router, admission, claims).
  std::map<Address, Time> peer_last_used;
  /// Register of requests whose runs have crashed backend servers (crash
  /// guard).
  CrashRegister* crash_register = nullptr;
  /// Outcomes of unrepeatable calls that the platform has not confirmed
  /// (claims).
  uint32_t unrecorded_outcomes = 0;
  /// Wall-clock time of the start, milliseconds since the epoch (kernel).
  uint64_t started_wall_ms = 0;
  /// Memory for the bodies of requests from other daemons, bytes (admission).
  uint64_t peer_body_bytes = 0;
  /// Decides which versions of a service may get calls; null if roll-outs are
  /// not staged (roll-outs).
  VersionGate* version_gate = nullptr;
  /// Latest era of the platform's store that this daemon has heard of (restore
  /// detector).
  uint64_t platform_era = 0;
  /// Decides whether calls fit into the limits of their workspaces; null if
  /// limits are not enforced (quota holder).
  QuotaGate* quota_gate = nullptr;
  /// Shares of the quota that this daemon may use or lease at present (quota
  /// shares).
  uint32_t quota_shares = 0;
};

}  // namespace buckthorncart
