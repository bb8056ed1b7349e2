#pragma once
/// \file
/// Test double of the platform's table and object store.

#include <cstdint>
#include <string>

#include "Base/address.h"
#include "Base/time.h"
#include "Net/http_server.h"
#include "Net/loop.h"
#include "Platform/memory_table.h"

namespace buckthorncart {

/// How the stand-in handles requests.
enum class StandinMode : uint8_t {
  kUp,
  /// Rejects every request without executing it.
  kDown,
  /// Neither executes nor answers requests.
  kSilent,
  /// Executes requests and answers after a delay.
  kSlow,
  /// Executes requests, then closes the connection without an answer.
  kLoseAnswers,
};

template <>
struct EnumNames<StandinMode> {
  static constexpr std::string_view kNames[] = {"up", "down", "silent", "slow",
                                                "lose-answers"};
};

/// Serves `POST /v1/platform`, `POST /control?mode=…&delay-ms=…&count=…`, which
/// sets the mode, and `GET /statistics`.
class PlatformStandin : private HttpServerHandler {
 public:
  explicit PlatformStandin(Loop& loop);
  Result<void> Listen(Address address);

 private:
  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnClientDisconnected(uint64_t id) override;

  void HandleControl(uint64_t id, const HttpRequest& request);
  void HandlePlatform(uint64_t id, const HttpRequest& request);
  void AnswerStatistics(uint64_t id);
  void AnswerText(uint64_t id, uint16_t status, std::string body);
  StandinMode TakeModeOfNextRequest();

  Loop& loop_;
  HttpServer server_;
  MemoryTable table_;
  StandinMode mode_ = StandinMode::kUp;
  Duration delay_{};
  /// Requests that are still handled in the current mode; 0 for no limit.
  uint64_t remaining_requests_ = 0;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace buckthorncart
