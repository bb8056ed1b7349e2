#pragma once
/// \file
/// Simulated fleet in virtual time: daemons with a simulated network, platform
/// and backend servers.

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
  /// Executes requests and loses the answers.
  kLoseAnswers,
  /// Neither executes nor answers requests.
  kSilent,
};

/// How a simulated backend server handles requests.
struct BackendBehaviour {
  /// Returns the run time of a request that starts at `now` as one of `running`
  /// requests.
  using TimeModel =
      std::function<Duration(const HttpRequest&, uint32_t running, Time now)>;

  Duration time = 1ms;
  /// Replaces `time` if it is set; not for answers in several parts.
  TimeModel time_of = {};
  BackendFault fault = BackendFault::kNone;
  bool never_answers = false;
  /// Maximum number of concurrent requests; more are shed. 0 for no limit.
  uint32_t slots = 0;
  /// Sheds every request.
  bool sheds = false;
  /// Parts of the answer, sent `time` apart; empty for a short answer in one
  /// part.
  std::vector<AnswerPart> parts;
  /// A request whose path contains this text crashes the backend server.
  std::string fatal_path;
  bool dead = false;
  /// Id that health checks answer with; 503 while it is empty.
  std::string healthy_id = {};
  /// Of so many requests one gets status 500, and one takes `slow_time`; 0 for
  /// none.
  uint32_t failure_every = 0;
  uint32_t slow_every = 0;
  Duration slow_time{};
};

class FakeFleet {
 public:
  using PluginFactory =
      std::function<FakeDaemon::Plugins(const KernelSettings&)>;
  /// Returns false to drop `effect` of daemon `from`.
  using Filter = std::function<bool(Address from, const Effect& effect)>;

  FakeFleet() : FakeFleet(StandardPlugins) {}
  explicit FakeFleet(PluginFactory plugins) : plugins_(std::move(plugins)) {}

  /// Adds a daemon, which `StartAll` starts. Its peers are all daemons that
  /// `Add` has added or adds later.
  FakeDaemon& Add(uint32_t n, const std::string& data_centre);
  FakeDaemon& Add(const KernelSettings& settings);
  /// Adds daemons with the peers listed in their settings.
  void AddAll(const std::vector<KernelSettings>& settings);
  void StartAll();
  /// Simulates a crash of daemon `n`.
  void Kill(uint32_t n);
  /// Starts a new process at the address of daemon `n`.
  FakeDaemon& Restart(uint32_t n);
  /// The same with a wall clock that was set back by `clock_back`.
  FakeDaemon& Restart(uint32_t n, Duration clock_back);
  /// Pauses daemon `n` and defers its events until `Thaw`.
  void Freeze(uint32_t n) { frozen_.insert(n); }
  void Thaw(uint32_t n);

  /// Delivers `event` to daemon `n` immediately, as if it came from the
  /// network.
  void Inject(uint32_t n, const Event& event) { DeliverNow(n, event); }

  FakeDaemon& At(uint32_t n) { return *daemons_.at(n); }
  std::vector<uint32_t> Numbers() const;

  /// Advances virtual time and delivers all events that are due.
  void Advance(Duration duration);
  /// Advances event by event until `done` is true, by at most `timeout`;
  /// returns the last result of `done`.
  bool AdvanceUntil(const std::function<bool()>& done, Duration timeout);
  Time Now() const { return now_; }

  /// Sends an operators' request to daemon `n` and returns the body of the
  /// answer, or empty if there is none within `timeout`.
  std::string Ask(uint32_t n, const std::string& method,
                  const std::string& path, const std::string& body = {},
                  Duration timeout = 20s);
  /// Sends an operators' request without waiting; see `OperatorAnswers`.
  uint64_t Submit(uint32_t n, const std::string& method,
                  const std::string& path, const std::string& body = {});
  std::map<uint64_t, std::string>& OperatorAnswers() { return answers_; }

  /// Sends a caller's request; see `CallerAnswers`.
  uint64_t Call(uint32_t n, HttpRequest request);
  /// Answers to callers; the parts of each answer are concatenated.
  std::map<uint64_t, AnswerPart>& CallerAnswers() { return caller_answers_; }

  /// Announces the backend server of daemon `n` now and then once a second.
  void Announce(uint32_t n, const std::string& service,
                const std::string& state = "ready", uint32_t slots = 4,
                const std::string& version = {});
  std::map<uint32_t, BackendBehaviour>& Behaviours() { return behaviours_; }
  /// Number of requests that backend servers started to run, by idempotency
  /// key.
  std::map<std::string, uint32_t>& RunsByKey() { return runs_by_key_; }
  uint64_t RunsAt(uint32_t n) const;
  /// Number of runs that daemons cancelled at their backend servers.
  uint64_t Cancelled() const { return cancelled_; }
  /// Time at which the last part of each answer reached its caller.
  const std::map<uint64_t, Time>& AnsweredAt() const { return answered_at_; }

