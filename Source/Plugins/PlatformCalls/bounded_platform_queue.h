#pragma once
/// \file
/// Bounded priority queue of requests to the platform.

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>

#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/latency_histogram.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

enum class PlatformCounter : uint8_t {
  kRequests,
  kUnavailable,
  kUnknown,
  kQueueFull,
};

template <>
struct EnumNames<PlatformCounter> {
  static constexpr std::string_view kNames[] = {
      "platform_requests_total", "platform_unavailable_total",
      "platform_unknown_total", "platform_queue_full_total"};
};

/// Limits the number of requests in flight and sends queued requests by
/// priority: operators' changes, then claims, then refreshes. Every accepted
/// request gets a reply within its timeout.
class BoundedPlatformQueue : public Plugin, public PlatformQueue {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  std::optional<uint64_t> Submit(Context& ctx, PlatformPriority priority,
                                 PlatformRequest request) override;
  void Abandon(Context& ctx, uint64_t tag) override;

 private:
  struct QueuedRequest {
    uint64_t tag = 0;
    Time queued_at{};
    PlatformRequest request;
  };
  static constexpr size_t kPriorityCount = 3;

  void SendNext(Context& ctx);
  void SendRequest(Context& ctx, QueuedRequest queued);
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void HandleTimeout(Context& ctx, uint64_t tag);
  void SetAvailable(Context& ctx, bool available);
  size_t QueueLength() const;

  std::array<std::deque<QueuedRequest>, kPriorityCount> queues_;
  /// Requests that have been handed to the platform driver, by tag, with the
  /// time at which they were sent.
  std::map<uint64_t, Time> in_flight_;
  uint64_t next_tag_ = 0;
  bool available_ = true;
  LatencyHistogram call_durations_;
  Counters<PlatformCounter> counters_;
};

}  // namespace buckthorncart
