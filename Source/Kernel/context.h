#pragma once
/// \file
/// Services that plug-ins use while they handle an event.

#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "Base/time.h"
#include "Kernel/effect.h"
#include "Kernel/event.h"
#include "Kernel/kernel_settings.h"
#include "Kernel/log_rate_limiter.h"
#include "Kernel/metrics.h"
#include "Kernel/shared_state.h"

namespace buckthorncart {

/// Set in the ids of requests on the operators' interface that came from
/// another daemon.
inline constexpr uint64_t kRemoteRequestBit = 1ULL << 63U;

class Context {
 public:
  Context(const KernelSettings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {}

  Time Now() const { return now_; }
  const KernelSettings& Settings() const { return settings_; }
  SharedState& Shared() { return shared_; }
  Metrics& AllMetrics() { return metrics_; }
  pcg32& Random() { return random_; }
  /// Wall-clock time, derived from the wall-clock time of the start and the
  /// monotonic clock.
  uint64_t WallMilliseconds() const;
  /// Uniform in [0, bound); 0 when `bound` is 0.
  uint32_t RandomBelow(uint32_t bound);

  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }
  /// Queues an event for all plug-ins, after the current one.
  void Raise(Event event) { raised_.push_back(std::move(event)); }

  /// Sends to another daemon, or raises the message as an event when `to` is
  /// this daemon.
  void Send(Address to, PeerMessage message);
  void SendUdp(Address to, Datagram message);
  void SetTimerIn(Duration delay, TimerKind kind, uint64_t argument = 0);
  /// Emits a log record unless the rate limit of its topic is exceeded.
  void Log(LogTopic topic,
           std::vector<std::pair<std::string, std::string>> fields,
           LogLevel level = LogLevel::kInfo);

  /// Answers a request on the operators' interface, whether it is local or came
  /// from another daemon.
  void AnswerJson(uint64_t request, uint16_t status, std::string body);
  void AnswerText(uint64_t request, uint16_t status, std::string body);
  void AnswerFailure(uint64_t request, uint16_t status, const Failure& failure);
  /// Registers a request from another daemon; returns its local id.
  uint64_t RegisterRemoteRequest(Address from, uint64_t remote_id);

 private:
  friend class Kernel;
  struct RemoteRequest {
    Address from;
    uint64_t id = 0;
  };
  void Answer(uint64_t request, uint16_t status, std::string content_type,
              std::string body);

  KernelSettings settings_;
  pcg32 random_;
  Time now_{};
  Time started_{};
  SharedState shared_;
  Metrics metrics_;
  LogRateLimiter log_rate_limiter_;
  std::vector<Effect> effects_;
  std::deque<Event> raised_;
  std::map<uint64_t, RemoteRequest> remote_requests_;
  uint64_t next_remote_request_ = 0;
};

}  // namespace buckthorncart
