#pragma once
/// \file
/// What plug-ins publish for one another.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <utility>

#include "Base/address.h"
#include "Config/change.h"
#include "Config/snapshot.h"
#include "Wire/member.h"

namespace buckthorncart {

class PlatformQueue;

/// Each field is written by the one plug-in named beside it and read by all.
struct Directory {
  /// Held configuration, never null (configuration).
  SnapshotPtr held = std::make_shared<const Snapshot>();
  /// Changes that led to the held version, oldest first (configuration).
  const std::deque<Change>* kept_changes = nullptr;
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
  /// Requests that run or wait for the local backend server (admission).
  uint32_t active_runs = 0;
  /// Requests of callers without a complete answer (receiving).
  uint32_t active_calls = 0;
  /// Runs by the daemon that sent the call and the call's id (admission).
  const std::map<std::pair<Address, uint64_t>, uint64_t>* run_of_call = nullptr;
  /// Wall-clock time of the start, milliseconds since the epoch (kernel).
  uint64_t started_wall_ms = 0;
};

}  // namespace buckthorncart
