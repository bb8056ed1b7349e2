#include "Net/answer_queue.h"

#include <algorithm>
#include <utility>

namespace buckthorncart {

bool AnswerQueue::MayRead() const {
  if (closing_) return false;
  if (exchanges_.empty()) return true;
  return exchanges_.size() < limits_.requests && HeldBytes() < limits_.bytes;
}

void AnswerQueue::Add(HttpExchange exchange) {
  exchanges_.push_back(std::move(exchange));
}

size_t AnswerQueue::CloseAfterStarted() {
  closing_ = true;
  const size_t started = StartedCount();
  const size_t removed = exchanges_.size() - started;
  while (exchanges_.size() > started) exchanges_.pop_back();
  return removed;
}

std::vector<uint64_t> AnswerQueue::CutBehind(uint64_t id) {
  closing_ = true;
  std::vector<uint64_t> cancelled;
  if (Find(id) == nullptr) return cancelled;
  while (exchanges_.back().Id() != id) {
    if (exchanges_.back().Id() != 0)
      cancelled.push_back(exchanges_.back().Id());
    exchanges_.pop_back();
  }
  return cancelled;
}

HttpExchange* AnswerQueue::FirstWaiting() {
  const size_t started = StartedCount();
  return started == exchanges_.size() ? nullptr : &exchanges_[started];
}

bool AnswerQueue::MayStartNext(bool overlaps) const {
  const size_t started = StartedCount();
  if (started == 0) return true;
  return overlaps && exchanges_[started - 1].Overlaps();
}

HttpExchange* AnswerQueue::Find(uint64_t id) {
  const auto it =
      std::find_if(exchanges_.begin(), exchanges_.end(),
                   [id](const HttpExchange& e) { return e.Id() == id; });
  return id == 0 || it == exchanges_.end() ? nullptr : &*it;
}

std::vector<uint64_t> AnswerQueue::StartedIds() const {
  std::vector<uint64_t> ids;
  for (const HttpExchange& exchange : exchanges_) {
    if (exchange.Id() != 0) ids.push_back(exchange.Id());
  }
  return ids;
}

size_t AnswerQueue::OverlappingCount() const {
  const size_t started = StartedIds().size();
  return started == 0 ? 0 : started - 1;
}

uint64_t AnswerQueue::BodyBytes() const {
  uint64_t bytes = 0;
  for (const HttpExchange& exchange : exchanges_) {
    bytes += exchange.Memory().body_bytes;
  }
  return bytes;
}

size_t AnswerQueue::BufferBytes() const {
  size_t bytes = 0;
  for (const HttpExchange& exchange : exchanges_) {
    bytes += exchange.Memory().head_bytes + exchange.BufferedBytes();
  }
  return bytes;
}

size_t AnswerQueue::HeldBytes() const {
  size_t bytes = 0;
  for (const HttpExchange& exchange : exchanges_) {
    bytes += exchange.RequestBytes() + exchange.BufferedBytes();
  }
  return bytes;
}

/// An answer without a request may stand behind requests that wait, so that
/// the started ones are counted up to the first that is not.
size_t AnswerQueue::StartedCount() const {
  const auto waiting =
      std::find_if(exchanges_.begin(), exchanges_.end(),
                   [](const HttpExchange& e) { return !e.IsStarted(); });
  return static_cast<size_t>(waiting - exchanges_.begin());
}

}  // namespace buckthorncart
