#pragma once
/// \file
/// The held configuration and the changes that led to it.

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

/// Changes that are kept for peers that lag.
inline constexpr size_t kKeptChanges = 256;

/// Takes whole versions only, each higher than the one before.
template <ConfigurationRules Rules>
class ConfigurationStore {
 public:
  const SnapshotPtr& Held() const { return held_; }
  const std::deque<Change>& Kept() const { return kept_; }

  /// Takes the next version. Fails with `kStaleVersion`, `kVersionGap`,
  /// `kDigestMismatch` or `kInvalidConfiguration`; then nothing has changed.
  Result<SnapshotPtr> Take(const Change& change) {
    if (Rules::kRefuseOlder && change.version <= held_->version) {
      return Fail(Errc::kStaleVersion);
    }
    if (change.version != held_->version + 1 && Rules::kRefuseOlder) {
      return Fail(Errc::kVersionGap);
    }
    auto result = ApplyEditsUnchecked(held_->configuration, change.edits);
    if (!result) return Fail(Errc::kInvalidConfiguration);
    auto taken = Swap({change.version, change.digest, std::move(*result)});
    if (!taken) return taken;
    kept_.push_back(change);
    if (kept_.size() > kKeptChanges) kept_.pop_front();
    return taken;
  }

  /// Takes a whole configuration that is newer than the held one.
  Result<SnapshotPtr> Take(const Snapshot& snapshot) {
    if (Rules::kRefuseOlder && snapshot.version <= held_->version) {
      return Fail(Errc::kStaleVersion);
    }
    auto taken = Swap(snapshot);
    if (taken) kept_.clear();
    return taken;
  }

  /// Changes after `version` up to the held one, or nothing when some of them
  /// are no longer kept.
  std::optional<std::vector<Change>> ChangesAfter(uint64_t version) const {
    std::vector<Change> changes;
    for (const Change& change : kept_) {
      if (change.version > version) changes.push_back(change);
    }
    if (held_->version - version != changes.size()) return std::nullopt;
    return changes;
  }

 private:
  Result<SnapshotPtr> Swap(Snapshot snapshot) {
    if (Rules::kVerifyDigest &&
        snapshot.configuration.Digest() != snapshot.digest) {
      return Fail(Errc::kDigestMismatch);
    }
    if (Rules::kValidateWhole && !snapshot.configuration.Validate().empty()) {
      return Fail(Errc::kInvalidConfiguration);
    }
    held_ = std::make_shared<const Snapshot>(std::move(snapshot));
    return held_;
  }

  SnapshotPtr held_ = std::make_shared<const Snapshot>();
  std::deque<Change> kept_;
};

}  // namespace buckthorncart
