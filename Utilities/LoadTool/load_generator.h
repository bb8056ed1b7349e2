#pragma once
/// \file
/// Open-loop HTTP load with a check of every answer.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Net/http_client.h"
#include "Net/loop.h"

namespace buckthorncart {

struct LoadSettings {
  std::vector<Address> targets;
  std::string method = "GET";
  std::string path = "/";
  /// Bytes that a whole answer has.
  uint64_t expected_bytes = 32;
  uint32_t rate_per_second = 100;
  Duration duration = 1s;
  /// Requests without an answer at which no more are sent.
  uint32_t max_in_flight = 512;
  uint32_t deadline_ms = 0;
  /// Gives each request an idempotency key with this prefix.
  std::string key_prefix;
  /// Sends a request to the next target when it was certainly not run, and
  /// leaves a target alone for a time when it closes its connections.
  bool fail_over = false;
};

/// What the load met. A request counts in exactly one of the first four.
struct LoadReport {
  uint64_t whole = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /// No answer, or one that was visibly cut.
  uint64_t broken = 0;
  /// Status 200 with other bytes than expected: never allowed.
  uint64_t wrong = 0;
  /// Not sent because too many were in flight.
  uint64_t withheld = 0;
  /// Attempts at another target after one that did not run the request.
  uint64_t moved = 0;
  std::map<std::string, uint64_t> reasons;
  std::vector<int64_t> latencies_us;

  uint64_t Sent() const { return whole + not_run + unknown + broken + wrong; }
  /// Latency below which `share` of the whole answers came, microseconds.
  int64_t LatencyAt(double share);
};

/// Sends at a constant rate, whatever the answers do, to all targets in turn.
class LoadGenerator {
 public:
  LoadGenerator(Loop& loop, const LoadSettings& settings);
  Result<void> Start();
  /// Sends no more and waits for the answers that are due.
  void EndSending();
  LoadReport& Report() { return report_; }

 private:
  struct Pending {
    Time sent{};
    uint16_t status = 0;
    uint64_t bytes = 0;
    std::string outcome;
    std::string reason;
    size_t target = 0;
    uint32_t attempts = 0;
  };
  void SendDue();
  void SendOne();
  void Attempt(uint64_t id, Pending& pending);
  bool MayMove(const Pending& pending, BackendFault fault) const;
  void OnPart(uint64_t id, const AnswerPart& part, BackendFault fault);
  void Classify(const Pending& pending, BackendFault fault);

  Loop& loop_;
  LoadSettings settings_;
  HttpClient client_;
  LoadReport report_;
  std::map<uint64_t, Pending> pending_;
  std::map<size_t, Time> avoided_until_;
  Time started_{};
  uint64_t next_id_ = 0;
  uint64_t due_ = 0;
};

}  // namespace buckthorncart
