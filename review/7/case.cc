/// \file
/// The platform's store comes back from a copy that is some seconds old, and
/// the operator changes the configuration. The daemons must follow the change.

#include "../support-2/fleet.h"

namespace {

using namespace review;  // NOLINT

/// Bounds of the settings, and the time from which on requests are judged: the
/// store has been sound for long, and every bound has passed.
constexpr double kConfigS = 2.0;
constexpr double kOuterS = 5.0;
constexpr double kStableWindowS = 3.0;
constexpr double kJudgedFromS = kConfigS + kOuterS + kStableWindowS;
constexpr int kRequests = 30;

std::string Version(uint64_t version, const std::string& service,
                    double timeout_s) {
  return MakeConfiguration(
      version, {MakeRoute("r", "/r/", service, "unsafe", timeout_s)},
      {"alpha", "beta"});
}

void Write(Fleet& fleet, uint64_t version, const std::string& text) {
  const uint64_t row = fleet.TheStore().Put("op", "config", text);
  Record("operator: configuration %llu acknowledged, store version %llu",
         static_cast<unsigned long long>(version),
         static_cast<unsigned long long>(row));
}

/// A backend server leaves, so that its daemon writes to the store.
void LetServerLeave(Fleet& fleet) {
  Upstream& server = fleet.ServerAt(2);
  server.StopBeats();
  const int status = server.SendBeat(server.MakeBeat("draining"));
  Record("server i-2: draining, answered %d", status);
}

/// Sends requests at all daemons in turn and returns how many the service of
/// the older versions has run.
int CountOldRuns(Fleet& fleet, double acknowledged) {
  int old_runs = 0;
  for (int i = 0; i < kRequests; ++i) {
    const size_t n = static_cast<size_t>(i) % fleet.Size() + 1;
    const std::string id = "attempt-" + std::to_string(i);
    const Outcome outcome = Request(fleet.NodeAt(n).Outbound(), "POST",
                                    "shop.example", "/r/x", id, 1'400, "body");
    Record("client: %s at node %zu, %.1f s after the acknowledgement: %d %s",
           id.c_str(), n, outcome.sent_at - acknowledged, outcome.status,
           outcome.answer.body.c_str());
    if (outcome.answer.body.starts_with("alpha ")) ++old_runs;
    std::this_thread::sleep_for(100ms);
  }
  return old_runs;
}

int Play() {
  Fleet fleet({{"alpha", "zone-a"}, {"alpha", "zone-b"}, {"beta", "zone-c"}});
  if (!fleet.Start(Version(10, "alpha", 1.5))) return kNotRun;
  Store& store = fleet.TheStore();
  const Store::Contents copy = store.Copy();
  Record("store: a copy is taken at version %llu",
         static_cast<unsigned long long>(copy.version));
  LetServerLeave(fleet);
  std::this_thread::sleep_for(500ms);
  const std::string second = Version(11, "alpha", 1.4);
  Write(fleet, 11, second);
  std::this_thread::sleep_for(1'500ms);
  if (HasTrouble()) {
    store.Away();
    Record("store: away");
    std::this_thread::sleep_for(1'500ms);
    store.Restore(copy);
    Record("store: back, from the copy; the operator is the first to reach it");
    Write(fleet, 11, second);
  }
  Write(fleet, 20, Version(20, "beta", 1.4));
  const double acknowledged = Now();
  if (HasTrouble() && !store.Start()) return kNotRun;
  std::this_thread::sleep_for(std::chrono::duration<double>(kJudgedFromS));
  const int old_runs = CountOldRuns(fleet, acknowledged);
  Record("result: %d of %d requests were run by the service of older versions",
         old_runs, kRequests);
  return old_runs > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Now();
  return Play();
}
