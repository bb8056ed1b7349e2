#include "platform/row_store.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <map>
#include <optional>
#include <string>

#include "Config/snapshot.h"
#include "RowStoreStandin/row_store_standin.h"
#include "Wire/codec.h"
#include "platform/rollout_json.h"

namespace buckthorncart::platform {
namespace {

constexpr int kFdLimit = 128;
constexpr uint16_t kPort = 7500;

Address StoreAddress() {
  // An address that no other process uses: its last two bytes are from the
  // process ID.
  return {(127U << 24U) | (240U << 16U) |
              (static_cast<uint32_t>(getpid()) & 0xFFFFU),
          kPort};
}

/// The adapter and a stand-in of the store on the same loop.
struct Fixture {
  Fixture()
      : log(LogFormat::kText, LogLevel::kWarning),
        standin(loop),
        store(loop, StoreAddress(), log,
              [this](uint64_t tag, PlatformReply reply) {
                replies[tag] = std::move(reply);
                loop.Stop();
              }) {
    REQUIRE(standin.Listen(StoreAddress()));
    REQUIRE(store.Open());
  }
  ~Fixture() { loop.Close(); }

  /// Returns the reply to a request, or kUnknown with version 99 if there was
  /// none within `limit`.
  PlatformReply SendRequest(const PlatformRequest& request,
                            Duration limit = 5s) {
    loop.RunIn(limit, [this] { loop.Stop(); });
    store.Submit(1, request);
    // A stopped loop is closed, so that a fixture can send one request only.
    loop.Run();
    const auto it = replies.find(1);
    return it == replies.end()
               ? PlatformReply{PlatformStatus::kUnknown, {}, {}, 99}
               : it->second;
  }

  Loop loop{kFdLimit};
  LogSink log;
  RowStoreStandin standin;
  RowStore store;
  std::map<uint64_t, PlatformReply> replies;
};

constexpr const char* kDocument =
    R"({"version":7,"routes":[],"services":[{"name":"a"}]})";

TEST_CASE("row store: a row is written and read back byte for byte") {
  const std::string value("\0\x01\xff binary", 10);
  {
    Fixture test;
    const auto reply =
        test.SendRequest(Transaction{{}, {{"vm/10.0.0.1:1", value}}});
    CHECK(reply.status == PlatformStatus::kOk);
    CHECK(test.standin.Get("vm", "10.0.0.1:1").size() == value.size());
    CHECK(test.standin.Get("vm", "10.0.0.1:1") == value);
  }
  Fixture test;
  test.standin.Put("vm", "10.0.0.1:1", value);
  test.standin.Put("vm", "10.0.0.2:1", "two");
  const auto reply = test.SendRequest(ScanRows{"vm/", "", 100});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.rows.at("vm/10.0.0.1:1") == value);
  CHECK(reply.rows.size() == 2);
}

TEST_CASE("row store: the configuration is converted to a snapshot") {
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  const auto reply = test.SendRequest(ReadRows{{"configuration"}});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.version == 1);
  CHECK(Decode<Snapshot>(reply.rows.at("configuration"))->version == 7);
}

TEST_CASE("row store: an invalid configuration is omitted") {
  Fixture test;
  test.standin.Put("op", "config", "{\"version\":7,\"rou");
  const auto reply = test.SendRequest(ReadRows{{"configuration"}});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.rows.empty());
}