  MemoryTable& Table() { return table_; }
  /// Replaces the contents of the platform's store by an earlier copy, and
  /// begins its next era. Open watches break unless `keeps_watches` is set.
  void RestorePlatform(const MemoryTable& copy, bool keeps_watches = false);
  /// Ends all open watches without a reply, as when their connections break.
  void BreakWatches();
  /// Writes a row as an operator does, regardless of simulated faults.
  void Put(const std::string& key, const std::string& value);
  /// Discards the history, so that watches from earlier versions fail.
  void TruncateWatchHistory() { history_start_ = table_.Version(); }
  /// Sets the daemons whose platform calls fail as unavailable.
  void RefusePlatformCalls(std::set<uint32_t> daemons) {
    refused_daemons_ = std::move(daemons);
  }
  void SetPlatformFault(PlatformFault fault) { platform_fault_ = fault; }
  void SetFilter(Filter filter) { filter_ = std::move(filter); }
  /// Sets the delay of messages between daemons.
  void SetDelay(Duration delay) { delay_ = delay; }
  /// Gives daemon `n` a link of `kbps` kilobits per second in each direction,
  /// on which messages between daemons queue; otherwise they take no time.
  void SetLink(uint32_t n, uint32_t kbps) { links_[n].kbps = kbps; }
  /// Calls `observer` after each event of any daemon.
  void SetObserver(std::function<void(FakeDaemon&)> observer) {
    observer_ = std::move(observer);
  }
  uint64_t PlatformReads() const { return platform_reads_; }
  uint64_t PlatformWrites() const { return platform_writes_; }

 private:
  void HandleEffect(FakeDaemon& from, Effect effect);
  void HandlePlatformCall(FakeDaemon& from, const CallPlatform& call);
  void HandleWatch(FakeDaemon& from, uint64_t tag, const WatchRow& watch);
  /// Answers the watches whose row has changed or whose wait time is over.
  void ServeWatches();
  void ReplyFromPlatform(uint32_t to, uint64_t tag, PlatformReply reply);
  BackendBehaviour BehaviourFor(uint32_t n, const HttpRequest& request);
  void HandleBackendCall(FakeDaemon& from, const CallBackend& call);
  void HandleBackendCancel(const FakeDaemon& from,
                           const CancelBackendCall& cancel);
  void HandleCallerAnswer(const AnswerCaller& answer);
  bool Sheds(uint32_t n, uint64_t run);
  Duration RunTime(uint32_t n, const BackendBehaviour& behaviour,
                   const CallBackend& call);
  void Schedule(Duration delay, uint32_t to, Event event);
  void DeliverNow(uint32_t to, const Event& event);
  void AdvanceTo(Time until);
  std::optional<Time> NextTime() const;
  std::unique_ptr<FakeDaemon> Create(const KernelSettings& settings);
  static uint32_t NumberOf(Address address);

  struct Queued {
    uint32_t to = 0;
    /// Process that the event is addressed to; a later process at the same
    /// address does not receive it.
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

  struct Link {
    uint32_t kbps = 0;
    /// When the messages that have been sent so far have passed.
    Time outbound_free{};
    Time inbound_free{};
  };

  /// Returns the time until `message` has passed the links of both daemons.
  Duration TransitTime(uint32_t from, uint32_t to, const PeerMessage& message);

  PluginFactory plugins_;
  std::map<uint32_t, Link> links_;
  std::vector<PendingWatch> watches_;
  std::set<uint32_t> refused_daemons_;
  uint64_t history_start_ = 0;
  std::map<uint32_t, std::unique_ptr<FakeDaemon>> daemons_;
  std::vector<std::unique_ptr<FakeDaemon>> ended_daemons_;
  std::map<uint32_t, KernelSettings> settings_;
  std::map<uint32_t, uint64_t> process_ids_;
  std::set<uint32_t> frozen_;
  std::map<uint32_t, std::deque<Event>> deferred_events_;
  std::multimap<Time, Queued> queue_;
  Time now_ = 1h;
  Duration delay_ = 1ms;
  MemoryTable table_;
  uint64_t platform_era_ = 1;
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
  /// Requests that run at backend servers with a time model.
  std::map<uint32_t, std::map<uint64_t, Time>> modelled_until_;
  std::map<uint64_t, Time> answered_at_;
  uint64_t cancelled_ = 0;
  uint64_t next_request_ = 0;
  uint64_t next_process_ = 0;
  Time next_announcement_{};
};

}  // namespace buckthorncart
