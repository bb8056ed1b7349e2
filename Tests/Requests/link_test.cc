#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Plugins/Admission/body_transfers.h"
#include "Plugins/Configuration/configuration_follower.h"
#include "Requests/request_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSenders = 8;
constexpr uint32_t kServer = kSenders + 1;
constexpr uint32_t kNarrowKbps = 7'000;
constexpr uint32_t kSenderKbps = 100'000;
constexpr size_t kUploadBytes = 60'000;
constexpr uint32_t kChecksPerSecond = 50;
constexpr uint32_t kSlots = 18;
constexpr Duration kRunTime = 90ms;
constexpr Duration kLoadDuration = 5s;
/// Latency objectives of the two kinds of request.
constexpr Duration kCheckTarget = 400ms;
constexpr Duration kUploadTarget = 1500ms;
constexpr Duration kCheckDeadline = 1s;
constexpr Duration kUploadDeadline = 6s;

struct SendWholeBodies : StandardRequestRules {
  static constexpr bool kWithholdBodies = false;
};

struct Kind {
  std::string path;
  Duration target{};
  Duration deadline{};
  size_t body_bytes = 0;
};

const Kind kCheck = {"/check/", kCheckTarget, kCheckDeadline, 0};
const Kind kUpload = {"/upload/", kUploadTarget, kUploadDeadline, kUploadBytes};

struct KindResult {
  uint32_t calls = 0;
  uint32_t in_time = 0;
  uint32_t refused = 0;
  uint32_t unknown = 0;
  std::vector<Duration> times;
  Duration longest_refusal{};

  double InTime() const { return static_cast<double>(in_time) / calls; }
  Duration P99() const {
    constexpr double kShare = 0.99;
    std::vector<Duration> sorted = times;
    std::sort(sorted.begin(), sorted.end());
    if (sorted.empty()) return {};
    return sorted[static_cast<size_t>(kShare *
                                      static_cast<double>(sorted.size() - 1))];
  }
};

/// Daemons 1 to `kSenders` receive the calls. The backend server of the service
/// that they call is behind a narrow link.
class LinkFleet {
 public:
  explicit LinkFleet(
      FakeFleet::PluginFactory plugins,
      uint32_t body_memory_kib = KernelSettings{}.body_memory_kib)
      : fleet_(std::move(plugins)) {
    std::vector<KernelSettings> all;
    for (uint32_t n = 1; n <= kServer; ++n) {
      KernelSettings settings = TestSettings(n, "pl-ne-bia");
      settings.source = ConfigurationSource::kFollowed;
      settings.choice = ChoicePolicy::kNearest;
      settings.body_memory_kib = body_memory_kib;
      settings.link_kbps = n == kServer ? kNarrowKbps : kSenderKbps;
      all.push_back(settings);
      fleet_.SetLink(n, settings.link_kbps);
    }
    fleet_.AddAll(all);
    fleet_.Announce(kServer, "vet-intake", "ready", kSlots);
    fleet_.Behaviours()[kServer].time = kRunTime;
    fleet_.Put(std::string(kFollowedRow), Encode(MakeSnapshot()));
    fleet_.StartAll();
    fleet_.Advance(10s);
  }

  /// Offers uploads at `percent` hundredths of the rate of the narrow link, and
  /// small calls at a constant rate.
  std::map<std::string, KindResult> Run(uint32_t percent) {
    constexpr uint64_t kBitsPerByte = 8;
    constexpr uint64_t kBitsPerKilobit = 1'000;
    const uint64_t upload_interval_us = kUploadBytes * kBitsPerByte *
                                        kBitsPerKilobit * 100 /
                                        (uint64_t{kNarrowKbps} * percent);
    const Duration check_interval = Duration(1s) / kChecksPerSecond;
    const Time end = fleet_.Now() + kLoadDuration;
    Time next_upload = fleet_.Now();
    Time next_check = fleet_.Now();
    while (fleet_.Now() < end) {
      if (next_upload <= next_check) {
        AdvanceTo(next_upload);
        Send(kUpload);
        next_upload += Duration(upload_interval_us);
      } else {
        AdvanceTo(next_check);
        Send(kCheck);
        next_check += check_interval;
      }
    }
    fleet_.Advance(kUploadDeadline + 1s);
    return Results(percent);
  }

  FakeFleet& Fleet() { return fleet_; }

 private:
  struct Sent {
    Kind kind;
    Time at{};
  };

