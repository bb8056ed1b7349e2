#include "platform/node_settings.h"

#include <doctest/doctest.h>

#include <string>

namespace buckthorncart::platform {
namespace {

constexpr std::string_view kCompleteSettings =
    "nodeName=sidecar-a-1\nzone=nl-west-a\nip=10.1.0.8\n"
    "zones.nl-west-a=nl-west\nlisten.outbound=10.1.0.8:8304\n"
    "listen.ready=10.1.0.8:8302\nlisten.control=10.1.0.8:8306\n"
    "internalPorts=7620,7635\nseeds=\nlimits.memoryMb=260\n"
    "limits.maxFds=4100\nheartbeatS=0.87\n"
    "bounds=graceS=6,retryBudgetRatio=0.2,budgetExtra=62,newBound=1\n"
    "appAddr=10.1.0.8:8301\nservice=huvo11a\n"
    "platform.address=10.200.1.7:8309\nsomething.new=yes\n";

std::string WithoutKey(std::string_view key) {
  std::string text(kCompleteSettings);
  const size_t position = text.find(std::string(key) + "=");
  return text.erase(position, text.find('\n', position) - position + 1);
}

TEST_CASE("node settings: known keys are read, others ignored") {
  const auto node = ParseNodeSettings(kCompleteSettings);
  REQUIRE(node);
  CHECK(node->name == "sidecar-a-1");
  CHECK(node->data_centre == "nl-west-a");
  CHECK(node->peer.ToString() == "10.1.0.8:7620");
  CHECK(node->store.ToString() == "10.200.1.7:8309");
  CHECK(node->announcement_interval == 870ms);
  CHECK(node->termination_grace == 6s);
  CHECK(node->retry_percent == 20);
  CHECK(node->retry_extra == 62);
  const DaemonSettings settings = ToDaemonSettings(*node);
  CHECK(settings.kernel.source == ConfigurationSource::kFollowed);
  CHECK(settings.kernel.drain_limit_ms < 6'000);
}

// Other deployments are served as before, also those that name a feature whose
// name contains this one.
TEST_CASE("node settings: capacity is learned where contracts names pool") {
  const auto policy_with = [](std::string_view contracts) {
    const auto node = ParseNodeSettings(std::string(kCompleteSettings) +
                                        std::string(contracts));
    REQUIRE(node);
    return ToDaemonSettings(*node).kernel.slot_policy;
  };
  CHECK(policy_with("") == SlotPolicy::kAnnounced);
  CHECK(policy_with("contracts=\n") == SlotPolicy::kAnnounced);
  CHECK(policy_with("contracts=base,drain,spool,pools\n") ==
        SlotPolicy::kAnnounced);
  CHECK(policy_with("contracts=base, pool,platform\n") == SlotPolicy::kLearned);
}

TEST_CASE("node settings: roll-outs are staged where contracts name them") {
  const std::string text(kCompleteSettings);
  CHECK_FALSE(ParseNodeSettings(text)->StagesRollouts());
  CHECK_FALSE(ParseNodeSettings(text + "contracts=base,drain,rollouts\n")
                  ->StagesRollouts());
  const auto node = ParseNodeSettings(text + "contracts=base, rollout,pool\n");
  REQUIRE(node);
  const KernelSettings settings = ToDaemonSettings(*node).kernel;
  CHECK(settings.stages_rollouts);
  CHECK(settings.rollout_exposure_per_mille == 100);
  CHECK(settings.rollout_exposure_slack == 50);
}

TEST_CASE("node settings: a missing key is reported with its format") {
  for (const char* key : {"nodeName", "zone", "internalPorts", "appAddr",
                          "listen.outbound", "platform.address", "service"}) {
    const auto node = ParseNodeSettings(WithoutKey(key));
    REQUIRE_FALSE(node);
    CHECK(node.error().code == Errc::kInvalidSetting);
    CHECK(node.error().subject.find(key) != std::string::npos);
    CHECK_FALSE(node.error().expected.empty());
  }
}

TEST_CASE("node settings: an unreadable value or an empty file is refused") {
  const auto broken = ParseNodeSettings(std::string(kCompleteSettings) +
                                        "listen.ready=10.1.0.8\n");
  REQUIRE_FALSE(broken);
  CHECK(broken.error().expected == "IP:PORT");
  CHECK_FALSE(ParseNodeSettings(""));
  CHECK_FALSE(ReadNodeSettings("/no/such/file"));
  const auto memory = ParseNodeSettings(std::string(kCompleteSettings) +
                                        "limits.memoryMb=much\n");
  CHECK_FALSE(memory);
}

/// Returns the settings of a daemon on a VM of `memory_mb`.
DaemonSettings SettingsForMemory(uint32_t memory_mb) {
  const auto node =
      ParseNodeSettings(std::string(kCompleteSettings) +
                        "limits.memoryMb=" + std::to_string(memory_mb) + "\n");
  REQUIRE(node);
  return ToDaemonSettings(*node);
}

// Clients that hold as much as they may ended a daemon for lack of memory.
TEST_CASE("node settings: all limits on memory together fit in the VM") {
  constexpr uint64_t kLargestBody = 64U << 20U;
  constexpr uint64_t kBytesPerMb = 1'000'000;
  /// An idle daemon with a small configuration.
  constexpr uint64_t kIdleBytes = 16U << 20U;
  for (const uint32_t memory_mb : {160U, 192U, 256U, 512U}) {
    CAPTURE(memory_mb);
    const DaemonSettings settings = SettingsForMemory(memory_mb);
    const ClientMemoryLimits& limits = settings.driver.limits.memory;
    // A single body of the largest size fits, for callers and for others.
    CHECK(limits.body_bytes >= kLargestBody);
    CHECK(limits.total_body_bytes >= kLargestBody);
    CHECK(BytesOfKib(settings.kernel.body_memory_kib) >= kLargestBody);
    CHECK(BytesOfKib(settings.kernel.total_body_memory_kib) ==
          limits.total_body_bytes);
    const HttpServerLimits& server = settings.driver.limits;
    const uint64_t unread_bytes =
        server.connections * server.receive_buffer_bytes;
    CHECK(limits.total_body_bytes + limits.buffer_bytes + unread_bytes +
              kIdleBytes <=
          memory_mb * kBytesPerMb);
  }
}

TEST_CASE("node settings: callers cannot take all descriptors") {
  const DaemonSettings settings = SettingsForMemory(160);
  const size_t connections = settings.driver.limits.connections;
  CHECK(connections >= 1'024);
  CHECK(connections <= static_cast<size_t>(settings.fd_limit) / 2);
}

}  // namespace
}  // namespace buckthorncart::platform
