/// \file
/// A backend server leaves while the platform's store is down, and its daemon
/// acknowledges that. All daemons are then killed at once, and a heartbeat that
/// the backend server had sent before arrives late. It must get no requests.

#include "../support-2/fleet.h"

namespace {

using namespace review;  // NOLINT

constexpr double kDrainS = 2.0;
constexpr double kStableWindowS = 3.0;
constexpr int kRequests = 60;

/// Sends requests at all daemons in turn and returns how many reached the
/// server that has left.
int CountLateRuns(Fleet& fleet, double acknowledged) {
  for (int i = 0; i < kRequests; ++i) {
    const size_t n = static_cast<size_t>(i) % fleet.Size() + 1;
    const std::string id = "attempt-" + std::to_string(i);
    const Outcome outcome = Request(fleet.NodeAt(n).Outbound(), "GET",
                                    "shop.example", "/r/x", id, 1'400);
    Record("client: %s at node %zu: %d", id.c_str(), n, outcome.status);
    std::this_thread::sleep_for(40ms);
  }
  int late = 0;
  for (const Run& run : fleet.Runs().All()) {
    if (run.server != "i-1" || run.at <= acknowledged + kDrainS) continue;
    ++late;
  }
  return late;
}

void KillAll(Fleet& fleet) {
  for (size_t n = 1; n <= fleet.Size(); ++n) fleet.NodeAt(n).Kill(SIGKILL);
  std::this_thread::sleep_for(500ms);
  for (size_t n = 1; n <= fleet.Size(); ++n) fleet.NodeAt(n).Start();
}

int Play() {
  Fleet fleet({{"alpha", "zone-a"}, {"alpha", "zone-b"}, {"alpha", "zone-c"}});
  const std::string configuration = MakeConfiguration(
      10, {MakeRoute("r", "/r/", "alpha", "safe")}, {"alpha"});
  if (!fleet.Start(configuration)) return kNotRun;
  Upstream& server = fleet.ServerAt(1);
  server.StopBeats();
  const std::string late_beat = server.MakeBeat("ready");
  if (HasTrouble()) {
    fleet.TheStore().SetUnavailable(true);
    Record("store: answers 503 from now on");
  }
  std::this_thread::sleep_for(300ms);
  const int status = server.Deregister();
  const double acknowledged = Now();
  Record("server i-1: leaves, answered %d", status);
  if (status != 200) return kNotRun;
  std::this_thread::sleep_for(700ms);
  if (HasTrouble()) KillAll(fleet);
  std::this_thread::sleep_for(1s);
  Record("server i-1: its heartbeat from before arrives, answered %d",
         server.SendBeat(late_beat));
  std::this_thread::sleep_for(1'500ms);
  fleet.TheStore().SetUnavailable(false);
  Record("store: answers again");
  std::this_thread::sleep_for(std::chrono::duration<double>(kStableWindowS) +
                              200ms);
  const int late = CountLateRuns(fleet, acknowledged);
  Record(
      "result: %d of %d requests reached server i-1 over %.0f s after it "
      "was told that it may leave",
      late, kRequests, kDrainS);
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Now();
  return Play();
}
