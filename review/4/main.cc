/// \file
/// Case 4: after the restart of a daemon, a late heartbeat puts an upstream
/// that had deregistered back into use.
///
/// Usage: case_4 DIRECTORY RECORD

#include <memory>
#include <vector>

#include "../support/fleet.h"

namespace review {
namespace {

constexpr int kSize = 3;
constexpr int kClientsPerMachine = 4;
/// A heartbeat may arrive seconds late.
constexpr Milliseconds kHeartbeatDelay = 2500ms;
/// Time for which the upstream serves on after it has deregistered.
constexpr Milliseconds kServesOn = 13s;
/// Added to the spans of the rule, since clocks are read in other processes.
constexpr Milliseconds kMargin = 200ms;

int Play(const std::string& directory, const std::string& record) {
  Recorder recorder(record);
  Fleet fleet(recorder, directory);
  if (!fleet.Start(kSize, {{"kind", "safe"}, {"timeoutS", 1}})) return kNotRun;
  // Nothing disturbs machines 2 and 3.
  std::vector<std::unique_ptr<Client>> clients;
  for (int machine = 2; machine <= kSize; ++machine) {
    for (auto& client : fleet.StartClients(machine, kClientsPerMachine)) {
      clients.push_back(std::move(client));
    }
  }
  std::this_thread::sleep_for(kStableWindow + 1s);

  Upstream& leaver = fleet.UpstreamOf(1);
  leaver.StopHeartbeats();
  const HttpMessage late_heartbeat = leaver.MakeHeartbeat("ready");
  const Time heartbeat_sent = Clock::now();
  recorder.Report(
      "upstream i-1 sends a heartbeat, which is held up on its way");
  std::this_thread::sleep_for(300ms);
  const auto acknowledged = leaver.Deregister();
  if (!acknowledged) return kNotRun;
  std::this_thread::sleep_for(200ms);
  Time in_touch_from = *acknowledged;
  if (HasTrouble()) {
    fleet.DaemonOf(1).Kill();
    std::this_thread::sleep_for(500ms);
    fleet.DaemonOf(1).Start();
    if (!fleet.WaitUntilReady(1, 5s)) return kNotRun;
    in_touch_from = Clock::now() + kStableWindow;
  }
  std::this_thread::sleep_until(heartbeat_sent + kHeartbeatDelay);
  const int status = Exchange(fleet.Control(1), late_heartbeat, 1s);
  recorder.Report("the late heartbeat arrives: " + std::to_string(status));
  std::this_thread::sleep_until(*acknowledged + kServesOn);
  for (const auto& client : clients) client->Stop();

  const Time bound =
      std::max(*acknowledged + kDrainTime, in_touch_from) + kMargin;
  size_t late = 0;
  for (const Run& run : leaver.Runs()) {
    if (run.arrived_at <= bound) continue;
    if (++late == 1) {
      recorder.Report("first request that is too late: " + run.request_id +
                      ", at " +
                      std::to_string(recorder.SecondsOf(run.arrived_at)) +
                      " s; the acknowledgement was at " +
                      std::to_string(recorder.SecondsOf(*acknowledged)) + " s");
    }
  }
  recorder.Report(
      "requests that reached the upstream later than drainS after "
      "the acknowledgement, all machines in touch: " +
      std::to_string(late));
  return late > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Play(argv[1], argv[2]) : review::kNotRun;
}
