#include "EndToEnd/route_fleet.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace buckthorncart {
namespace {

constexpr const char* kCreateRoute =
    "create service catalogus\n"
    "create route proofs path=/proofs service=catalogus timeout=30s";

}  // namespace

RouteFleet::RouteFleet(uint32_t daemons) {
  processes_.StartPlatform();
  for (uint32_t n = 1; n <= daemons; ++n) processes_.StartDaemon(n, daemons);
  for (uint32_t n = 2; n <= daemons; ++n) {
    processes_.StartBackendServer(n, "catalogus");
  }
  for (uint32_t n = 1; n <= daemons; ++n) {
    REQUIRE(WaitFor([&] { return ReadyBackendServers(n) == daemons - 1; }));
  }
  const auto answer =
      processes_.Post(processes_.Operators(1), "/v1/changes", kCreateRoute);
  REQUIRE(answer.status == 200);
  REQUIRE(WaitFor([&] {
    const auto in_force =
        processes_.Get(processes_.Operators(1), "/v1/in-force?version=1");
    const auto body = nlohmann::json::parse(in_force.body, nullptr, false);
    return body.is_object() && body.value("in_force_everywhere", false);
  }));
}

size_t RouteFleet::ReadyBackendServers(uint32_t n) {
  const auto answer = processes_.Get(processes_.Operators(n), "/v1/daemons");
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  if (!body.is_object() || !body.contains("daemons")) return 0;
  size_t ready = 0;
  for (const auto& daemon : body["daemons"]) {
    if (daemon["backend_server"] == "ready") ++ready;
  }
  return ready;
}

double RouteFleet::Metric(uint32_t n, const std::string& name) {
  const std::string page =
      "\n" + processes_.Get(processes_.Operators(n), "/metrics").body;
  const std::string prefix = "\nbuckthorncart_" + name + " ";
  const size_t at = page.find(prefix);
  if (at == std::string::npos) return -1;
  return std::stod(page.substr(at + prefix.size()));
}

}  // namespace buckthorncart
