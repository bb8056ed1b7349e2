#pragma once
/// \file
/// What a receiving daemon knows of the backend servers beside its peers.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Base/address.h"
#include "Base/time.h"
#include "Plugins/Requests/backend_choice.h"
#include "Plugins/Requests/ejection.h"
#include "Plugins/Requests/failure_share.h"
#include "Plugins/Requests/request_rules.h"
#include "Plugins/Requests/service_time.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Learns from answers and refusals; the state of each backend server comes
/// from the records of the members.
template <RequestRules Rules>
class PeerLoads {
 public:
  void NoteSent(Address peer) { ++peers_[peer].in_flight; }
  void NoteDone(Address peer) {
    const auto it = peers_.find(peer);
    if (it != peers_.end() && it->second.in_flight > 0) --it->second.in_flight;
  }
  void NoteLoad(Address peer, uint32_t load_per_mille, Time now) {
    Peer& known = peers_[peer];
    known.load_per_mille = load_per_mille;
    known.load_at = now;
    known.ejection.NoteAnswer();
  }
  void NoteTime(Address peer, const std::string& route, Duration time,
                Time now) {
    TimeOf(peers_[peer], route).Record(time, now);
  }
  /// A request was given up after `elapsed`.
  void NoteGivenUp(Address peer, const std::string& route, Duration elapsed,
                   Time now) {
    TimeOf(peers_[peer], route).RecordLowerBound(elapsed, now);
  }
  /// An answer said whether the backend server itself failed.
  void NoteOutcome(Address peer, bool failed, Time now) {
    peers_[peer].failures.Note(failed, now);
  }
  /// Returns true when the failure begins a new ejection.
  bool NoteFailure(Address peer, Time now) {
    return peers_[peer].ejection.NoteFailure(now);
  }
  /// A refusal for want of slots, which also leaves the peer out for a time.
  void NoteOverloaded(Address peer, Time now) {
    Peer& known = peers_[peer];
    known.load_per_mille = kFullLoad;
    known.load_at = now;
    known.ejection.NoteFailure(now);
  }
  /// A refusal that tells how full the backend server is.
  void NoteBusy(Address peer, uint32_t load_per_mille, Time now) {
    Peer& known = peers_[peer];
    known.load_per_mille = std::max(load_per_mille, kLeastBusyLoad);
    known.load_at = now;
  }
  /// A refusal that contradicts the record of `member`.
  void NoteUnavailable(const Member& member, Time now) {
    Peer& known = peers_[member.address];
    known.dropped_record = RecordOf(member);
    known.dropped_until = now + kLongestDrop;
  }
  /// The record of `member` is new or has changed.
  void NoteMember(const Member& member, Time now) {
    if (member.status == MemberStatus::kGone) {
      const auto it = peers_.find(member.address);
      if (it != peers_.end() && it->second.in_flight == 0) peers_.erase(it);
      return;
    }
    Peer& known = peers_[member.address];
    const BackendState state = member.backend.state;
    const bool starts = known.seen && state == BackendState::kReady &&
                        known.state != BackendState::kReady;
    if (starts) known.ready_at = now;
    known.seen = true;
    known.state = state;
  }

  bool IsDropped(const Member& member, Time now) const {
    const auto it = peers_.find(member.address);
    return Rules::kDropRefusing && it != peers_.end() &&
           now < it->second.dropped_until &&
           it->second.dropped_record == RecordOf(member);
  }
  bool IsEjected(Address peer, Time now) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.ejection.IsEjected(now);
  }

  Candidate Describe(const Member& member, const std::string& route,
                     Duration slow_start, Time now) const {
    Candidate candidate;
    candidate.daemon = member.address;
    candidate.slots = std::max(member.backend.slots, 1U);
    const auto it = peers_.find(member.address);
    if (it == peers_.end()) return candidate;
    const Peer& known = it->second;
    candidate.in_flight = known.in_flight;
    candidate.load_per_mille = known.load_per_mille;
    candidate.load_age = now - known.load_at;
    candidate.failure_share = known.failures.At(now);
    candidate.expected_time = ExpectedOf(known, route, now);
    candidate.weight = ShareOf(known, slow_start, now);
    return candidate;
  }

 private:
  /// Incarnation and sequence of a member's record.
  using Record = std::pair<uint64_t, uint64_t>;
  struct Peer {
    uint32_t in_flight = 0;
    uint32_t load_per_mille = 0;
    Time load_at{};
    Ejection ejection;
    FailureShare failures;
    std::map<std::string, ServiceTime> times;
    Record dropped_record;
    Time dropped_until{};
    bool seen = false;
    BackendState state = BackendState::kAbsent;
    Time ready_at{};
  };
  /// Least load of a backend server that has no slot free, per mille.
  static constexpr uint32_t kLeastBusyLoad = 1'000;
  /// Load assumed after a refusal for want of slots, per mille.
  static constexpr uint32_t kFullLoad = 2'000;
  /// A record that crossed with the refusal is believed again after this.
  static constexpr Duration kLongestDrop = 5s;
  /// Share of a backend server that has just become ready.
  static constexpr double kFirstWeight = 0.1;

  static Record RecordOf(const Member& member) {
    return {member.incarnation, member.sequence};
  }
  static ServiceTime& TimeOf(Peer& known, const std::string& route) {
    return known.times[route];
  }
  static Duration ExpectedOf(const Peer& known, const std::string& route,
                             Time now) {
    const auto it = known.times.find(route);
    return it == known.times.end() ? Duration::zero()
                                   : it->second.Expected(now);
  }
  static double ShareOf(const Peer& known, Duration slow_start, Time now) {
    const Duration age = now - known.ready_at;
    const bool grown = known.ready_at == Time{} || age >= slow_start;
    if (!Rules::kSlowStart || grown) return 1.0;
    const double share = static_cast<double>(age.count()) /
                         static_cast<double>(slow_start.count());
    return std::max(kFirstWeight, share);
  }

  std::map<Address, Peer> peers_;
};

}  // namespace buckthorncart
