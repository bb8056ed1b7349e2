#pragma once
/// \file
/// Bounded priority queue towards the platform.

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

/// Sends a bounded number of requests at once, operators' changes before
/// claims before refreshes, and gives every request an answer in time.
class BoundedPlatformQueue : public Plugin, public PlatformQueue {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  std::optional<uint64_t> Submit(Context& ctx, PlatformPriority priority,
                                 PlatformRequest request) override;

 private:
  struct Waiting {
    uint64_t tag = 0;
    Time since{};
    PlatformRequest request;
  };
  static constexpr size_t kPriorities = 3;

  void SendNext(Context& ctx);
  void SendOne(Context& ctx, Waiting waiting);
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void HandleTimeout(Context& ctx, uint64_t tag);
  void NoteState(Context& ctx, bool available);
  size_t WaitingCount() const;

  std::array<std::deque<Waiting>, kPriorities> waiting_;
  /// Tags of requests that the driver works on.
  std::map<uint64_t, Time> in_flight_;
  uint64_t next_tag_ = 0;
  bool available_ = true;
  LatencyHistogram times_;
  Counters<PlatformCounter> counters_;
};

}  // namespace buckthorncart
