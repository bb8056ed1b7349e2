#pragma once
/// \file
/// Choice of the connection that is closed when a new one exceeds the limit.

#include <cstdint>
#include <optional>
#include <utility>

#include "Base/time.h"

namespace buckthorncart {

/// What a client's connection does.
struct ConnectionActivity {
  /// A request that has been received is being answered.
  bool answering = false;
  /// A request has been received in part.
  bool receiving = false;
  /// At least one request has been received.
  bool used = false;
  /// The client has not read everything that was sent to it.
  bool unread = false;
  /// Time of the last transfer to or from the client, or of its connection.
  Time last_transfer{};
};

/// In the order of eviction.
enum class EvictionClass : uint8_t {
  /// Has never sent a byte.
  kSilent,
  /// Has stopped in the middle of a request.
  kStalled,
  /// Idle between two requests; a well-behaved client may use it again.
  kIdle,
  /// Is sending a request.
  kReceiving,
  /// Does not read its answer.
  kUnread,
};

/// The lowest rank is evicted first: by class, then by the last transfer.
using EvictionRank = std::pair<EvictionClass, Time>;

/// Returns the rank of a connection, or nothing if it must not be evicted
/// because its request may run or its answer is being read.
std::optional<EvictionRank> RankForEviction(const ConnectionActivity& activity,
                                            Time now);

}  // namespace buckthorncart
