#pragma once
/// \file
/// Interface through which all plug-ins send requests to the platform.

#include <cstdint>
#include <optional>

#include "Platform/platform_messages.h"

namespace buckthorncart {

class Context;

/// Requests with lower values are sent first.
enum class PlatformPriority : uint8_t { kOperator, kClaim, kBackground };

class PlatformQueue {
 public:
  virtual ~PlatformQueue() = default;
  /// Queues `request`. `PlatformReplied` with the returned tag follows within
  /// the platform timeout; its status is `kUnknown` when no reply came.
  /// Returns nothing when the queue is full; the request is then not carried
  /// out.
  virtual std::optional<uint64_t> Submit(Context& ctx,
                                         PlatformPriority priority,
                                         PlatformRequest request) = 0;
  /// Gives up a request, which leaves room for others. It may still be carried
  /// out; its reply is of no use.
  virtual void Abandon(Context& ctx, uint64_t tag) = 0;
};

}  // namespace buckthorncart