  static Snapshot MakeSnapshot() {
    Snapshot snapshot;
    snapshot.version = 1;
    snapshot.configuration.services["vet-intake"].name = "vet-intake";
    for (const Kind& kind : {kCheck, kUpload}) {
      Route route;
      route.name = kind.path;
      route.path = kind.path;
      route.service = "vet-intake";
      route.deduplicates_by_key = false;
      route.repeatable = kind.body_bytes == 0;
      route.target_latency_ms =
          static_cast<uint32_t>(ToMilliseconds(kind.target));
      snapshot.configuration.routes[route.name] = route;
    }
    return snapshot;
  }

  void AdvanceTo(Time at) {
    if (at > fleet_.Now()) fleet_.Advance(at - fleet_.Now());
  }

  void Send(const Kind& kind) {
    const uint32_t n = 1 + static_cast<uint32_t>(sent_.size()) % kSenders;
    const uint64_t call =
        fleet_.Call(n, {"POST",
                        kind.path,
                        {{std::string(header::kDeadline),
                          std::to_string(ToMilliseconds(kind.deadline))}},
                        std::string(kind.body_bytes, 'x')});
    sent_[call] = {kind, fleet_.Now()};
  }

  std::map<std::string, KindResult> Results(uint32_t percent) {
    constexpr uint16_t kHttpOk = 200;
    std::map<std::string, KindResult> results;
    for (const auto& [call, sent] : sent_) {
      KindResult& result = results[sent.kind.path];
      ++result.calls;
      const AnswerPart& answer = fleet_.CallerAnswers()[call];
      const Duration time = fleet_.AnsweredAt().at(call) - sent.at;
      if (answer.status == kHttpOk) {
        result.times.push_back(time);
        if (time <= sent.kind.target) ++result.in_time;
      } else if (FindHeader(answer.headers, header::kOutcome) == "not-run") {
        ++result.refused;
        result.longest_refusal = std::max(result.longest_refusal, time);
      } else {
        ++result.unknown;
      }
    }
    for (const auto& [path, result] : results) {
      MESSAGE(percent << "% " << path << " calls " << result.calls
                      << " in time " << result.InTime() << " refused "
                      << result.refused << " unknown " << result.unknown
                      << " p99 ms " << ToMilliseconds(result.P99())
                      << " longest refusal ms "
                      << ToMilliseconds(result.longest_refusal));
    }
    sent_.clear();
    return results;
  }

  FakeFleet fleet_;
  std::map<uint64_t, Sent> sent_;
};

// Uploads fill the narrow link of a backend server's VM. Small urgent calls to
// the same service must not wait behind them, and what the link cannot carry is
// refused before it is sent.
TEST_CASE("link: small calls are in time beside uploads below the link rate") {
  for (const uint32_t percent : {50U, 90U}) {
    LinkFleet fleet(PluginsWith<StandardRequestRules, NearestChoice>);
    auto results = fleet.Run(percent);
    CHECK(results["/check/"].InTime() >= 0.99);
    CHECK(results["/upload/"].InTime() >= 0.95);
    CHECK(results["/check/"].unknown == 0);
    CHECK(results["/upload/"].unknown == 0);
  }
}

TEST_CASE("link: uploads beyond the link rate are refused as not run at once") {
  LinkFleet fleet(PluginsWith<StandardRequestRules, NearestChoice>);
  auto results = fleet.Run(130);
  const KindResult& uploads = results["/upload/"];
  CHECK(results["/check/"].InTime() >= 0.99);
  CHECK(uploads.unknown == 0);
  // The link carries 1 / 1.3 of the uploads.
  CHECK(uploads.InTime() >= 0.9 / 1.3);
  CHECK(uploads.longest_refusal <= 100ms);
}

TEST_CASE("link control: whole bodies keep small calls waiting") {
  LinkFleet fleet(PluginsWith<SendWholeBodies, NearestChoice>);
  auto results = fleet.Run(130);
  CHECK(results["/check/"].InTime() < 0.5);
  CHECK(results["/check/"].unknown > 0);
}

