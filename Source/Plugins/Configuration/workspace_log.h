#pragma once
/// \file
/// Reports changes of the workspaces and their API keys.

#include <cstddef>
#include <set>

#include "Config/configuration.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// Number of keys that a version adds and revokes.
struct KeyChanges {
  size_t added = 0;
  size_t revoked = 0;
};

/// Returns all keys of all workspaces.
std::set<KeyDigest> KeysOf(const Configuration& configuration);

KeyChanges CompareKeys(const std::set<KeyDigest>& before,
                       const std::set<KeyDigest>& after);

/// Logs versions that add or revoke keys or change the number of workspaces.
/// Keys and their digests are not logged.
class WorkspaceLog : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  std::set<KeyDigest> keys_;
  size_t workspaces_ = 0;
};

}  // namespace buckthorncart
