/// \file
/// Case 1: a heartbeat with unreadable bytes ends the daemon, which cuts
/// the requests that it has passed on.
///
/// Usage: case_1 DIRECTORY RECORD

#include <memory>
#include <vector>

#include "../support/fleet.h"

namespace review {
namespace {

constexpr int kSize = 3;
constexpr int kClients = 16;

/// A heartbeat whose `id` is not readable as text, with fields missing.
HttpMessage MakeUnreadableHeartbeat(const UpstreamSettings& upstream) {
  const nlohmann::json body = {{"service", upstream.service},
                               {"address", upstream.address.ToString()},
                               {"slots", upstream.slots},
                               {"state", "ready"},
                               {"sequence", 4}};
  return Upstream::MakeCall("instances.heartbeat", "i-%FF%FE%FA", body.dump());
}

int Play(const std::string& directory, const std::string& record) {
  Recorder recorder(record);
  Fleet fleet(recorder, directory);
  if (!fleet.Start(kSize, {{"kind", "safe"}, {"timeoutS", 1}})) return kNotRun;
  auto clients = fleet.StartClients(1, kClients);
  // From here on all machines are in touch.
  std::this_thread::sleep_for(kStableWindow + 1s);
  if (HasTrouble()) {
    const int status =
        Exchange(fleet.Control(1),
                 MakeUnreadableHeartbeat(fleet.UpstreamOf(1).Settings()), 1s);
    recorder.Report("heartbeat of another writer with unreadable bytes: " +
                    std::to_string(status));
  }
  std::this_thread::sleep_for(500ms);
  // The platform starts a process that has ended again after a short delay.
  const bool ended = fleet.DaemonOf(1).HasEnded();
  if (ended) fleet.DaemonOf(1).Start();
  std::this_thread::sleep_for(3s);
  for (const auto& client : clients) client->Stop();
  const size_t cut = CountCutRequests(fleet, recorder, clients);
  recorder.Report(
      "requests passed on to a sound upstream whose kept connection "
      "was closed without an answer: " +
      std::to_string(cut) + ", allowed " + std::to_string(kAllowedCuts));
  return cut > kAllowedCuts ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Play(argv[1], argv[2]) : review::kNotRun;
}
