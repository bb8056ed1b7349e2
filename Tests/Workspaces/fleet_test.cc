#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "Plugins/Configuration/configuration_follower.h"
#include "Plugins/Requests/api_key_check.h"
#include "Support/fake_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 9;
/// Time limit for a revocation to be in force, `configS`.
constexpr Duration kPropagationLimit = 2'500ms;

/// Daemons in three data centres that follow a configuration with one keyed and
/// one public route and two workspaces.
struct WorkspaceFleet {
  explicit WorkspaceFleet(bool checks_api_keys = true) {
    std::vector<KernelSettings> all;
    for (uint32_t n = 1; n <= kSize; ++n) {
      const auto letter = static_cast<char>('a' + n % 3);
      KernelSettings settings =
          TestSettings(n, std::string("nl-west-") + letter);
      settings.source = ConfigurationSource::kFollowed;
      settings.choice = ChoicePolicy::kNearest;
      settings.checks_api_keys = checks_api_keys;
      all.push_back(settings);
    }
    fleet.AddAll(all);
    // Daemon 1 has no backend server, so that its calls go to other daemons.
    for (uint32_t n = 2; n <= kSize; ++n) fleet.Announce(n, "desk");
    fleet.SetFilter([this](Address /*from*/, const Effect& effect) {
      if (const auto* call = std::get_if<CallBackend>(&effect)) {
        last_headers = call->request.headers;
      } else if (const auto* peer = std::get_if<SendPeer>(&effect)) {
        const auto* sent = std::get_if<Call>(&peer->message);
        if (sent != nullptr) last_call = *sent;
      } else if (const auto* line = std::get_if<LogRecord>(&effect)) {
        for (const auto& [name, value] : line->fields) log += value + "\n";
      }
      return true;
    });
  }

  static Snapshot MakeSnapshot(uint64_t version,
                               const std::vector<std::string>& shop_keys) {
    Snapshot snapshot;
    snapshot.version = version;
    snapshot.reads_workspaces = true;
    snapshot.configuration.services["desk"].name = "desk";
    for (const char* name : {"keyed", "open"}) {
      Route& route = snapshot.configuration.routes[name];
      route.name = name;
      route.path = std::string("/") + name;
      route.service = "desk";
      route.deduplicates_by_key = false;
      route.priority = 5;
      route.is_public = route.name == "open";
    }
    Workspace& shop = snapshot.configuration.workspaces["shop"];
    shop.name = "shop";
    shop.priority = 1;
    for (const std::string& key : shop_keys) shop.keys.insert(DigestOfKey(key));
    Workspace& other = snapshot.configuration.workspaces["other"];
    other.name = "other";
    other.keys = {DigestOfKey("other-key")};
    return snapshot;
  }
  void Write(uint64_t version, const std::vector<std::string>& shop_keys) {
    fleet.Put(std::string(kFollowedRow),
              Encode(MakeSnapshot(version, shop_keys)));
  }
  /// Sends a request as it arrives from the edge and returns its status.
  uint16_t Get(uint32_t n, const std::string& path, const std::string& key,
               Headers headers = {}) {
    if (!key.empty()) {
      headers.push_back(
          {std::string(header::kKeyDigest), FormatKeyDigest(DigestOfKey(key))});
    }
    const uint64_t call = fleet.Call(n, {"GET", path, headers, ""});
    fleet.Advance(100ms);
    return fleet.CallerAnswers()[call].status;
  }

  FakeFleet fleet;
  Headers last_headers;
  Call last_call;
  /// Values of all log lines.
  std::string log;
};

struct ReadyWorkspaceFleet : WorkspaceFleet {
  ReadyWorkspaceFleet() {
    fleet.StartAll();
    Write(1, {"k1", "k2"});
    fleet.Advance(5s);
  }
};

TEST_CASE("workspaces: a known key is served and named to the backend server") {
  ReadyWorkspaceFleet test;
  CHECK(test.Get(1, "/keyed", "k1",
                 {{std::string(header::kWorkspace), "other"}}) == 200);
  CHECK(FindHeader(test.last_headers, header::kWorkspace) == "shop");
  CHECK(FindHeader(test.last_headers, header::kKeyDigest).empty());
  CHECK(test.last_call.workspace == "shop");
  CHECK(test.last_call.priority == 1);
  CHECK(test.Get(1, "/keyed", "other-key") == 200);
  CHECK(test.last_call.workspace == "other");
  CHECK(test.last_call.priority == 5);
}

TEST_CASE("workspaces: a missing or unknown key gets 401 and never runs") {
  ReadyWorkspaceFleet test;
  CHECK(test.Get(1, "/keyed", "") == 401);
  CHECK(test.Get(1, "/keyed", "k3") == 401);
  CHECK(test.Get(1, "/open", "k3") == 401);
  CHECK(test.last_headers.empty());
  CHECK(test.fleet.At(1).Counter("calls_unknown_key_total") == 3);
}

TEST_CASE("workspaces: a public route needs no key and names no workspace") {
  ReadyWorkspaceFleet test;
  CHECK(test.Get(1, "/open", "", {{std::string(header::kWorkspace), "shop"}}) ==
        200);
  CHECK(FindHeader(test.last_headers, header::kWorkspace).empty());
  CHECK(test.Get(1, "/open", "k1") == 200);
  CHECK(FindHeader(test.last_headers, header::kWorkspace).empty());
  CHECK(test.last_call.workspace == "shop");
}

