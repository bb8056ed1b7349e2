#pragma once
/// \file
/// Open-loop HTTP load generator that checks every answer.

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
  /// Body size of a complete answer, bytes.
  uint64_t expected_bytes = 32;
  uint32_t rate_per_second = 100;
  Duration duration = 1s;
  /// Maximum number of requests in flight; further requests are not sent.
  uint32_t max_in_flight = 512;
  uint32_t deadline_ms = 0;
  /// Prefix of the idempotency key of each request; empty sends no key.
  std::string key_prefix;
  /// Retries a request on the next target if it was certainly not run, and
  /// avoids a target for a time after it refused a connection or drained.
  bool fail_over = false;
};

/// Results of a load run. A finished request counts in exactly one of `whole`,
/// `not_run`, `unknown`, `broken` and `wrong`.
struct LoadReport {
  uint64_t whole = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /// No answer, or an answer that was visibly truncated.
  uint64_t broken = 0;
  /// Status 200 with an unexpected body size; this must never happen.
  uint64_t wrong = 0;
  /// Not sent because too many were in flight.
  uint64_t withheld = 0;
  /// Retries on another target after one that did not run the request.
  uint64_t moved = 0;
  std::map<std::string, uint64_t> reasons;
  std::vector<int64_t> latencies_us;

  uint64_t Sent() const { return whole + not_run + unknown + broken + wrong; }
  /// Latency quantile of the complete answers, microseconds; `share` is in
  /// [0, 1].
  int64_t LatencyQuantile(double share);
};

/// Sends requests to all targets in round-robin order at a constant rate,
/// independent of the answers.
class LoadGenerator {
 public:
  LoadGenerator(Loop& loop, const LoadSettings& settings);
  Result<void> Start();
  /// Stops sending and waits for the outstanding answers.
  void StopSending();
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
  void SendScheduled();
  void SendOne();
  void Attempt(uint64_t id, Pending& pending);
  bool MayFailOver(const Pending& pending, BackendFault fault) const;
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
  uint64_t scheduled_ = 0;
};

}  // namespace buckthorncart
