#pragma once
/// \file
/// Settings of the kernel. Every field corresponds to a flag of
/// `buckthorncartd`.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/enum_names.h"

namespace buckthorncart {

/// How a new version of the configuration is disseminated to other daemons.
enum class Spreading : uint8_t {
  /// Changes are pushed to every chosen peer.
  kPush,
  /// Chosen peers are notified of the version and pull the changes.
  kHint,
  /// Changes are pushed across data centres and hinted within one.
  kMixed,
};

template <>
struct EnumNames<Spreading> {
  static constexpr std::string_view kNames[] = {"push", "hint", "mixed"};
};

/// How the backend server for a request is chosen.
enum class ChoicePolicy : uint8_t {
  /// The less loaded of two chosen at random.
  kTwoRandom,
  /// One chosen uniformly at random; for comparison.
  kUniform,
  /// The one of two chosen at random that is expected to answer first.
  kLeastTime,
  /// The one in the local data centre that is expected to start the request
  /// first, or one in another data centre if that saves more time than the
  /// network distance costs.
  kNearest,
};

template <>
struct EnumNames<ChoicePolicy> {
  static constexpr std::string_view kNames[] = {"two-random", "uniform",
                                                "least-time", "nearest"};
};

/// Where configurations come from.
enum class ConfigurationSource : uint8_t {
  /// Operators send changes to daemons, which accept or refuse them.
  kAccepted,
  /// Operators write whole configurations to the platform, which daemons adopt.
  kFollowed,
};

template <>
struct EnumNames<ConfigurationSource> {
  static constexpr std::string_view kNames[] = {"accepted", "followed"};
};

/// How many requests run at the local backend server at the same time.
enum class SlotPolicy : uint8_t {
  /// As many as it announces.
  kAnnounced,
  /// As many as it runs before it slows down, at most those that it announces.
  /// Calls are sent by the reported speed and free capacity.
  kLearned,
};

template <>
struct EnumNames<SlotPolicy> {
  static constexpr std::string_view kNames[] = {"announced", "learned"};
};

/// Returns the number of bytes of `kib` KiB.
constexpr uint64_t BytesOfKib(uint32_t kib) { return uint64_t{kib} << 10U; }

struct KernelSettings {
  /// Address of this daemon for other daemons, TCP and UDP.
  Address self;
  std::string data_centre;
  /// Daemons contacted at the start, in addition to those that the platform
  /// lists.
  std::vector<Address> peers;
  /// Address of the local backend server.
  Address backend;
  /// Seed of the kernel's random numbers.
  uint64_t seed = 1;

  // Configuration.
  Spreading spreading = Spreading::kMixed;
  uint32_t spreading_fanout = 3;
  /// Longest time for which an accepted change waits until daemons in other
  /// data centres hold it.
  uint32_t holders_timeout_ms = 1'500;
  /// Longest time until an operator gets the answer `undecided`.
  uint32_t decision_timeout_ms = 10'000;
  uint32_t head_read_interval_ms = 2'000;
  /// Number of versions between uploads of a snapshot.
  uint32_t snapshot_every = 64;

  // Membership.
  uint32_t probe_period_ms = 1'000;
  uint32_t probe_timeout_ms = 300;
  uint32_t suspicion_ms = 4'000;
  /// Time without a message after which a peer is considered lost. The event
  /// loop counts as stalled if it did not run for longer than this.
  uint32_t peer_timeout_ms = 3'000;

  // Requests.
  uint32_t queue_limit = 64;
  uint32_t max_attempts = 3;
  /// Retries allowed for each hundred calls.
  uint32_t retry_budget_percent = 10;
  uint32_t backend_timeout_ms = 3'000;
  uint32_t slow_start_ms = 2'000;

  // Platform.
  uint32_t platform_timeout_ms = 1'000;
  uint32_t platform_queue_limit = 1'024;
  uint32_t platform_concurrency = 8;

  // Requests, continued.
  ChoicePolicy choice = ChoicePolicy::kTwoRandom;
  /// Bytes of one answer that may be in flight between two daemons.
  uint32_t answer_window_bytes = 512U << 10U;

