#pragma once
/// \file
/// What the daemons know of one another.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>

#include "Base/address.h"
#include "Base/enum_names.h"

namespace buckthorncart {

/// Ranked: of two records of equal incarnation and sequence the higher status
/// wins.
enum class MemberStatus : uint8_t { kAlive, kSuspect, kLeaving, kGone };

template <>
struct EnumNames<MemberStatus> {
  static constexpr std::string_view kNames[] = {"alive", "suspect", "leaving",
                                                "gone"};
};

/// State of a backend server as announced by itself.
enum class BackendState : uint8_t { kAbsent, kStarting, kReady, kDraining };

template <>
struct EnumNames<BackendState> {
  static constexpr std::string_view kNames[] = {"absent", "starting", "ready",
                                                "draining"};
};

/// A backend server's announcement of itself.
struct BackendAnnouncement {
  std::string service;
  BackendState state = BackendState::kAbsent;
  /// Requests that it can run at once.
  uint32_t slots = 0;
  std::map<std::string, std::string> labels;
  /// Names one start of the backend server; empty if it names none.
  std::string id = {};
  /// When it started, milliseconds since the epoch; 0 if it does not tell.
  uint64_t started_ms = 0;

  bool operator==(const BackendAnnouncement&) const = default;
  MSGPACK_DEFINE(service, state, slots, labels, id, started_ms)
};

/// A daemon, with the backend server beside it.
struct Member {
  Address address;
  std::string data_centre;
  /// Start time of the process, milliseconds since the epoch.
  uint64_t incarnation = 0;
  /// Counts the member's own updates and refutations within an incarnation.
  uint64_t sequence = 0;
  MemberStatus status = MemberStatus::kAlive;
  BackendAnnouncement backend;
  /// It watches the platform and passes versions of the configuration on.
  bool relays = false;

  /// True if this record replaces `other` of the same address.
  bool Supersedes(const Member& other) const {
    return std::tie(incarnation, sequence, status) >
           std::tie(other.incarnation, other.sequence, other.status);
  }
  MSGPACK_DEFINE(address, data_centre, incarnation, sequence, status, backend,
                 relays)
};

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::MemberStatus)
MSGPACK_ADD_ENUM(buckthorncart::BackendState)
