#pragma once
/// \file
/// Order of the requests and answers on one HTTP connection.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "Net/http_exchange.h"
#include "Net/pipeline_limits.h"

namespace buckthorncart {

/// Decides which request of a connection is read, started and answered next,
/// and after which answer the connection closes. Knows no socket.
class AnswerQueue {
 public:
  explicit AnswerQueue(const PipelineLimits& limits) : limits_(limits) {}

  bool IsEmpty() const { return exchanges_.empty(); }
  size_t Size() const { return exchanges_.size(); }
  /// Returns true if a further request may be read.
  bool MayRead() const;
  void Add(HttpExchange exchange);
  /// No request behind the present ones will be read.
  void CloseAfterLast() { closing_ = true; }
  /// Closes after the answer to the last request that has been started, since
  /// callers send again what stands behind a closing answer. Removes the other
  /// requests and returns their number.
  size_t CloseAfterStarted();
  /// Removes what stands behind request `id`, because its answer breaks off.
  /// Returns the IDs of the removed requests that had been started and removes
  /// the others, too.
  std::vector<uint64_t> CutBehind(uint64_t id);

  /// Returns the first request that has not been started, or null.
  HttpExchange* FirstWaiting();
  /// Returns true if the first request that waits may start now. `overlaps`
  /// tells whether it may run at the same time as others: one that may not
  /// starts when all answers before it are complete, and none starts before the
  /// answer to it is complete.
  bool MayStartNext(bool overlaps) const;
  /// Returns the request with this ID, or null.
  HttpExchange* Find(uint64_t id);
  /// Returns the request whose answer is written next. Must not be empty.
  HttpExchange& Front() { return exchanges_.front(); }
  void PopFront() { exchanges_.pop_front(); }
  /// Returns true if the connection closes after the answer of `Front`.
  bool ClosesAfterFront() const { return closing_ && exchanges_.size() == 1; }
  /// Returns true if the last answer has been written.
  bool IsFinished() const { return closing_ && exchanges_.empty(); }
  /// Returns the IDs of all requests that have been started.
  std::vector<uint64_t> StartedIds() const;
  /// Returns the number of requests that have been started behind the first.
  size_t OverlappingCount() const;
  /// Removes all requests and their answers.
  void Clear() { exchanges_.clear(); }
  /// Returns the memory of the bodies of all requests, in bytes.
  uint64_t BodyBytes() const;
  /// Returns the memory of the heads of all requests and of the answers that
  /// wait, in bytes.
  size_t BufferBytes() const;

 private:
  /// Memory of all requests and of the answers that wait, in bytes.
  size_t HeldBytes() const;
  size_t StartedCount() const;

  PipelineLimits limits_;
  /// In the order of the requests. Those that have been started come first.
  std::deque<HttpExchange> exchanges_;
  bool closing_ = false;
};

}  // namespace buckthorncart
