#pragma once
/// \file
/// Selects which daemons forward configuration versions to which others.
///
/// In each data centre, the two daemons with the widest links watch the
/// platform and act as relays while it is reachable. The others rely on the
/// relays of their data centre, or on all relays if it has none. The number of
/// calls to the platform thus does not grow with the fleet.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Kernel/shared_state.h"

namespace buckthorncart {

class ConfigurationRelays {
 public:
  explicit ConfigurationRelays(const SharedState& shared) : shared_(shared) {}

  /// Returns true if this daemon has to ask the platform itself because there
  /// are too few relays. `can_relay` is true if its own link is wide enough for
  /// a relay; `checks` is the number of consecutive checks at which relays were
  /// missing. Daemons with wider links come first, so that those missing are
  /// replaced by few daemons and not by all at once.
  bool MustAskPlatform(bool can_relay, uint32_t checks) const {
    const size_t missing = MissingRelays(can_relay);
    if (missing == 0) return false;
    return WaitingAhead() < missing + checks / kChecksPerReplacement;
  }

  /// Returns true if there are fewer relays than this daemon needs.
  bool AreMissing(bool can_relay) const { return MissingRelays(can_relay) > 0; }

  /// Returns true if this daemon is the first of all relays. It alone checks
  /// often that the platform still answers.
  bool IsFirstRelay() const {
    if (!shared_.self.relays) return false;
    return std::none_of(shared_.members.begin(), shared_.members.end(),
                        [&](const auto& entry) {
                          return IsRelay(entry.second) &&
                                 RanksBefore(entry.second, shared_.self);
                        });
  }

  /// Position of this daemon among those of its data centre, the widest link
  /// first, as a fraction of their number: 0 for the first, below 1 for the
  /// last.
  double RankInDataCentre() const {
    size_t daemons = 1;
    size_t ahead = 0;
    for (const auto& [address, member] : shared_.members) {
      if (member.status != MemberStatus::kAlive || !IsLocal(member)) continue;
      ++daemons;
      if (RanksBefore(member, shared_.self)) ++ahead;
    }
    return static_cast<double>(ahead) / static_cast<double>(daemons);
  }

  /// Returns all relays but this daemon.
  std::vector<Address> All() const {
    std::vector<Address> relays;
    for (const auto& [address, member] : shared_.members) {
      if (IsRelay(member)) relays.push_back(address);
    }
    return relays;
  }

  /// Returns a relay of this data centre; unset if there is none.
  Address LocalRelay() const {
    for (const auto& [address, member] : shared_.members) {
      if (IsRelay(member) && IsLocal(member)) return address;
    }
    return {};
  }

  /// Returns the daemons that rely on this relay.
  std::vector<Address> Followers() const {
    std::vector<Address> followers;
    for (const auto& [address, member] : shared_.members) {
      if (member.status > MemberStatus::kSuspect || member.relays) continue;
      if (IsLocal(member) || !HasRelay(member.data_centre))
        followers.push_back(address);
    }
    return followers;
  }

 private:
  static constexpr size_t kRelaysPerDataCentre = 2;
  /// Checks at which relays are missing until one more daemon asks the
  /// platform.
  static constexpr uint32_t kChecksPerReplacement = 2;

  static bool IsRelay(const Member& member) {
    return member.relays && member.status == MemberStatus::kAlive;
  }
  static bool RanksBefore(const Member& a, const Member& b) {
    if (a.link_kbps != b.link_kbps) return a.link_kbps > b.link_kbps;
    return a.address < b.address;
  }
  bool IsLocal(const Member& member) const {
    return member.data_centre == shared_.self.data_centre;
  }
  bool HasRelay(std::string_view data_centre) const {
    return std::any_of(shared_.members.begin(), shared_.members.end(),
                       [data_centre](const auto& entry) {
                         return IsRelay(entry.second) &&
                                entry.second.data_centre == data_centre;
                       });
  }

  /// A daemon that can be a relay counts those of its data centre, and one that
  /// is a relay only those that rank before it. A daemon that cannot be one
  /// relies on any relay.
  size_t MissingRelays(bool can_relay) const {
    size_t relays = 0;
    for (const auto& [address, member] : shared_.members) {
      if (!IsRelay(member)) continue;
      if (!can_relay) return 0;
      const bool counts =
          !shared_.self.relays || RanksBefore(member, shared_.self);
      if (IsLocal(member) && counts) ++relays;
    }
    return kRelaysPerDataCentre - std::min(relays, kRelaysPerDataCentre);
  }

  /// Returns the number of daemons of this data centre that are to become
  /// relays before this one.
  size_t WaitingAhead() const {
    return static_cast<size_t>(std::count_if(
        shared_.members.begin(), shared_.members.end(), [&](const auto& entry) {
          const Member& member = entry.second;
          return member.status == MemberStatus::kAlive && !member.relays &&
                 IsLocal(member) && RanksBefore(member, shared_.self);
        }));
  }

  const SharedState& shared_;
};

}  // namespace buckthorncart