// Daemons behind relays that were cut off went on taking a withdrawn key.
TEST_CASE("workspaces: a withdrawn key is refused though all relays are cut") {
  ReadyWorkspaceFleet test;
  std::set<Address> relays;
  std::vector<uint32_t> others;
  for (uint32_t n = 1; n <= kSize; ++n) {
    FakeDaemon& daemon = test.fleet.At(n);
    if (daemon.GetContext().Shared().self.relays) {
      relays.insert(daemon.Self());
    } else {
      others.push_back(n);
    }
  }
  CHECK(others.size() == 3);
  test.fleet.SetFilter([relays](Address from, const Effect& effect) {
    const auto* message = std::get_if<SendPeer>(&effect);
    const auto* datagram = std::get_if<SendDatagram>(&effect);
    if (message == nullptr && datagram == nullptr) return true;
    const Address to = message != nullptr ? message->to : datagram->to;
    return !relays.contains(from) && !relays.contains(to);
  });
  test.Write(5, {"k2"});
  test.fleet.Advance(2s);
  for (const uint32_t n : others) CHECK(test.Get(n, "/keyed", "k1") == 401);
}

TEST_CASE("workspaces: a daemon without a configuration refuses with 503") {
  WorkspaceFleet test;
  test.fleet.StartAll();
  test.fleet.Advance(1s);
  CHECK(test.Get(1, "/keyed", "k1") == 503);
}

TEST_CASE("workspaces: where keys are not digested, a digest proves nothing") {
  const Configuration configuration =
      WorkspaceFleet::MakeSnapshot(1, {"k1"}).configuration;
  const Headers headers = {
      {std::string(header::kKeyDigest), FormatKeyDigest(DigestOfKey("k1"))}};
  const Route& keyed = configuration.routes.at("keyed");
  CHECK_FALSE(AuthenticateCaller(configuration, keyed, false, headers));
  const Configuration none;
  CHECK(AuthenticateCaller(none, keyed, false, headers));
  CHECK(AuthenticateCaller(none, keyed, true, {}));
  CHECK_FALSE(AuthenticateCaller(none, keyed, true, headers));
}

// All keys of a workspace are revoked while a third of the daemons cannot reach
// the store.
TEST_CASE("workspaces: revoked keys are refused everywhere in time") {
  ReadyWorkspaceFleet test;
  test.fleet.RefusePlatformCalls({1, 4, 7});
  test.fleet.Advance(3s);
  test.Write(2, {});
  test.fleet.Advance(kPropagationLimit);
  for (uint32_t n = 1; n <= kSize; ++n) {
    CHECK(test.Get(n, "/keyed", "k1") == 401);
    CHECK(test.Get(n, "/keyed", "k2") == 401);
    CHECK(test.Get(n, "/keyed", "other-key") == 200);
  }
  CHECK(test.log.find(FormatKeyDigest(DigestOfKey("k1"))) == std::string::npos);
}

TEST_CASE("workspaces: revoked keys stay refused after a restart") {
  ReadyWorkspaceFleet test;
  test.Write(2, {"k2"});
  test.fleet.Advance(kPropagationLimit);
  test.fleet.RefusePlatformCalls({1, 4, 7});
  for (const uint32_t n : {1U, 2U}) {
    test.fleet.Kill(n);
    test.fleet.Restart(n);
    for (int i = 0; i < 50; ++i) {
      const uint16_t status = test.Get(n, "/keyed", "k1");
      CHECK((status == 503 || status == 401));
    }
    CHECK(test.Get(n, "/keyed", "k2") == 200);
  }
}

TEST_CASE("workspaces: an older version from a peer brings no key back") {
  ReadyWorkspaceFleet test;
  test.Write(2, {});
  test.fleet.Advance(kPropagationLimit);
  test.fleet.Inject(1,
                    PeerMessageReceived{
                        test.fleet.At(2).Self(),
                        PushSnapshot{WorkspaceFleet::MakeSnapshot(1, {"k1"})}});
  CHECK(test.Get(1, "/keyed", "k1") == 401);
}

// A daemon that does not read workspaces passes on versions without them, which
// would open all routes.
TEST_CASE("workspaces: a version of a daemon that reads none is refused") {
  for (const bool checks_api_keys : {true, false}) {
    WorkspaceFleet test(checks_api_keys);
    test.fleet.StartAll();
    test.Write(1, {"k1"});
    test.fleet.Advance(5s);
    Snapshot without = WorkspaceFleet::MakeSnapshot(9, {});
    without.configuration.workspaces.clear();
    without.reads_workspaces = false;
    test.fleet.Inject(
        1, PeerMessageReceived{test.fleet.At(2).Self(), PushSnapshot{without}});
    CHECK(test.fleet.At(1).Version() == (checks_api_keys ? 1 : 9));
    CHECK(test.Get(1, "/keyed", "") == (checks_api_keys ? 401 : 200));
  }
}

}  // namespace
}  // namespace buckthorncart
