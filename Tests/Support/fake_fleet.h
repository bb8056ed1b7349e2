#pragma once
/// \file
/// A few fake daemons with a fake network, platform and backend servers.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Platform/memory_table.h"
#include "Support/fake_daemon.h"

namespace buckthorncart {

enum class PlatformFault : uint8_t {
  kNone,
  kDown,
  /// Carries out and loses the answer.
  kLoseAnswers,
  /// Neither carries out nor answers.
  kSilent,
};

/// What a fake backend server does with a request.
struct BackendBehaviour {
  Duration time = 1ms;
  BackendFault fault = BackendFault::kNone;
  bool never_answers = false;
  /// Requests that it runs at once; more are shed. 0 for no bound.
  uint32_t slots = 0;
  /// Sheds every request.
  bool sheds = false;
  /// Parts of the answer, `time` apart; empty for a short whole answer.
  std::vector<AnswerPart> parts;
  /// A request whose path contains this kills the backend server.
  std::string fatal_path;
  bool dead = false;
};

class FakeFleet {
 public:
  using PluginFactory =
      std::function<FakeDaemon::Plugins(const KernelSettings&)>;
  /// Returns false to lose the message or datagram `effect` of `from`.
  using Filter = std::function<bool(Address from, const Effect& effect)>;

  FakeFleet() : FakeFleet(StandardPlugins) {}
  explicit FakeFleet(PluginFactory plugins) : plugins_(std::move(plugins)) {}

  /// Adds a daemon that is started by `Start`. Its peers are all daemons added
  /// so far and later.
  FakeDaemon& Add(uint32_t n, const std::string& data_centre);
  FakeDaemon& Add(const KernelSettings& settings);
  /// Adds daemons whose peers are those that their settings name.
  void AddAll(const std::vector<KernelSettings>& settings);
  void StartAll();
  /// Ends the process of daemon `n` without warning.
  void Kill(uint32_t n);
  /// Starts a new process at the address of daemon `n`.
  FakeDaemon& Restart(uint32_t n);
  /// The same with a wall clock that went back by `clock_back`.
  FakeDaemon& Restart(uint32_t n, Duration clock_back);
  /// Holds back everything for daemon `n` until `Thaw`.
  void Freeze(uint32_t n) { frozen_.insert(n); }
  void Thaw(uint32_t n);

  /// Delivers `event` to daemon `n` at once, as if the network had.
  void Inject(uint32_t n, const Event& event) { DeliverNow(n, event); }

  FakeDaemon& At(uint32_t n) { return *daemons_.at(n); }
  std::vector<uint32_t> Numbers() const;

  /// Runs virtual time forward.
  void Advance(Duration duration);
  /// Advances in small steps until `done`, at most `limit`; returns whether it
  /// was.
  bool AdvanceUntil(const std::function<bool()>& done, Duration limit);
  Time Now() const { return now_; }

  /// Body of the answer to an operators' request to daemon `n`, after up to
  /// `limit`; empty when there is none.
  std::string Ask(uint32_t n, const std::string& method,
                  const std::string& path, const std::string& body = {},
                  Duration limit = 20s);
  /// Sends an operators' request without waiting; see `OperatorAnswers`.
  uint64_t Submit(uint32_t n, const std::string& method,
                  const std::string& path, const std::string& body = {});
  std::map<uint64_t, std::string>& OperatorAnswers() { return answers_; }

  /// Sends a caller's request; see `CallerAnswers`.
  uint64_t Call(uint32_t n, HttpRequest request);
  /// Parts of the answers to callers, joined.
  std::map<uint64_t, AnswerPart>& CallerAnswers() { return caller_answers_; }

  /// Announces the backend server beside daemon `n`, now and each second.
  void Announce(uint32_t n, const std::string& service,
                const std::string& state = "ready", uint32_t slots = 4);
  std::map<uint32_t, BackendBehaviour>& Behaviours() { return behaviours_; }
  /// Requests that backend servers have begun to run, by idempotency key.
  std::map<std::string, uint32_t>& RunsByKey() { return runs_by_key_; }
  uint64_t RunsAt(uint32_t n) const;
  /// Runs that daemons have cancelled at their backend servers.
  uint64_t Cancelled() const { return cancelled_; }
  /// When the last part of each answer reached its caller.
  const std::map<uint64_t, Time>& AnsweredAt() const { return answered_at_; }

