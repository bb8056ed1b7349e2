#pragma once
/// \file
/// Simulated fleet whose workspaces have limits, and the check of their bound.

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Support/fake_fleet.h"

namespace buckthorncart {

/// Limit of a workspace, as an operator writes it.
struct QuotaLimit {
  double rate_per_s = 0;
  uint32_t burst = 0;
};

/// What the callers of one workspace have seen.
struct QuotaResult {
  uint32_t sent = 0;
  uint32_t served = 0;
  /// Answers 429.
  uint32_t refused = 0;
  /// Answers 429 while the limit would have allowed the request: fewer than
  /// rate x window requests were served in the window before it.
  uint32_t wrongly_refused = 0;
};

/// Daemons in three data centres, each with a backend server, and callers at
/// all of them.
class QuotaFleet {
 public:
  using Limits = std::map<std::string, QuotaLimit>;
  /// Requests per second of a workspace at daemon `n`.
  using Load = std::function<double(const std::string& workspace, uint32_t n)>;
  /// Returns the side of a partition on which a daemon is.
  using Sides = std::function<uint32_t(uint32_t n)>;

  QuotaFleet(uint32_t size, uint64_t seed,
             FakeFleet::PluginFactory plugins = StandardPlugins);

  /// Writes a version of the configuration with these limits.
  void Write(const Limits& limits);
  /// Writes a version in which the key of workspace `from` is one of `to`.
  void MoveKey(const std::string& from, const std::string& to);
  /// Starts all daemons and lets the fleet settle for 10 s, as callers do.
  void Start(const Limits& limits);
  /// Starts a daemon that is not there yet.
  void Join(uint32_t n);
  /// Sends requests at random times; each comes from daemon `n` with the rate
  /// that `load` gives for it.
  void Run(Duration duration, const Load& load);
  /// Drops all messages between daemons of different sides.
  void Cut(Sides sides) { sides_ = std::move(sides); }
  void Heal() { sides_ = {}; }

  /// Largest excess over the bound of `workspace` in any window so far: of
  /// requests that were sent and began to run in it. Negative if the bound
  /// holds.
  double Excess(const std::string& workspace, const QuotaLimit& limit) const {
    return Excess(workspace, limit, Time{});
  }
  /// The same for windows that begin at `from` or later.
  double Excess(const std::string& workspace, const QuotaLimit& limit,
                Time from) const;
  QuotaResult ResultOf(const std::string& workspace,
                       const QuotaLimit& limit) const;
  uint64_t Counter(std::string_view name);
  std::mt19937_64& Random() { return random_; }

  FakeFleet fleet;

 private:
  struct Execution {
    Time at{};
    /// As the backend server was told.
    std::string workspace;
  };
  struct Request {
    std::string workspace;
    uint32_t daemon = 0;
    uint64_t call = 0;
    Time sent_at{};
    /// When backend servers began to run it.
    std::vector<Execution> runs;
  };

  Snapshot MakeSnapshot();
  KernelSettings SettingsOf(uint32_t n) const;
  bool Passes(Address from, const Effect& effect);
  void RecordRun(const HttpRequest& request);
  void Send(const std::string& workspace, uint32_t n);
  Duration NextArrival(double per_second);

  uint64_t seed_;
  std::mt19937_64 random_;
  Limits limits_;
  uint64_t version_ = 0;
  Sides sides_;
  std::vector<Request> requests_;
};

}  // namespace buckthorncart
