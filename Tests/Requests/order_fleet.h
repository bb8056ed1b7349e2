#pragma once
/// \file
/// Simulated fleet of five daemons for unrepeatable requests ("orders"), which
/// must run at most once.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "Plugins/Claims/claim_row.h"
#include "Support/fake_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {

inline constexpr uint32_t kOrderDaemons = 5;

/// The registered plug-ins, with `Old` replaced by `New`.
template <typename Old, typename New>
FakeDaemon::Plugins ReplacePlugin(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    if (dynamic_cast<Old*>(plugin.get()) == nullptr) continue;
    plugin = std::make_unique<New>();
  }
  return plugins;
}

/// Each of daemons 1 to 5 has a backend server. Route /orders is unrepeatable,
/// route /proofs is repeatable.
class OrderFleet {
 public:
  explicit OrderFleet(FakeFleet::PluginFactory plugins)
      : owned_(std::make_unique<FakeFleet>(std::move(plugins))),
        fleet(*owned_) {
    for (uint32_t n = 1; n <= kOrderDaemons; ++n) {
      fleet.Add(n, std::string("nl-west-") + static_cast<char>('a' + n % 3));
      fleet.Announce(n, "bestelling");
    }
    fleet.StartAll();
    fleet.Advance(5s);
    fleet.Ask(1, "POST", "/v1/changes",
              "create service bestelling\n"
              "create route orders path=/orders service=bestelling "
              "repeatable=no\n"
              "create route proofs path=/proofs service=bestelling");
    fleet.Advance(2s);
    REQUIRE(fleet.At(kOrderDaemons).Version() == 1);
  }

  /// Sends an order with the idempotency key `key` to daemon `n`; returns the
  /// number of the call.
  uint64_t Order(uint32_t n, const std::string& key,
                 const std::string& body = "body", uint32_t deadline_ms = 3'000,
                 const std::string& path = "/orders") {
    HttpRequest request{"POST", path, {}, body};
    request.headers = {
        {std::string(header::kIdempotencyKey), key},
        {std::string(header::kDeadline), std::to_string(deadline_ms)}};
    const uint64_t call = fleet.Call(n, std::move(request));
    keys_[call] = key;
    return call;
  }
  std::string HeaderOf(uint64_t call, std::string_view name) {
    return std::string(FindHeader(fleet.CallerAnswers()[call].headers, name));
  }
  std::string OutcomeOf(uint64_t call) {
    return HeaderOf(call, header::kOutcome);
  }
  std::string ReasonOf(uint64_t call) {
    return HeaderOf(call, header::kReason);
  }
  std::string BodyOf(uint64_t call) { return fleet.CallerAnswers()[call].body; }
  /// Number of runs of requests with the idempotency key `key`.
  uint32_t RunsOf(const std::string& key) { return fleet.RunsByKey()[key]; }

  /// False if a key has run although all of its calls were answered "not-run".
  bool EveryNotRunIsTrue() {
    std::map<std::string, bool> may_have_run;
    for (const auto& [call, key] : keys_) {
      if (OutcomeOf(call) != "not-run") may_have_run[key] = true;
    }
    for (const auto& [call, key] : keys_) {
      if (RunsOf(key) > 0 && !may_have_run[key]) return false;
    }
    return true;
  }
  /// Daemon that holds the claim on `key`, or 0.
  uint32_t ClaimantOf(const std::string& key) {
    const std::string row_key = ClaimRowKey("bestelling", key);
    const auto reply = fleet.Table().Apply(ReadRows{{row_key}});
    const auto it = reply.rows.find(row_key);
    if (it == reply.rows.end()) return 0;
    const auto row = Decode<ClaimRow>(it->second);
    return row ? row->id.claimant.ip & 0xFFFFU : 0;
  }
  /// Advances until the claim on `key` is written; returns the daemon that
  /// holds it.
  uint32_t WaitForClaim(const std::string& key) {
    REQUIRE(fleet.AdvanceUntil([&] { return ClaimantOf(key) != 0; }, 1s));
    return ClaimantOf(key);
  }
  size_t ClaimRows() {
    return fleet.Table()
        .Apply(ScanRows{std::string(kClaimPrefix), "", 1'000})
        .rows.size();
  }
  /// A daemon other than `n`.
  static uint32_t Other(uint32_t n) { return n % kOrderDaemons + 1; }
  void SetRunTime(Duration time) {
    for (uint32_t n = 1; n <= kOrderDaemons; ++n) {
      fleet.Behaviours()[n].time = time;
    }
  }
  void SetFault(BackendFault fault) {
    for (uint32_t n = 1; n <= kOrderDaemons; ++n) {
      fleet.Behaviours()[n].fault = fault;
    }
  }

 private:
  std::unique_ptr<FakeFleet> owned_;
  std::map<uint64_t, std::string> keys_;

 public:
  FakeFleet& fleet;
};

}  // namespace buckthorncart
