#include "Net/client_memory.h"

#include <algorithm>
#include <utility>

namespace buckthorncart {
namespace {

/// Counts a small body as a buffer.
ClientUsage Classify(ClientUsage usage) {
  if (std::max(usage.body_bytes, usage.announced_bytes) >
      ClientMemory::kSmallBodyBytes) {
    return usage;
  }
  usage.buffer_bytes += std::exchange(usage.body_bytes, 0);
  usage.announced_bytes = 0;
  return usage;
}

}  // namespace

bool ClientMemory::Record(ClientMemoryHolder& holder, const ClientUsage& usage,
                          Time now) {
  const ClientUsage counted = Classify(usage);
  Entry& entry = entries_[&holder];
  // A holder that is giving way may report once more.
  if (entry.gave_way) return true;
  const bool is_new = entry.last_progress == Time{};
  if (is_new || counted.transfers != entry.usage.transfers) {
    entry.last_progress = now;
    entry.usage.transfers = counted.transfers;
  }
  const uint64_t expected =
      std::max(counted.body_bytes, counted.announced_bytes);
  const uint64_t others = body_bytes_ - entry.usage.body_bytes;
  const bool grows =
      counted.receiving || counted.body_bytes > entry.usage.body_bytes;
  if (grows && expected > 0) {
    const uint64_t limit = BodyLimit();
    if (expected > limit) return false;
    const uint64_t room = limit - std::min(limit, others);
    if (expected > room && !MakeRoom(holder, expected - room, now)) {
      return false;
    }
  }
  Count(entries_.at(&holder), counted);
  return ReduceBuffers() || !counted.receiving;
}

uint64_t ClientMemory::BodyLimit() const {
  const uint64_t total = limits_.total_body_bytes;
  return std::min(limits_.body_bytes,
                  total - std::min(total, peer_body_bytes_));
}

void ClientMemory::Remove(ClientMemoryHolder& holder) {
  const auto it = entries_.find(&holder);
  if (it == entries_.end()) return;
  Count(it->second, {});
  entries_.erase(it);
}

void ClientMemory::Count(Entry& entry, const ClientUsage& usage) {
  body_bytes_ += usage.body_bytes - entry.usage.body_bytes;
  buffer_bytes_ += usage.buffer_bytes - entry.usage.buffer_bytes;
  entry.usage = usage;
}

bool ClientMemory::MakeRoom(const ClientMemoryHolder& except, uint64_t bytes,
                            Time now) {
  std::vector<std::pair<Time, ClientMemoryHolder*>> stalled;
  for (const auto& [holder, entry] : entries_) {
    if (holder == &except || entry.gave_way) continue;
    if (!entry.usage.receiving || entry.usage.body_bytes == 0) continue;
    if (now - entry.last_progress < kStallTime) continue;
    stalled.emplace_back(entry.last_progress, holder);
  }
  std::sort(stalled.begin(), stalled.end());
  std::vector<ClientMemoryHolder*> chosen;
  uint64_t freed = 0;
  for (const auto& [last_progress, holder] : stalled) {
    if (freed >= bytes) break;
    freed += entries_.at(holder).usage.body_bytes;
    chosen.push_back(holder);
  }
  if (freed < bytes) return false;
  LetGiveWay(chosen);
  return true;
}

bool ClientMemory::ReduceBuffers() {
  if (buffer_bytes_ <= limits_.buffer_bytes) return true;
  std::vector<std::pair<Time, ClientMemoryHolder*>> holders;
  for (const auto& [holder, entry] : entries_) {
    const ClientUsage& usage = entry.usage;
    const bool may_give_way = usage.receiving || usage.lagging;
    if (entry.gave_way || !may_give_way || usage.buffer_bytes == 0) continue;
    holders.emplace_back(entry.last_progress, holder);
  }
  std::sort(holders.begin(), holders.end());
  std::vector<ClientMemoryHolder*> chosen;
  uint64_t left = buffer_bytes_;
  for (const auto& [last_progress, holder] : holders) {
    if (left <= limits_.buffer_bytes) break;
    left -= entries_.at(holder).usage.buffer_bytes;
    chosen.push_back(holder);
  }
  LetGiveWay(chosen);
  return buffer_bytes_ <= limits_.buffer_bytes;
}

/// Stops counting the holders first, since `GiveWay` may cause further calls of
/// this class.
void ClientMemory::LetGiveWay(const std::vector<ClientMemoryHolder*>& holders) {
  for (ClientMemoryHolder* holder : holders) {
    Entry& entry = entries_.at(holder);
    Count(entry, {});
    entry.gave_way = true;
    ++gave_way_;
  }
  for (ClientMemoryHolder* holder : holders) {
    // An earlier holder may have ended this one.
    if (entries_.contains(holder)) holder->GiveWay();
  }
}

}  // namespace buckthorncart
