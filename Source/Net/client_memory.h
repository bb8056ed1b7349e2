#pragma once
/// \file
/// Memory that the connections of clients occupy.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Base/time.h"

namespace buckthorncart {

struct ClientMemoryLimits {
  /// Bodies of all requests that are being read or answered.
  uint64_t body_bytes = ~0ULL;
  /// These bodies together with those that other daemons have sent.
  uint64_t total_body_bytes = ~0ULL;
  /// Everything else: heads, small bodies, bytes that have not been parsed, and
  /// answers that have not been sent.
  uint64_t buffer_bytes = ~0ULL;
};

/// What one connection holds.
struct ClientUsage {
  /// Received part of the body of the current request.
  uint64_t body_bytes = 0;
  /// Size of that body if the client has announced it, otherwise 0. It is not
  /// counted, since it may never come, but must fit.
  uint64_t announced_bytes = 0;
  uint64_t buffer_bytes = 0;
  /// True while the current request has not been received completely.
  bool receiving = false;
  /// True while the client has not read everything that was sent to it, or has
  /// sent far ahead of its answers.
  bool lagging = false;
  /// Grows with each transfer to or from the client.
  uint64_t transfers = 0;
};

/// A connection whose memory is counted.
class ClientMemoryHolder {
 public:
  virtual ~ClientMemoryHolder() = default;
  /// Releases the memory: refuses a request that has not been received
  /// completely, or closes the connection. Called at most once.
  virtual void GiveWay() = 0;
};

/// Counts the memory of all connections and decides which of them gives way
/// when it is short.
///
/// A body that does not fit is refused, unless bodies that have been without
/// progress for `kStallTime` can give way to it. When buffers exceed their
/// limit, the connections give way that have been without progress longest in
/// sending a request, or whose clients lag behind their answers; if that does
/// not suffice, further requests are refused.
class ClientMemory {
 public:
  /// Bodies up to this size count as buffers.
  static constexpr uint64_t kSmallBodyBytes = 16'384;
  /// The platform's limit on the time for sending a head; a client that is
  /// silent for longer in the middle of a request is not well-behaved.
  static constexpr Duration kStallTime = 3s;

  explicit ClientMemory(const ClientMemoryLimits& limits) : limits_(limits) {}

  /// Records what `holder` holds. Returns false if its request, which has not
  /// been received completely, must be refused because it does not fit. May
  /// call `GiveWay` of any holder, also of this one.
  bool Record(ClientMemoryHolder& holder, const ClientUsage& usage, Time now);
  /// Must be called before the holder is destroyed.
  void Remove(ClientMemoryHolder& holder);

  /// Sets the memory for the bodies that other daemons have sent.
  void SetPeerBodyBytes(uint64_t bytes) { peer_body_bytes_ = bytes; }
  uint64_t BodyBytes() const { return body_bytes_; }
  uint64_t BufferBytes() const { return buffer_bytes_; }
  /// Returns the number of connections that have given way to others.
  uint64_t GaveWay() const { return gave_way_; }

 private:
  struct Entry {
    ClientUsage usage;
    Time last_progress{};
    bool gave_way = false;
  };
  using Entries = std::unordered_map<ClientMemoryHolder*, Entry>;

  /// Makes room for `bytes` of bodies by letting stalled ones give way. Returns
  /// false, and lets none give way, if they do not suffice.
  bool MakeRoom(const ClientMemoryHolder& except, uint64_t bytes, Time now);
  /// Returns true if the buffers are within their limit afterwards.
  bool ReduceBuffers();
  /// Returns the memory that all bodies of clients may take at present.
  uint64_t BodyLimit() const;
  void LetGiveWay(const std::vector<ClientMemoryHolder*>& holders);
  void Count(Entry& entry, const ClientUsage& usage);

  ClientMemoryLimits limits_;
  Entries entries_;
  uint64_t body_bytes_ = 0;
  uint64_t peer_body_bytes_ = 0;
  uint64_t buffer_bytes_ = 0;
  uint64_t gave_way_ = 0;
};

}  // namespace buckthorncart
