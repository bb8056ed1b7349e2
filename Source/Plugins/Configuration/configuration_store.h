#pragma once
/// \file
/// The held configuration and the recent changes that led to it.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "Base/result.h"
#include "Config/change.h"
#include "Config/snapshot.h"
#include "Plugins/Configuration/configuration_rules.h"

namespace buckthorncart {

/// Number of changes retained for peers that lag behind.
inline constexpr size_t kMaxRetainedChanges = 256;

/// Applies versions only as a whole, each newer than the one before.
template <ConfigurationRules Rules>
class ConfigurationStore {
 public:
  const SnapshotPtr& Held() const { return held_; }
  const std::deque<Change>& RetainedChanges() const {
    return retained_changes_;
  }

  /// Applies the next version. Fails with `kStaleVersion`, `kVersionGap`,
  /// `kDigestMismatch` or `kInvalidConfiguration` and then leaves the store
  /// unchanged.
  Result<SnapshotPtr> Apply(const Change& change) {
    if (Rules::kRejectOlderVersions && change.version <= held_->version) {
      return Fail(Errc::kStaleVersion);
    }
    if (change.version != held_->version + 1 && Rules::kRejectOlderVersions) {
      return Fail(Errc::kVersionGap);
    }
    auto result = ApplyEditsUnchecked(held_->configuration, change.edits);
    if (!result) return Fail(Errc::kInvalidConfiguration);
    auto applied = Replace({change.version, change.digest, std::move(*result)});
    if (!applied) return applied;
    retained_changes_.push_back(change);
    if (retained_changes_.size() > kMaxRetainedChanges)
      retained_changes_.pop_front();
    return applied;
  }

  /// Applies a full snapshot that is newer than the held one.
  Result<SnapshotPtr> Apply(const Snapshot& snapshot) {
    if (Rules::kRejectOlderVersions && snapshot.version <= held_->version) {
      return Fail(Errc::kStaleVersion);
    }
    auto applied = Replace(snapshot);
    if (applied) retained_changes_.clear();
    return applied;
  }

  /// Returns the changes after `version` up to the held one, or nothing if some
  /// of them are no longer retained.
  std::optional<std::vector<Change>> ChangesAfter(uint64_t version) const {
    std::vector<Change> changes;
    for (const Change& change : retained_changes_) {
      if (change.version > version) changes.push_back(change);
    }
    if (held_->version - version != changes.size()) return std::nullopt;
    return changes;
  }

 private:
  Result<SnapshotPtr> Replace(Snapshot snapshot) {
    if (Rules::kVerifyDigest &&
        snapshot.configuration.Digest() != snapshot.digest) {
      return Fail(Errc::kDigestMismatch);
    }
    if (Rules::kValidateResult && !snapshot.configuration.Validate().empty()) {
      return Fail(Errc::kInvalidConfiguration);
    }
    snapshot.configuration.IndexKeys();
    held_ = std::make_shared<const Snapshot>(std::move(snapshot));
    return held_;
  }

  SnapshotPtr held_ = std::make_shared<const Snapshot>();
  std::deque<Change> retained_changes_;
};

}  // namespace buckthorncart