  // Configuration, continued.
  ConfigurationSource source = ConfigurationSource::kAccepted;
  /// Longest time for which the platform waits for a change of the
  /// configuration before it answers a watch.
  uint32_t watch_wait_ms = 20'000;

  // Requests, continued.
  /// Service of the local backend server, as reported to the backend servers
  /// that get its calls; empty to use the service in its announcements.
  std::string caller_service;
  /// Time without an announcement after which the local backend server is
  /// considered absent.
  uint32_t backend_lease_ms = 3'000;
  /// Unused retries that can accumulate while there are few calls.
  uint32_t retry_reserve = 10;

  // Shutdown.
  /// Longest time from the shutdown request until the exit; calls may take that
  /// long.
  uint32_t drain_limit_ms = 3'600'000;
  /// Time after the shutdown request from which callers that keep sending are
  /// refused.
  uint32_t callers_grace_ms = 5'000;

  // Configuration, continued.
  /// Whether this daemon relays versions from the platform to daemons that do
  /// not watch it.
  bool relays_configuration = true;

  // Requests, continued.
  /// Rate of the VM's link, in kilobits per second.
  uint32_t link_kbps = 1'000'000;
  /// Retries beyond the budget that all daemons together may make in addition,
  /// shared equally among them; `retry_reserve` applies if this is 0.
  uint32_t fleet_retry_reserve = 0;
  /// Memory for the bodies of requests from callers, and as much again for
  /// those from other daemons, KiB.
  uint32_t body_memory_kib = 128U << 10U;
  /// Whether callers authenticate by API keys. If not, the header is passed to
  /// the backend server like any other.
  bool checks_api_keys = false;
  /// Memory for the bodies of requests from callers and from other daemons
  /// together, KiB; 0 if only `body_memory_kib` limits each of them.
  uint32_t total_body_memory_kib = 0;
  SlotPolicy slot_policy = SlotPolicy::kAnnounced;

  // Staged roll-outs.
  /// Whether backend servers of a new version get requests only as a roll-out
  /// allows.
  bool stages_rollouts = false;
  /// Share of the requests of a service that a version which is rolled back may
  /// get between the order and its deadline, per mille, and requests in
  /// addition.
  uint32_t rollout_exposure_per_mille = 100;
  uint32_t rollout_exposure_slack = 50;

  // Quota.
  /// Whether the limits of workspaces are enforced.
  bool enforces_quota = false;
  /// Length of the window to which the bound of a limit applies.
  uint32_t quota_window_ms = 5'000;
  /// Tolerated excess over the limit in a window, in per mille of the limit and
  /// in requests.
  uint32_t quota_overage_per_mille = 100;
  uint32_t quota_slack = 20;
  /// True if the whole fleet starts for the first time, so that no earlier
  /// process can hold a share of the quota.
  bool is_first_start = false;

  MSGPACK_DEFINE(self, data_centre, peers, backend, seed, spreading,
                 spreading_fanout, holders_timeout_ms, decision_timeout_ms,
                 head_read_interval_ms, snapshot_every, probe_period_ms,
                 probe_timeout_ms, suspicion_ms, peer_timeout_ms, queue_limit,
                 max_attempts, retry_budget_percent, backend_timeout_ms,
                 slow_start_ms, platform_timeout_ms, platform_queue_limit,
                 platform_concurrency, choice, answer_window_bytes, source,
                 watch_wait_ms, caller_service, backend_lease_ms, retry_reserve,
                 drain_limit_ms, callers_grace_ms, relays_configuration,
                 link_kbps, fleet_retry_reserve, body_memory_kib,
                 checks_api_keys, total_body_memory_kib, slot_policy,
                 stages_rollouts, rollout_exposure_per_mille,
                 rollout_exposure_slack, enforces_quota, quota_window_ms,
                 quota_overage_per_mille, quota_slack, is_first_start)
};

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::Spreading)
MSGPACK_ADD_ENUM(buckthorncart::ChoicePolicy)
MSGPACK_ADD_ENUM(buckthorncart::ConfigurationSource)
MSGPACK_ADD_ENUM(buckthorncart::SlotPolicy)
