#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {
namespace {

constexpr const char* kCreateRoute =
    "create service bestelling\n"
    "create route orders path=/orders service=bestelling repeatable=no";
constexpr uint32_t kDaemons = 4;

/// Four daemons; each of the last three has a backend server.
struct OrderFleet {
  OrderFleet() {
    fleet.StartPlatform();
    for (uint32_t n = 1; n <= kDaemons; ++n) fleet.StartDaemon(n, kDaemons);
    for (uint32_t n = 2; n <= kDaemons; ++n) {
      fleet.StartBackendServer(n, "bestelling");
    }
    REQUIRE(WaitFor([this] { return ReadyBackendServers() == 3; }));
    REQUIRE(
        fleet.Post(fleet.Operators(1), "/v1/changes", kCreateRoute).status ==
        200);
    const auto in_force =
        fleet.Get(fleet.Operators(1), "/v1/in-force?version=1&wait-ms=10000");
    REQUIRE(nlohmann::json::parse(in_force.body)["in_force"] == kDaemons);
  }
  size_t ReadyBackendServers() {
    const auto answer = fleet.Get(fleet.Operators(1), "/v1/daemons");
    if (answer.status != 200) return 0;
    size_t ready = 0;
    const auto body = nlohmann::json::parse(answer.body);
    for (const auto& daemon : body["daemons"]) {
      if (daemon["backend_server"] == "ready") ++ready;
    }
    return ready;
  }
  FetchResult Order(uint32_t n, const std::string& key,
                    const std::string& time_ms) const {
    HttpRequest request{"POST", "/orders?time-ms=" + time_ms, {}, "one slate"};
    request.headers = {{std::string(header::kIdempotencyKey), key},
                       {std::string(header::kDeadline), "4000"}};
    return fleet.Fetch(fleet.Callers(n), request);
  }
  /// Number of runs of each key, from the logs of the reachable backend
  /// servers.
  std::map<std::string, uint32_t> Runs() const {
    std::map<std::string, uint32_t> runs;
    for (uint32_t n = 2; n <= kDaemons; ++n) {
      const auto answer = fleet.Get(fleet.Backend(n), "/log");
      if (answer.status != 200) continue;
      const auto log = nlohmann::json::parse(answer.body);
      for (const auto& [key, count] : log["keys"].items()) {
        runs[key] += count.get<uint32_t>();
      }
    }
    return runs;
  }
  static std::string OutcomeOf(const FetchResult& answer) {
    return std::string(FindHeader(answer.headers, header::kOutcome));
  }
  ProcessFleet fleet;
};

TEST_CASE("at most once: a repeated order gets its recorded answer") {
  OrderFleet test;
  const auto first = test.Order(1, "first", "5");
  const auto again = test.Order(2, "first", "5");
  CHECK(first.status == 200);
  CHECK(again.status == 200);
  CHECK(first.body == again.body);
  CHECK(test.Runs()["first"] == 1);
}

TEST_CASE("at most once: ten concurrent orders with one key run once") {
  OrderFleet test;
  constexpr uint32_t kCallers = 10;
  std::vector<FetchResult> answers(kCallers);
  std::vector<std::thread> callers;
  for (uint32_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&test, &answers, i] {
      answers[i] = test.Order(1 + i % kDaemons, "ten", "50");
    });
  }
  for (std::thread& caller : callers) caller.join();
  for (const FetchResult& answer : answers) {
    CHECK(answer.status == 200);
    CHECK(OrderFleet::OutcomeOf(answer) == "ran");
  }
  CHECK(test.Runs()["ten"] == 1);
}

TEST_CASE("at most once: daemons are killed while orders run") {
  OrderFleet test;
  std::map<std::string, std::vector<std::string>> outcomes;
  std::thread killer([&test] {
    for (const uint32_t n : {3U, 4U}) {
      // Kills the daemon once its backend server has started to run an order.
      WaitFor([&test, n] {
        const auto log = test.fleet.Get(test.fleet.Backend(n), "/log");
        return log.status == 200 && nlohmann::json::parse(log.body)["runs"] > 0;
      });
      test.fleet.Signal("daemon-" + std::to_string(n), SIGKILL);
    }
  });
  constexpr int kOrders = 30;
  for (int i = 0; i < kOrders; ++i) {
    const std::string key = "k" + std::to_string(i);
    for (const uint32_t n : {1U, 2U}) {
      outcomes[key].push_back(OrderFleet::OutcomeOf(test.Order(n, key, "50")));
      if (outcomes[key].back() == "ran") break;
    }
  }
  killer.join();
  auto runs = test.Runs();
  uint32_t ran = 0;
  for (const auto& [key, reported] : outcomes) {
    CHECK(runs[key] <= 1);
    const bool all_not_run =
        std::all_of(reported.begin(), reported.end(),
                    [](const std::string& one) { return one == "not-run"; });
    if (all_not_run) CHECK(runs[key] == 0);
    if (reported.back() == "ran") ++ran;
    if (reported.back() == "ran") CHECK(runs[key] == 1);
  }
  CHECK(ran > 0);
}

TEST_CASE("at most once: a platform that is down refuses, and nothing runs") {
  OrderFleet test;
  test.fleet.Get(test.fleet.Platform(), "/control?mode=down");
  for (int i = 0; i < 10; ++i) {
    const auto answer = test.Order(1, "down" + std::to_string(i), "5");
    CHECK(answer.status == 503);
    CHECK(OrderFleet::OutcomeOf(answer) == "not-run");
  }
  CHECK(test.Runs().empty());
  test.fleet.Get(test.fleet.Platform(), "/control?mode=up");
  CHECK(WaitFor([&test] {
    return OrderFleet::OutcomeOf(test.Order(1, "down0", "5")) == "ran";
  }));
  CHECK(test.Runs()["down0"] == 1);
}

}  // namespace
}  // namespace buckthorncart
