#pragma once
/// \file
/// Which daemons pass versions of the configuration on to which.
///
/// Daemons with a wide link watch the platform and are relays while it serves
/// them. The others rely on the relays of their data centre, or on all relays
/// when it has none.

#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Kernel/shared_state.h"

namespace buckthorncart {

class ConfigurationRelays {
 public:
  explicit ConfigurationRelays(const SharedState& directory)
      : directory_(directory) {}

  /// True when this daemon is no relay and is served by one.
  bool ServeSelf() const {
    if (directory_.self.relays) return false;
    for (const auto& [address, member] : directory_.members) {
      if (IsRelay(member)) return true;
    }
    return false;
  }

  /// Daemons that rely on this one, which is a relay.
  std::vector<Address> Followers() const {
    std::vector<Address> followers;
    for (const auto& [address, member] : directory_.members) {
      if (member.status > MemberStatus::kSuspect || member.relays) continue;
      const bool near = member.data_centre == directory_.self.data_centre;
      if (near || !HasRelay(member.data_centre)) followers.push_back(address);
    }
    return followers;
  }

 private:
  static bool IsRelay(const Member& member) {
    return member.relays && member.status == MemberStatus::kAlive;
  }
  bool HasRelay(std::string_view data_centre) const {
    for (const auto& [address, member] : directory_.members) {
      if (IsRelay(member) && member.data_centre == data_centre) return true;
    }
    return false;
  }

  const SharedState& directory_;
};

}  // namespace buckthorncart
