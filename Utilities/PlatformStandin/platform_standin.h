#pragma once
/// \file
/// Stand-in for the platform's table and object store.

#include <cstdint>
#include <string>

#include "Base/address.h"
#include "Base/time.h"
#include "Net/http_server.h"
#include "Net/loop.h"
#include "Platform/memory_table.h"

namespace buckthorncart {

/// How the stand-in treats requests.
enum class StandinMode : uint8_t {
  kUp,
  /// Refuses every request without carrying it out.
  kDown,
  /// Neither carries out nor answers.
  kSilent,
  /// Carries out and answers after a delay.
  kSlow,
  /// Carries out and then cuts the connection.
  kLoseAnswers,
};

template <>
struct EnumNames<StandinMode> {
  static constexpr std::string_view kNames[] = {"up", "down", "silent", "slow",
                                                "lose-answers"};
};

/// Serves `POST /v1/platform` and the switches `POST /control?mode=…
/// &delay-ms=…&count=…` and `GET /statistics`.
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
  StandinMode ModeOfNext();

  Loop& loop_;
  HttpServer server_;
  MemoryTable table_;
  StandinMode mode_ = StandinMode::kUp;
  Duration delay_{};
  /// Requests left in the mode; 0 for no bound.
  uint64_t remaining_ = 0;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace buckthorncart
