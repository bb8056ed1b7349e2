#pragma once
/// \file
/// Settings of the kernel. Every field has a flag of `buckthorncartd`.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/enum_names.h"

namespace buckthorncart {

/// How a new version spreads to other daemons.
enum class Spreading : uint8_t {
  /// Changes are sent unasked to every chosen peer.
  kPush,
  /// Chosen peers are told the version and pull the changes.
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
  /// The less loaded of two random ones.
  kTwoRandom,
  /// Any one at random; for comparison.
  kUniform,
  /// The one of two random ones that is expected to answer first.
  kLeastTime,
  /// The one of the own data centre that is expected to begin first, and one
  /// of another data centre where that saves more than the way costs.
  kNearest,
};

template <>
struct EnumNames<ChoicePolicy> {
  static constexpr std::string_view kNames[] = {"two-random", "uniform",
                                                "least-time", "nearest"};
};

/// Where configurations come from.
enum class ConfigurationSource : uint8_t {
  /// Operators hand changes to daemons, which accept or refuse them.
  kAccepted,
  /// Operators write whole configurations to the platform; daemons follow.
  kFollowed,
};

template <>
struct EnumNames<ConfigurationSource> {
  static constexpr std::string_view kNames[] = {"accepted", "followed"};
};

struct KernelSettings {
  /// Address of this daemon for other daemons, TCP and UDP.
  Address self;
  std::string data_centre;
  /// Daemons asked at the start, beside those that the platform lists.
  std::vector<Address> peers;
  /// Address of the backend server beside this daemon.
  Address backend;
  /// Seed of the kernel's random numbers.
  uint64_t seed = 1;

  // Configuration.
  Spreading spreading = Spreading::kMixed;
  uint32_t spreading_fanout = 3;
  /// Longest wait of an accepted change for holders in other data centres.
  uint32_t holders_timeout_ms = 1'500;
  /// Longest time until an operator hears `undecided`.
  uint32_t decision_timeout_ms = 10'000;
  uint32_t head_read_interval_ms = 2'000;
  /// Snapshots are uploaded every so many versions.
  uint32_t snapshot_every = 64;

  // Membership.
  uint32_t probe_period_ms = 1'000;
  uint32_t probe_timeout_ms = 300;
  uint32_t suspicion_ms = 4'000;
  /// Silence after which a peer is taken as lost and a frozen loop restarts.
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
  /// Bytes of one answer that may be on their way between two daemons.
  uint32_t answer_window_bytes = 512U << 10U;

  // Configuration, continued.
  ConfigurationSource source = ConfigurationSource::kAccepted;
  /// Longest wait of the platform for a change of the configuration.
  uint32_t watch_wait_ms = 20'000;

  // Requests, continued.
  /// Service of the backend server beside this daemon, as told to the backend
  /// servers that get its calls; empty to leave it to the announcements.
  std::string caller_service;
  /// Silence after which the backend server beside this daemon is absent.
  uint32_t backend_lease_ms = 3'000;
  /// Retries that a quiet period can save up.
  uint32_t retry_reserve = 10;

  // Shutdown.
  /// Longest time from the request to end until the exit; calls may last that
  /// long.
  uint32_t drain_limit_ms = 3'600'000;
  /// Time after which callers that go on sending are refused.
  uint32_t callers_grace_ms = 5'000;

  // Configuration, continued.
  /// Passes versions that the platform sends on to daemons that do not watch.
  bool relays_configuration = true;

  MSGPACK_DEFINE(self, data_centre, peers, backend, seed, spreading,
                 spreading_fanout, holders_timeout_ms, decision_timeout_ms,
                 head_read_interval_ms, snapshot_every, probe_period_ms,
                 probe_timeout_ms, suspicion_ms, peer_timeout_ms, queue_limit,
                 max_attempts, retry_budget_percent, backend_timeout_ms,
                 slow_start_ms, platform_timeout_ms, platform_queue_limit,
                 platform_concurrency, choice, answer_window_bytes, source,
                 watch_wait_ms, caller_service, backend_lease_ms, retry_reserve,
                 drain_limit_ms, callers_grace_ms, relays_configuration)
};

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::Spreading)
MSGPACK_ADD_ENUM(buckthorncart::ChoicePolicy)
MSGPACK_ADD_ENUM(buckthorncart::ConfigurationSource)
