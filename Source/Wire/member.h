#pragma once
/// \file
/// Records that daemons keep of one another and of their backend servers.

#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>

#include "Base/address.h"
#include "Base/enum_names.h"
#include "Wire/enum_adaptor.h"

namespace buckthorncart {

/// Maximum sum of the lengths of the texts of a record, bytes, so that it fits
/// in a datagram.
inline constexpr size_t kMaxMemberTextBytes = 1'000;

/// Ordered by precedence: of two records with equal incarnation and sequence,
/// the one with the higher status replaces the other.
enum class MemberStatus : uint8_t { kAlive, kSuspect, kLeaving, kGone };

template <>
struct EnumNames<MemberStatus> {
  static constexpr std::string_view kNames[] = {"alive", "suspect", "leaving",
                                                "gone"};
};
template <>
struct WireEnum<MemberStatus> : NamedWireEnum<MemberStatus> {};

/// State that a backend server announces.
enum class BackendState : uint8_t { kAbsent, kStarting, kReady, kDraining };

template <>
struct EnumNames<BackendState> {
  static constexpr std::string_view kNames[] = {"absent", "starting", "ready",
                                                "draining"};
};
template <>
struct WireEnum<BackendState> : NamedWireEnum<BackendState> {};

/// Announcement that a backend server sends to its daemon.
struct BackendAnnouncement {
  std::string service;
  BackendState state = BackendState::kAbsent;
  /// Number of requests that the backend server can run at the same time.
  uint32_t slots = 0;
  std::map<std::string, std::string> labels;
  /// Identifies one start of the backend server; empty if it announces no id.
  std::string id = {};
  /// Start time, in milliseconds since the epoch; 0 if not announced.
  uint64_t started_ms = 0;
  /// True if the backend server has announced that it is leaving. All starts of
  /// its id up to `started_ms` have then ended, also after a restart of the
  /// daemon.
  bool left = false;
  /// Version of its software; empty if it is not announced or roll-outs are not
  /// staged.
  std::string version = {};

  bool operator==(const BackendAnnouncement&) const = default;
  MSGPACK_DEFINE(service, state, slots, labels, id, started_ms, left, version)
};

/// A daemon and its backend server.
struct Member {
  Address address;
  std::string data_centre;
  /// Start time of the process, in milliseconds since the epoch.
  uint64_t incarnation = 0;
  /// Number of the member's own updates and refutations in this incarnation.
  uint64_t sequence = 0;
  MemberStatus status = MemberStatus::kAlive;
  BackendAnnouncement backend;
  /// True if the daemon watches the platform and relays new configuration
  /// versions.
  bool relays = false;
  /// Rate of the link in kilobits per second; 0 if the daemon takes no withheld
  /// bodies.
  uint32_t link_kbps = 0;
  /// Number of requests that the backend server runs well at the same time, as
  /// learned by its daemon; 0 if it is as announced.
  uint32_t capacity = 0;
  /// Run times of the backend server as a multiple of those that are typical of
  /// the routes, in per mille; 0 if not known.
  uint32_t pace_per_mille = 0;
  /// False while the daemon may not know what earlier processes at its address
  /// have acknowledged to their backend servers.
  bool is_confirmed = true;

  /// Returns true if this record replaces `other`, a record of the same
  /// address.
  bool Supersedes(const Member& other) const {
    return std::tie(incarnation, sequence, status) >
           std::tie(other.incarnation, other.sequence, other.status);
  }
  /// Returns false if no daemon can have written this record: a field is out of
  /// range, or the record is too large for a datagram.
  bool IsValid() const;
  MSGPACK_DEFINE(address, data_centre, incarnation, sequence, status, backend,
                 relays, link_kbps, capacity, pace_per_mille, is_confirmed)
};

}  // namespace buckthorncart