  MemoryTable& Table() { return table_; }
  /// Writes a row as an operator does, past all faults.
  void Put(const std::string& key, const std::string& value);
  /// Drops what watches would need to go on.
  void TruncateWatchHistory() { history_from_ = table_.Version(); }
  /// Daemons that the platform turns away.
  void RefusePlatformCalls(std::set<uint32_t> daemons) {
    away_ = std::move(daemons);
  }
  void SetPlatformFault(PlatformFault fault) { platform_fault_ = fault; }
  void SetFilter(Filter filter) { filter_ = std::move(filter); }
  /// Delay of messages between daemons.
  void SetDelay(Duration delay) { delay_ = delay; }
  /// Calls `observer` after each event of any daemon.
  void SetObserver(std::function<void(FakeDaemon&)> observer) {
    observer_ = std::move(observer);
  }
  uint64_t PlatformReads() const { return platform_reads_; }
  uint64_t PlatformWrites() const { return platform_writes_; }

 private:
  void Carry(FakeDaemon& from, Effect effect);
  void CarryPlatform(FakeDaemon& from, const CallPlatform& call);
  void CarryWatch(FakeDaemon& from, uint64_t tag, const WatchRow& watch);
  /// Answers the watches whose row has changed or whose time is over.
  void ServeWatches();
  BackendBehaviour BehaviourFor(uint32_t n, const HttpRequest& request);
  void CarryBackend(FakeDaemon& from, const CallBackend& call);
  void CarryCancel(const FakeDaemon& from, const CancelBackendCall& cancel);
  void CarryAnswer(const AnswerCaller& answer);
  bool Sheds(uint32_t n, uint64_t run);
  void Later(Duration delay, uint32_t to, Event event);
  void DeliverNow(uint32_t to, const Event& event);
  void Step(Time until);
  std::optional<Time> NextTime() const;
  std::unique_ptr<FakeDaemon> Create(const KernelSettings& settings);
  static uint32_t NumberOf(Address address);

  struct Queued {
    uint32_t to = 0;
    /// Process that the event is meant for; another one does not get it.
    uint64_t process = 0;
    Event event;
  };

  struct PendingWatch {
    uint32_t daemon = 0;
    uint64_t process = 0;
    uint64_t tag = 0;
    WatchRow watch;
    Time until{};
  };

  PluginFactory plugins_;
  std::vector<PendingWatch> watches_;
  std::set<uint32_t> away_;
  uint64_t history_from_ = 0;
  std::map<uint32_t, std::unique_ptr<FakeDaemon>> daemons_;
  std::vector<std::unique_ptr<FakeDaemon>> ended_;
  std::map<uint32_t, KernelSettings> settings_;
  std::map<uint32_t, uint64_t> process_;
  std::set<uint32_t> frozen_;
  std::map<uint32_t, std::deque<Event>> held_back_;
  std::multimap<Time, Queued> queue_;
  Time now_ = 1h;
  Duration delay_ = 1ms;
  MemoryTable table_;
  PlatformFault platform_fault_ = PlatformFault::kNone;
  uint64_t platform_reads_ = 0;
  uint64_t platform_writes_ = 0;
  Filter filter_;
  std::function<void(FakeDaemon&)> observer_;
  std::map<uint64_t, std::string> answers_;
  std::map<uint64_t, AnswerPart> caller_answers_;
  std::map<uint32_t, BackendBehaviour> behaviours_;
  std::map<uint32_t, std::string> announcements_;
  std::map<uint32_t, uint64_t> runs_;
  std::map<std::string, uint32_t> runs_by_key_;
  std::map<uint32_t, std::map<uint64_t, Time>> busy_until_;
  std::map<uint64_t, Time> answered_at_;
  uint64_t cancelled_ = 0;
  uint64_t next_request_ = 0;
  uint64_t next_process_ = 0;
  Time next_announcement_{};
};

}  // namespace buckthorncart