TEST_CASE("row store: a watch ends without rows if another row changes") {
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  test.loop.RunIn(30ms, [&] { test.standin.Put("op", "other", "x"); });
  test.loop.RunIn(60ms, [&] { test.standin.Put("vm", "x", "y"); });
  const auto reply = test.SendRequest(WatchRow{"configuration", 1, 2'000});
  // A change of another row in the table ends the watch without the
  // configuration; a change in another table does not end it.
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.rows.empty());
  CHECK(reply.version == 2);
}

TEST_CASE("row store: a watch after compaction reports lost history") {
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  test.standin.Compact();
  CHECK(test.SendRequest(WatchRow{"configuration", 0, 2'000}).status ==
        PlatformStatus::kHistoryLost);
}

PlatformStatus StatusWithFault(StoreFault fault) {
  Fixture test;
  test.standin.SetFault(fault);
  return test.SendRequest(Transaction{{}, {{"vm/a", "b"}}}).status;
}

TEST_CASE("row store: a write is unavailable if refused, else unknown") {
  CHECK(StatusWithFault(StoreFault::kServiceUnavailable) ==
        PlatformStatus::kUnavailable);
  CHECK(StatusWithFault(StoreFault::kTooManyRequests) ==
        PlatformStatus::kUnavailable);
  CHECK(StatusWithFault(StoreFault::kReset) == PlatformStatus::kUnknown);
  CHECK(StatusWithFault(StoreFault::kAnswerLost) == PlatformStatus::kUnknown);
  CHECK(StatusWithFault(StoreFault::kSilent) == PlatformStatus::kUnknown);
}

/// Result of a transaction that requires the row to have `required`, if the
/// store has `present`.
struct ConditionalWrite {
  PlatformReply reply;
  std::string row;
};

ConditionalWrite WriteIf(const std::optional<std::string>& required,
                         const std::string& present) {
  Fixture test;
  test.standin.Put("rollout", "other", "x");
  if (!present.empty()) test.standin.Put("rollout", "lead", present);
  PlatformReply reply = test.SendRequest(
      Transaction{{{"rollout/lead", required}}, {{"rollout/lead", "new"}}});
  return {std::move(reply), test.standin.Get("rollout", "lead")};
}

TEST_CASE(
    "row store: a transaction is applied only if its conditions are met") {
  const auto met = WriteIf("old", "old");
  CHECK(met.reply.status == PlatformStatus::kOk);
  CHECK(met.row == "new");
  const auto absent = WriteIf(std::nullopt, "");
  CHECK(absent.reply.status == PlatformStatus::kOk);
  CHECK(absent.row == "new");
  const auto other = WriteIf("old", "other");
  CHECK(other.reply.status == PlatformStatus::kConditionFailed);
  CHECK(other.reply.rows.at("rollout/lead") == "other");
  CHECK(other.row == "other");
  CHECK(WriteIf(std::nullopt, "x").reply.status ==
        PlatformStatus::kConditionFailed);
  CHECK(WriteIf("old", "").reply.status == PlatformStatus::kConditionFailed);
}

// Another writer changes the row after its value has been compared.
TEST_CASE("row store: a condition holds until the writes are applied") {
  Fixture test;
  test.standin.Put("rollout", "lead", "old");
  test.standin.ChangeAfterRead("rollout", "lead", "theirs");
  const auto reply = test.SendRequest(
      Transaction{{{"rollout/lead", "old"}}, {{"rollout/lead", "ours"}}});
  CHECK(reply.status == PlatformStatus::kConditionFailed);
  CHECK(test.standin.Get("rollout", "lead") == "theirs");
}

TEST_CASE("row store: replies name the era of the store") {
  for (const bool restored : {false, true}) {
    Fixture test;
    test.standin.Put("left", "10.0.0.1:1", "row");
    if (restored) test.standin.Restore();
    const auto reply = test.SendRequest(ReadRows{{"left/10.0.0.1:1"}});
    CHECK(reply.status == PlatformStatus::kOk);
    CHECK(reply.era == (restored ? 2 : 1));
    CHECK(reply.rows.size() == (restored ? 0 : 1));
  }
}

TEST_CASE("row store: a watch beyond the version of a restored store") {
  Fixture test;
  test.standin.Restore();
  const auto reply = test.SendRequest(WatchRow{"configuration", 7, 100});
  CHECK(reply.status == PlatformStatus::kHistoryLost);
  CHECK(reply.era == 2);
}

// The store gives the version of a lost row to another value, so that a
// condition on that version is met although its value is not there.
TEST_CASE("row store: a condition that is met by accident counts as unknown") {
  Fixture test;
  test.standin.TakeCopy();
  test.standin.Put("rollout", "lead", "ours");
  test.standin.RunAfterRead([&test] {
    test.standin.Restore();
    test.standin.Put("rollout", "lead", "theirs");
  });
  const auto reply = test.SendRequest(
      Transaction{{{"rollout/lead", "ours"}}, {{"rollout/x", "new"}}});
  CHECK(reply.status == PlatformStatus::kUnknown);
  CHECK(reply.rows.empty());
  CHECK(reply.era == 2);
}

TEST_CASE("row store: conditions that were read in two eras are not used") {
  Fixture test;
  test.standin.Put("rollout", "lead", "ours");
  test.standin.TakeCopy();
  test.standin.RunAfterRead([&test] { test.standin.Restore(); });
  const auto reply = test.SendRequest(
      Transaction{{{"rollout/lead", "ours"}, {"rollout/x", std::nullopt}},
                  {{"rollout/x", "new"}}});
  CHECK(reply.status == PlatformStatus::kUnavailable);
  CHECK(test.standin.Get("rollout", "x").empty());
}

TEST_CASE(
    "row store: a transaction whose conditions cannot be read is not "
    "carried out") {
  for (const StoreFault fault :
       {StoreFault::kServiceUnavailable, StoreFault::kReset,
        StoreFault::kAnswerLost, StoreFault::kGarbled}) {
    Fixture test;
    test.standin.SetFault(fault);
    const auto reply = test.SendRequest(
        Transaction{{{"rollout/lead", "old"}}, {{"rollout/lead", "new"}}});
    CHECK(reply.status == PlatformStatus::kUnavailable);
  }
}

TEST_CASE("row store: roll-out rows are converted from and to documents") {
  Rollout rollout;
  rollout.service = "desk";
  rollout.target = "v2";
  {
    Fixture test;
    const auto reply = test.SendRequest(
        Transaction{{{"status/rollout/desk", std::nullopt}},
                    {{"status/rollout/desk", Encode(rollout)}}});
    CHECK(reply.status == PlatformStatus::kOk);
    CHECK(test.standin.Get("status", "rollout/desk") == FormatRollout(rollout));
  }
  {
    Fixture test;
    test.standin.Put("status", "rollout/desk", FormatRollout(rollout));
    const auto reply = test.SendRequest(
        Transaction{{{"status/rollout/desk", Encode(rollout)}},
                    {{"status/rollout/desk", Encode(rollout)}}});
    CHECK(reply.status == PlatformStatus::kOk);
  }
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  test.standin.Put("op", "rollout/bad", "[");
  test.standin.Put("op", "rollout/desk",
                   R"({"service":"desk","target":"v2","durationS":12})");
  const auto reply = test.SendRequest(ScanRows{"op/rollout/", "", 100});
  REQUIRE(reply.rows.size() == 1);
  const auto order = Decode<RolloutOrder>(reply.rows.at("op/rollout/desk"));
  REQUIRE(order);
  CHECK(order->duration_ms == 12'000);
}

TEST_CASE("row store: an unreadable answer is not an empty table") {
  Fixture test;
  test.standin.SetFault(StoreFault::kGarbled);
  CHECK(test.SendRequest(ScanRows{"vm/", "", 10}).status ==
        PlatformStatus::kUnknown);
}

TEST_CASE("row store: an unreachable store is unavailable") {
  Loop loop(kFdLimit);
  const LogSink log(LogFormat::kText, LogLevel::kWarning);
  PlatformStatus status = PlatformStatus::kOk;
  RowStore store(loop, StoreAddress(), log,
                 [&](uint64_t, const PlatformReply& reply) {
                   status = reply.status;
                   loop.Stop();
                 });
  REQUIRE(store.Open());
  store.Submit(1, ScanRows{"vm/", "", 10});
  loop.Run();
  CHECK(status == PlatformStatus::kUnavailable);
}

}  // namespace
}  // namespace buckthorncart::platform
