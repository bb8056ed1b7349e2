#pragma once
/// \file
/// Selects which daemons forward configuration versions to which others.
///
/// Daemons with enough bandwidth watch the platform and act as relays while the
/// platform is reachable. The others rely on the relays of their data centre,
/// or on all relays if it has none.

#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Kernel/shared_state.h"

namespace buckthorncart {

class ConfigurationRelays {
 public:
  explicit ConfigurationRelays(const SharedState& shared) : shared_(shared) {}

  /// Returns true if this daemon is not a relay itself and a live relay exists.
  bool IsServedByRelay() const {
    if (shared_.self.relays) return false;
    for (const auto& [address, member] : shared_.members) {
      if (IsRelay(member)) return true;
    }
    return false;
  }

  /// Returns the daemons that rely on this relay.
  std::vector<Address> Followers() const {
    std::vector<Address> followers;
    for (const auto& [address, member] : shared_.members) {
      if (member.status > MemberStatus::kSuspect || member.relays) continue;
      const bool same_data_centre =
          member.data_centre == shared_.self.data_centre;
      if (same_data_centre || !HasRelay(member.data_centre))
        followers.push_back(address);
    }
    return followers;
  }

 private:
  static bool IsRelay(const Member& member) {
    return member.relays && member.status == MemberStatus::kAlive;
  }
  bool HasRelay(std::string_view data_centre) const {
    for (const auto& [address, member] : shared_.members) {
      if (IsRelay(member) && member.data_centre == data_centre) return true;
    }
    return false;
  }

  const SharedState& shared_;
};

}  // namespace buckthorncart
