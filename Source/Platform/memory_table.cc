#include "Platform/memory_table.h"

#include <algorithm>

namespace buckthorncart {

PlatformReply MemoryTable::Apply(const PlatformRequest& request) {
  return std::visit(
      [this](const auto& alternative) { return ApplyOne(alternative); },
      request);
}

bool MemoryTable::IsMet(const Condition& condition) const {
  const auto it = rows_.find(condition.key);
  if (!condition.value) return it == rows_.end();
  return it != rows_.end() && it->second == *condition.value;
}

PlatformReply MemoryTable::ApplyOne(const Transaction& transaction) {
  const bool all_met = std::all_of(
      transaction.conditions.begin(), transaction.conditions.end(),
      [this](const Condition& condition) { return IsMet(condition); });
  if (!all_met) {
    PlatformReply reply{PlatformStatus::kConditionFailed, {}, {}, 0};
    for (const Condition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      if (it != rows_.end()) reply.rows.insert(*it);
    }
    return reply;
  }
  ++version_;
  for (const Write& write : transaction.writes) {
    versions_[write.key] = version_;
    if (write.value) {
      rows_[write.key] = *write.value;
    } else {
      rows_.erase(write.key);
    }
  }
  return {PlatformStatus::kOk, {}, {}, 0};
}

PlatformReply MemoryTable::ApplyOne(const ReadRows& read) const {
  PlatformReply reply{PlatformStatus::kOk, {}, {}, version_};
  for (const std::string& key : read.keys) {
    const auto it = rows_.find(key);
    if (it != rows_.end()) reply.rows.insert(*it);
  }
  return reply;
}

PlatformReply MemoryTable::ApplyOne(const ScanRows& scan) const {
  PlatformReply reply{PlatformStatus::kOk, {}, {}, 0};
  auto it = scan.after.empty() ? rows_.lower_bound(scan.prefix)
                               : rows_.upper_bound(scan.after);
  for (; it != rows_.end() && it->first.starts_with(scan.prefix); ++it) {
    if (reply.rows.size() == scan.limit) break;
    reply.rows.insert(*it);
  }
  return reply;
}

PlatformReply MemoryTable::ApplyOne(const WatchRow& watch) const {
  PlatformReply reply{PlatformStatus::kOk, {}, {}, version_};
  const auto changed = versions_.find(watch.key);
  const auto row = rows_.find(watch.key);
  const bool is_newer = changed != versions_.end() && row != rows_.end() &&
                        changed->second > watch.after;
  if (is_newer) reply.rows.insert(*row);
  return reply;
}

PlatformReply MemoryTable::ApplyOne(const PutObject& put) {
  objects_[put.name] = put.bytes;
  return {PlatformStatus::kOk, {}, {}, 0};
}

PlatformReply MemoryTable::ApplyOne(const GetObject& get) const {
  PlatformReply reply{PlatformStatus::kOk, {}, {}, 0};
  const auto it = objects_.find(get.name);
  if (it != objects_.end()) reply.object = it->second;
  return reply;
}

}  // namespace buckthorncart
