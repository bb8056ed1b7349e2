#include "Plugins/Admission/body_transfers.h"

#include <algorithm>

namespace buckthorncart {
namespace {

constexpr uint64_t kPieceBytes = 16U << 10U;
/// Bytes in flight at most, as time on the link; covers the round trip and the
/// processing of a piece, so that the link does not run empty.
constexpr Duration kWindowTime = 30ms;
constexpr uint64_t kMinWindowBytes = 2 * kPieceBytes;
constexpr uint64_t kMaxWindowBytes = 1U << 20U;
/// A transfer without progress for this long gives its place to others.
constexpr Duration kStallTime = 500ms;

}  // namespace

BodyTransfers::BodyTransfers(uint32_t link_kbps)
    : rate_(link_kbps),
      window_bytes_(std::clamp(rate_.NominalBytesIn(kWindowTime),
                               kMinWindowBytes, kMaxWindowBytes)) {}

void BodyTransfers::Add(uint64_t run, uint64_t bytes, double weight) {
  const auto after = std::find_if(
      transfers_.begin(), transfers_.end(),
      [weight](const Transfer& other) { return other.weight < weight; });
  transfers_.insert(after, Transfer{run, weight, bytes});
}

bool BodyTransfers::RecordArrival(uint64_t run, uint64_t bytes, Time now) {
  Transfer* transfer = Find(run);
  if (transfer == nullptr) return false;
  rate_.RecordArrival(bytes, now);
  transfer->arrived += bytes;
  transfer->last_progress = now;
  if (transfer->arrived < transfer->bytes) return false;
  Erase(run);
  return true;
}

void BodyTransfers::Erase(uint64_t run) {
  std::erase_if(transfers_, [run](const Transfer& transfer) {
    return transfer.run == run;
  });
}

std::vector<BodyTransfers::Range> BodyTransfers::TakeRequests(Time now) {
  std::vector<Range> ranges;
  uint64_t in_flight = InFlight(now);
  bool waiting = false;
  for (Transfer& transfer : transfers_) {
    if (IsStalled(transfer, now)) continue;
    while (transfer.requested < transfer.bytes && in_flight < window_bytes_) {
      const uint64_t n =
          std::min(kPieceBytes, transfer.bytes - transfer.requested);
      if (transfer.InFlight() == 0) transfer.last_progress = now;
      ranges.push_back({transfer.run, transfer.requested, n});
      transfer.requested += n;
      in_flight += n;
    }
    waiting = waiting || transfer.requested < transfer.bytes;
  }
  rate_.SetSaturated(waiting, now);
  return ranges;
}

Duration BodyTransfers::ExpectedWait(double weight) const {
  uint64_t bytes = 0;
  for (const Transfer& transfer : transfers_) {
    if (transfer.weight < weight) continue;
    bytes += transfer.bytes - transfer.arrived;
  }
  return rate_.TimeFor(bytes);
}

Duration BodyTransfers::TransferTime(uint64_t bytes) const {
  return rate_.TimeFor(bytes);
}

BodyTransfers::Transfer* BodyTransfers::Find(uint64_t run) {
  const auto it = std::find_if(
      transfers_.begin(), transfers_.end(),
      [run](const Transfer& transfer) { return transfer.run == run; });
  return it == transfers_.end() ? nullptr : &*it;
}

bool BodyTransfers::IsStalled(const Transfer& transfer, Time now) {
  return transfer.InFlight() > 0 && now - transfer.last_progress > kStallTime;
}

uint64_t BodyTransfers::InFlight(Time now) const {
  uint64_t bytes = 0;
  for (const Transfer& transfer : transfers_) {
    if (!IsStalled(transfer, now)) bytes += transfer.InFlight();
  }
  return bytes;
}

}  // namespace buckthorncart
