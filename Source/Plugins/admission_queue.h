#pragma once
/// \file
/// Runs that wait for a slot of the backend server.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Config/objects.h"
#include "Plugins/request_rules.h"

namespace buckthorncart {

/// First in, first out within a class. Interactive runs go first, but one
/// start in `kBulkInterval` is a bulk run's, so that bulk is slow and never
/// starves.
template <RequestRules Rules>
class AdmissionQueue {
 public:
  void Push(uint64_t run, RequestClass request_class) {
    QueueOf(request_class).push_back(run);
  }

  /// Takes the run that starts next.
  std::optional<uint64_t> Pop() {
    if (Size() == 0) return std::nullopt;
    const bool both = !Interactive().empty() && !Bulk().empty();
    const bool bulk_turn =
        Rules::kShareWithBulk && both && ++starts_ % kBulkInterval == 0;
    auto& queue = Interactive().empty() || bulk_turn ? Bulk() : Interactive();
    const uint64_t run = queue.front();
    queue.pop_front();
    return run;
  }

  /// Takes the newest bulk run out to make room for an interactive one.
  std::optional<uint64_t> EvictFor(RequestClass request_class) {
    if (request_class != RequestClass::kInteractive) return std::nullopt;
    if (Bulk().empty()) return std::nullopt;
    const uint64_t run = Bulk().back();
    Bulk().pop_back();
    return run;
  }
  bool CanEvictFor(RequestClass request_class) const {
    return request_class == RequestClass::kInteractive && !queues_[1].empty();
  }

  void Erase(uint64_t run) {
    for (auto& queue : queues_) std::erase(queue, run);
  }
  size_t Size() const { return queues_[0].size() + queues_[1].size(); }
  /// Runs that start before a new one of `request_class`.
  size_t Ahead(RequestClass request_class) const {
    return request_class == RequestClass::kInteractive ? queues_[0].size()
                                                       : Size();
  }

 private:
  static constexpr uint32_t kBulkInterval = 16;

  std::deque<uint64_t>& Interactive() { return queues_[0]; }
  std::deque<uint64_t>& Bulk() { return queues_[1]; }
  std::deque<uint64_t>& QueueOf(RequestClass request_class) {
    if (!Rules::kSeparateClasses) return Interactive();
    return queues_[static_cast<size_t>(request_class)];
  }

  std::array<std::deque<uint64_t>, 2> queues_;
  uint32_t starts_ = 0;
};

}  // namespace buckthorncart
