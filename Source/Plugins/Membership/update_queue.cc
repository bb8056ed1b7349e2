#include "Plugins/Membership/update_queue.h"

#include <algorithm>
#include <bit>

#include "Wire/codec.h"

namespace buckthorncart {
namespace {

/// Number of times a record is sent for each doubling of the fleet size.
constexpr uint32_t kTransmissionsFactor = 3;
/// Number of duplicates that make all transmissions of a record unnecessary.
constexpr uint32_t kMaxDuplicates = 6;

}  // namespace

void UpdateQueue::Add(const Member& member, size_t fleet_size) {
  const auto doublings = static_cast<uint32_t>(std::bit_width(fleet_size + 1));
  const uint32_t transmissions = kTransmissionsFactor * doublings;
  entries_[member.address] = {member, Encode(member).size(), transmissions,
                              std::max(transmissions / kMaxDuplicates, 1U)};
}

void UpdateQueue::RecordDuplicate(const Member& member) {
  const auto it = entries_.find(member.address);
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  if (entry.member.Supersedes(member) || member.Supersedes(entry.member))
    return;
  if (entry.remaining > entry.duplicate_weight) {
    entry.remaining -= entry.duplicate_weight;
  } else {
    entries_.erase(it);
  }
}

std::vector<Member> UpdateQueue::Take(size_t max_bytes) {
  std::vector<Entry*> order;
  order.reserve(entries_.size());
  for (auto& [address, entry] : entries_) order.push_back(&entry);
  std::stable_sort(order.begin(), order.end(),
                   [](const Entry* a, const Entry* b) {
                     return a->remaining > b->remaining;
                   });
  std::vector<Member> taken;
  for (Entry* entry : order) {
    if (entry->bytes > max_bytes) continue;
    max_bytes -= entry->bytes;
    --entry->remaining;
    taken.push_back(entry->member);
  }
  std::erase_if(entries_,
                [](const auto& item) { return item.second.remaining == 0; });
  return taken;
}

}  // namespace buckthorncart
