#pragma once
/// \file
/// Runs that wait for a slot of the backend server.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Plugins/request_rank.h"
#include "Plugins/request_rules.h"

namespace buckthorncart {

/// First in, first out within a rank. Lower ranks go first, but one start in
/// `kShareInterval` belongs to the highest rank that waits, so that urgent
/// work slows other work down and never starves it.
template <RequestRules Rules>
class AdmissionQueue {
 public:
  void Push(uint64_t run, uint32_t rank) { QueueOf(rank).push_back(run); }

  /// Takes the run that starts next.
  std::optional<uint64_t> Pop() {
    if (Size() == 0) return std::nullopt;
    auto& first = *FirstWaiting();
    auto& last = *LastWaiting();
    const bool several = &first != &last;
    const bool last_turn =
        Rules::kShareWithBulk && several && ++starts_ % kShareInterval == 0;
    auto& queue = last_turn ? last : first;
    const uint64_t run = queue.front();
    queue.pop_front();
    return run;
  }

  /// Takes the newest run of the highest rank out to make room for one of
  /// `rank`.
  std::optional<uint64_t> EvictFor(uint32_t rank) {
    if (!CanEvictFor(rank)) return std::nullopt;
    auto& queue = *LastWaiting();
    const uint64_t run = queue.back();
    queue.pop_back();
    return run;
  }
  bool CanEvictFor(uint32_t rank) const {
    for (size_t i = rank + 1; i < queues_.size(); ++i) {
      if (!queues_[i].empty()) return true;
    }
    return false;
  }

  void Erase(uint64_t run) {
    for (auto& queue : queues_) std::erase(queue, run);
  }
  size_t Size() const {
    size_t n = 0;
    for (const auto& queue : queues_) n += queue.size();
    return n;
  }
  /// All runs that wait, in no order.
  std::vector<uint64_t> All() const {
    std::vector<uint64_t> runs;
    for (const auto& queue : queues_) {
      runs.insert(runs.end(), queue.begin(), queue.end());
    }
    return runs;
  }
  /// Calls `visit` with the run of each rank that starts before a new one of
  /// `rank`.
  template <typename Visitor>
  void VisitAhead(uint32_t rank, Visitor visit) const {
    for (size_t i = 0; i <= rank && i < queues_.size(); ++i) {
      visit(static_cast<uint32_t>(i), queues_[i].size());
    }
  }

 private:
  static constexpr uint32_t kShareInterval = 16;

  std::deque<uint64_t>& QueueOf(uint32_t rank) {
    return queues_[Rules::kSeparateClasses ? rank : 0];
  }
  std::deque<uint64_t>* FirstWaiting() {
    for (auto& queue : queues_) {
      if (!queue.empty()) return &queue;
    }
    return nullptr;
  }
  std::deque<uint64_t>* LastWaiting() {
    for (auto it = queues_.rbegin(); it != queues_.rend(); ++it) {
      if (!it->empty()) return &*it;
    }
    return nullptr;
  }

  std::array<std::deque<uint64_t>, kRanks> queues_;
  uint32_t starts_ = 0;
};

}  // namespace buckthorncart