TEST_CASE("link: a call whose body was not sent completely has not run") {
  LinkFleet fleet(PluginsWith<StandardRequestRules, NearestChoice>);
  FakeFleet& fake = fleet.Fleet();
  fake.SetFilter([](Address, const Effect& effect) {
    const auto* sent = std::get_if<SendPeer>(&effect);
    return sent == nullptr || !std::holds_alternative<BodyPiece>(sent->message);
  });
  const uint64_t call =
      fake.Call(1, {"POST",
                    kUpload.path,
                    {{std::string(header::kDeadline), "2000"}},
                    std::string(kUploadBytes, 'x')});
  fake.Advance(200ms);
  const Address server = fake.At(kServer).Self();
  fake.Kill(kServer);
  fake.Inject(1, PeerConnectionLost{server});
  fake.Advance(3s);
  CHECK(FindHeader(fake.CallerAnswers()[call].headers, header::kOutcome) ==
        "not-run");
}

// The size is the word of another daemon; memory must not be taken on it.
TEST_CASE("link: a call with a withheld body of absurd size is refused") {
  LinkFleet fleet(PluginsWith<StandardRequestRules, NearestChoice>);
  FakeFleet& fake = fleet.Fleet();
  std::optional<Errc> reason;
  fake.SetFilter([&reason](Address, const Effect& effect) {
    const auto* sent = std::get_if<SendPeer>(&effect);
    if (sent == nullptr) return true;
    const auto* refused = std::get_if<CallRefused>(&sent->message);
    if (refused != nullptr) reason = refused->reason;
    return true;
  });
  Call call;
  call.id = 1;
  call.service = "vet-intake";
  call.remaining_ms = 1'000;
  call.withheld_bytes = ~uint64_t{0};
  fake.Inject(kServer, PeerMessageReceived{fake.At(1).Self(), call});
  fake.Advance(10ms);
  CHECK(reason == Errc::kBodyTooLarge);
}

TEST_CASE("body transfers: a stalled sender does not hold up the others") {
  constexpr Time kStart = 1h;
  BodyTransfers transfers(kNarrowKbps);
  transfers.Add(1, kUploadBytes, 1.0);
  transfers.Add(2, kUploadBytes, 1.0);
  for (const auto& range : transfers.TakeRequests(kStart)) {
    CHECK(range.run == 1);
  }
  CHECK(transfers.TakeRequests(kStart + 400ms).empty());
  const auto ranges = transfers.TakeRequests(kStart + 600ms);
  REQUIRE_FALSE(ranges.empty());
  CHECK(ranges.front().run == 2);
}

TEST_CASE("body transfers: more weight goes first, then the order of arrival") {
  constexpr Time kStart = 1h;
  BodyTransfers transfers(kNarrowKbps);
  transfers.Add(1, 1'000, 1.0);
  transfers.Add(2, 1'000, 1.0);
  transfers.Add(3, 1'000, 2.0);
  std::vector<uint64_t> order;
  for (const auto& range : transfers.TakeRequests(kStart)) {
    order.push_back(range.run);
  }
  CHECK(order == std::vector<uint64_t>{3, 1, 2});
  CHECK(transfers.ExpectedWait(2.0) < transfers.ExpectedWait(1.0));
  CHECK(transfers.RecordArrival(3, 1'000, kStart));
  CHECK(transfers.ExpectedWait(2.0) == Duration::zero());
}

TEST_CASE("body transfers: the expected wait follows the rate that is seen") {
  constexpr Time kStart = 1h;
  BodyTransfers transfers(kNarrowKbps);
  const Duration nominal = transfers.TransferTime(kUploadBytes);
  constexpr uint64_t kBodies = 20;
  for (uint64_t run = 1; run <= kBodies; ++run)
    transfers.Add(run, kUploadBytes, 1.0);
  // Half of the link is taken by other traffic.
  Time now = kStart;
  for (uint64_t run = 1; run < kBodies; ++run) {
    transfers.TakeRequests(now);
    now += 2 * nominal;
    transfers.RecordArrival(run, kUploadBytes, now);
  }
  CHECK(transfers.TransferTime(kUploadBytes) > nominal * 9 / 5);
  CHECK(transfers.TransferTime(kUploadBytes) <= nominal * 2);
}

TEST_CASE("link: bodies that do not fit in memory are refused, others pass") {
  constexpr uint32_t kSmallMemoryKib = 50;
  LinkFleet test(StandardPlugins, kSmallMemoryKib);
  auto results = test.Run(50);
  const KindResult& uploads = results.at(kUpload.path);
  CHECK(uploads.calls > 0);
  CHECK(uploads.refused == uploads.calls);
  CHECK(results.at(kCheck.path).InTime() > 0.99);
}

}  // namespace
}  // namespace buckthorncart
