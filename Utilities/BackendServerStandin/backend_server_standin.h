#pragma once
/// \file
/// Test double of a backend server.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Net/http_client.h"
#include "Net/http_server.h"
#include "Net/loop.h"
#include "Wire/member.h"

namespace buckthorncart {

struct BackendServerSettings {
  Address listen;
  /// Operators' interface of the daemon on the same VM.
  Address daemon;
  std::string service;
  uint32_t slots = 9;
  std::map<std::string, std::string> labels;
  /// Processing time of a request, and time from start until ready.
  Duration service_time = 2ms;
  Duration cold_start{};
};

/// Runs requests in a limited number of slots, announces itself to the daemon
/// and logs the requests that ran.
///
/// Query parameters of a request: `size` (bytes of the answer), `chunks`
/// (number of parts of the answer), `time-ms` (processing time), `crash=yes`
/// (the process exits). `POST /control?state=ready|draining&shed=yes|no
/// &time-ms=N` changes its state; `GET /log` lists the runs for each
/// idempotency key.
class BackendServerStandin : private HttpServerHandler {
 public:
  BackendServerStandin(Loop& loop, const BackendServerSettings& settings);
  Result<void> Start();

 private:
  struct Job {
    uint64_t id = 0;
    HttpRequest request;
  };

  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnClientDisconnected(uint64_t id) override;

  void Announce();
  void HandleControl(uint64_t id, const std::string& path);
  void RunOrQueue(Job job);
  void RunJob(const Job& job);
  void FinishJob(uint64_t id, size_t size, size_t chunks);
  void AnswerLog(uint64_t id);
  void AnswerText(uint64_t id, uint16_t status, std::string body);

  Loop& loop_;
  BackendServerSettings settings_;
  HttpServer server_;
  HttpClient client_;
  BackendState state_ = BackendState::kStarting;
  bool shedding_ = false;
  uint32_t running_ = 0;
  std::deque<Job> waiting_;
  uint64_t runs_ = 0;
  std::map<std::string, uint64_t> runs_by_key_;
  uint64_t runs_while_draining_ = 0;
  uint64_t next_announcement_ = 0;
};

}  // namespace buckthorncart
