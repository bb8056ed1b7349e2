#pragma once

/// \file
/// Stand-in of a sound backend server.

#include <nlohmann/json.hpp>

#include "node.h"
#include "store.h"

namespace review {

/// A run of a request at a backend server.
struct Run {
  std::string attempt;
  std::string method;
  std::string path;
  std::string body;
  std::string service;
  std::string server;
  double at = 0;
};

/// Runs of all backend servers.
class RunLog {
 public:
  void Add(Run run) {
    Record("server %s (%s): runs %s %s, attempt %s", run.server.c_str(),
           run.service.c_str(), run.method.c_str(), run.path.c_str(),
           run.attempt.c_str());
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
  }
  std::vector<Run> All() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  size_t CountOf(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    return static_cast<size_t>(
        std::count_if(runs_.begin(), runs_.end(),
                      [&](const Run& run) { return run.attempt == attempt; }));
  }

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

/// A sound backend server: announces itself, runs requests and answers them.
class Upstream {
 public:
  Upstream(const Node& node, std::string id, RunLog& log, int slots = 6)
      : app_(node.App()),
        control_(node.Control()),
        service_(node.Service()),
        zone_(node.Zone()),
        id_(std::move(id)),
        log_(log),
        slots_(slots),
        born_(WallMs()),
        server_(app_, [this](int fd) { Serve(fd); }) {}
  ~Upstream() { Stop(); }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  bool Start() {
    if (!server_.Start()) return false;
    beating_ = true;
    beats_ = std::thread([this] { Beat(); });
    return true;
  }
  void StopBeats() {
    if (!beating_.exchange(false)) return;
    beats_.join();
  }
  void Stop() {
    StopBeats();
    server_.Stop();
  }
  void SetWork(std::chrono::milliseconds work) { work_ms_ = work.count(); }
  const std::string& Id() const { return id_; }

  /// Body of a heartbeat as it would be sent now.
  std::string MakeBeat(const std::string& state) {
    const json beat = {
        {"service", service_}, {"address", app_.Text()},  {"zone", zone_},
        {"version", "v1"},     {"slots", slots_},         {"state", state},
        {"coldRemainingS", 0}, {"sequence", ++sequence_}, {"born", born_}};
    return beat.dump();
  }
  /// Sends a heartbeat. Returns the status of the answer, 0 if there is none
  /// within a second.
  int SendBeat(const std::string& body) {
    return Tell("instances.heartbeat", body);
  }
  int Deregister() {
    return Tell("instances.deregister", json{{"born", born_}}.dump());
  }

 private:
  int Tell(const std::string& call, const std::string& body) {
    const std::string head =
        "POST /buckthorncart/rpc?call=" + call + "&of=" + id_ +
        " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n";
    return CallHttp(control_, head, body, 1'000).status;
  }
  void Beat() {
    int ticks = 0;
    while (beating_) {
      if (ticks++ % 15 == 0) SendBeat(MakeBeat("ready"));
      std::this_thread::sleep_for(100ms);
    }
  }
  void Serve(int fd) {
    MessageReader reader(fd);
    while (server_.IsRunning()) {
      const auto request = reader.Next(200);
      if (!request) {
        if (reader.Ended()) return;
        continue;
      }
      if (!SendAll(fd, Handle(*request))) return;
    }
  }
  std::string Handle(const Message& request) {
    const std::string attempt = request.Get("x-attempt-id");
    const std::string target = request.Get("x-target-instance");
    if (!target.empty() && target != id_) {
      return MakeAnswer(421, "X-Instance-Id: " + id_ + "\r\n", "");
    }
    if (attempt.empty()) return MakeAnswer(400, "X-Not-Executed: 1\r\n", "");
    log_.Add({attempt, request.Word(0), request.Word(1), request.body, service_,
              id_, Now()});
    std::this_thread::sleep_for(std::chrono::milliseconds(work_ms_));
    return MakeAnswer(200,
                      "X-Attempt-Id: " + attempt +
                          "\r\nX-Server-Signature: s." + id_ + "\r\n",
                      MakeBody(request.Word(1), attempt));
  }
  /// The path may ask for a body of a given length, "?bytes=N".
  std::string MakeBody(const std::string& path,
                       const std::string& attempt) const {
    std::string text = service_ + " " + path + " " + attempt;
    const std::string bytes = QueryValue(path, "bytes");
    if (!bytes.empty()) text.resize(std::stoul(bytes), '.');
    return text;
  }

  Endpoint app_;
  Endpoint control_;
  std::string service_;
  std::string zone_;
  std::string id_;
  RunLog& log_;
  int slots_;
  uint64_t born_;
  std::atomic<int> sequence_ = 0;
  std::atomic<int64_t> work_ms_ = 5;
  std::atomic<bool> beating_ = false;
  std::thread beats_;
  Server server_;
};

}  // namespace review
