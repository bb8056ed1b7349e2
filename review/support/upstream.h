#pragma once
/// \file
/// Stand-in for an application upstream.

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http_server.h"

namespace review {

struct UpstreamSettings {
  std::string id;
  std::string service;
  std::string zone;
  /// Address that it serves.
  Address address;
  /// `control` address of the daemon on its machine.
  Address control;
  uint32_t slots = 9;
  Milliseconds work_time = 100ms;
  size_t answer_bytes = 400;
  /// Closes the connection after each answer.
  bool closes = false;
};

/// A request that the upstream has run.
struct Run {
  std::string request_id;
  Time arrived_at;
};

/// Sends heartbeats, runs requests, and records what it has run. It answers
/// 421 to requests for another instance.
class Upstream {
 public:
  Upstream(Recorder& recorder, UpstreamSettings settings)
      : recorder_(recorder),
        settings_(std::move(settings)),
        born_ms_(NowMs()),
        server_([this](const HttpMessage& request) { return Serve(request); }) {
  }
  ~Upstream() { Stop(); }

  bool Start() {
    if (!server_.Start(settings_.address)) return false;
    recorder_.Write("upstream " + settings_.id + " starts at " +
                    settings_.address.ToString());
    heartbeat_thread_ = std::thread([this] { SendHeartbeats(); });
    return true;
  }

  void Stop() {
    stopping_ = true;
    if (heartbeat_thread_.joinable()) heartbeat_thread_.join();
    server_.Stop();
  }

  const UpstreamSettings& Settings() const { return settings_; }

  /// Returns the next heartbeat with the given state, without sending it.
  HttpMessage MakeHeartbeat(const std::string& state) {
    const nlohmann::json body = {{"service", settings_.service},
                                 {"address", settings_.address.ToString()},
                                 {"zone", settings_.zone},
                                 {"version", "v1"},
                                 {"slots", settings_.slots},
                                 {"state", state},
                                 {"coldRemainingS", 0},
                                 {"sequence", ++sequence_},
                                 {"born", born_ms_}};
    return MakeCall("instances.heartbeat", settings_.id, body.dump());
  }

  static HttpMessage MakeCall(const std::string& call, const std::string& id,
                              const std::string& body) {
    return {"POST /buckthorncart/rpc?call=" + call + "&of=" + id + " HTTP/1.1",
            {{"host", "control"}, {"content-type", "application/json"}},
            body};
  }

  /// Announces `draining` until it is acknowledged. Later heartbeats carry the
  /// same state. Returns the time of the acknowledgement.
  std::optional<Time> Drain() {
    state_is_draining_ = true;
    return CallUntilAcknowledged(MakeHeartbeat("draining"), "draining");
  }

  /// Deregisters and sends no more heartbeats. Returns the time of the
  /// acknowledgement.
  std::optional<Time> Deregister() {
    silent_ = true;
    const nlohmann::json body = {{"born", born_ms_}};
    return CallUntilAcknowledged(
        MakeCall("instances.deregister", settings_.id, body.dump()),
        "deregister");
  }

  /// Sends no more heartbeats.
  void StopHeartbeats() { silent_ = true; }

  std::vector<Run> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  /// Returns true if a request with `id` has reached this upstream.
  bool HasRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    for (const Run& run : runs_) {
      if (run.request_id == id) return true;
    }
    return false;
  }

 private:
  static constexpr Milliseconds kHeartbeatInterval = 1500ms;
  static constexpr Milliseconds kAcknowledgementTimeout = 1s;

  static uint64_t NowMs() {
    return static_cast<uint64_t>(
        std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  }

  std::optional<Time> CallUntilAcknowledged(const HttpMessage& call,
                                            const std::string& name) {
    for (int i = 0; i < 5; ++i) {
      const int status =
          Exchange(settings_.control, call, kAcknowledgementTimeout);
      if (status < 200 || status > 299) continue;
      recorder_.Report("upstream " + settings_.id + ": " + name +
                       " acknowledged");
      return Clock::now();
    }
    return std::nullopt;
  }

  void SendHeartbeats() {
    while (!stopping_) {
      if (!silent_) {
        Exchange(settings_.control,
                 MakeHeartbeat(state_is_draining_ ? "draining" : "ready"),
                 kAcknowledgementTimeout);
      }
      const Time next = Clock::now() + kHeartbeatInterval;
      while (!stopping_ && Clock::now() < next) {
        std::this_thread::sleep_for(20ms);
      }
    }
  }

  std::optional<HttpMessage> Serve(const HttpMessage& request) {
    const std::string target = request.Header("x-target-instance");
    const std::string id = request.Header("x-attempt-id");
    if (!target.empty() && target != settings_.id) {
      recorder_.Write("upstream " + settings_.id + " answers 421 to " + id);
      return HttpMessage{"HTTP/1.1 421 Misdirected Request",
                         {{"x-instance-id", settings_.id}},
                         ""};
    }
    recorder_.Write("upstream " + settings_.id + " runs " + id);
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({id, Clock::now()});
    }
    std::this_thread::sleep_for(settings_.work_time);
    HttpMessage answer{"HTTP/1.1 200 OK",
                       {{"x-attempt-id", id},
                        {"x-server-signature", "signature-of-" + settings_.id}},
                       std::string(settings_.answer_bytes, 'u')};
    if (settings_.closes) answer.headers.emplace_back("connection", "close");
    return answer;
  }

  Recorder& recorder_;
  UpstreamSettings settings_;
  const uint64_t born_ms_;
  std::atomic<uint64_t> sequence_ = 0;
  std::atomic<bool> state_is_draining_ = false;
  std::atomic<bool> silent_ = false;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::thread heartbeat_thread_;
  HttpServer server_;
};

}  // namespace review
