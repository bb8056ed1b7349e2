#include "Net/connection_eviction.h"

#include "Net/client_memory.h"

namespace buckthorncart {
namespace {

/// The platform's limit on the time that a connection may be idle.
constexpr Duration kMaxUnreadTime = 15s;

std::optional<EvictionClass> ClassOf(const ConnectionActivity& activity,
                                     Time now) {
  const Duration quiet = now - activity.last_transfer;
  if (activity.answering || activity.unread) {
    if (!activity.unread || quiet < kMaxUnreadTime) return std::nullopt;
    return EvictionClass::kUnread;
  }
  if (activity.receiving) {
    return quiet >= ClientMemory::kStallTime ? EvictionClass::kStalled
                                             : EvictionClass::kReceiving;
  }
  return activity.used ? EvictionClass::kIdle : EvictionClass::kSilent;
}

}  // namespace

std::optional<EvictionRank> RankForEviction(const ConnectionActivity& activity,
                                            Time now) {
  const auto eviction_class = ClassOf(activity, now);
  if (!eviction_class) return std::nullopt;
  return EvictionRank{*eviction_class, activity.last_transfer};
}

}  // namespace buckthorncart
