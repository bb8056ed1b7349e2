#include "platform/row_store.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <map>
#include <string>

#include "Config/snapshot.h"
#include "RowStoreStandin/row_store_standin.h"
#include "Wire/codec.h"

namespace buckthorncart::platform {
namespace {

constexpr int kFdLimit = 128;
constexpr uint16_t kPort = 7500;

Address StoreAddress() {
  // Addresses of this process alone.
  return {(127U << 24U) | (240U << 16U) |
              (static_cast<uint32_t>(getpid()) & 0xFFFFU),
          kPort};
}

/// The adapter and the stand-in on one loop.
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

  /// The reply to a request; kUnknown with version 99 when none came.
  PlatformReply Ask(const PlatformRequest& request, Duration limit = 5s) {
    loop.RunIn(limit, [this] { loop.Stop(); });
    store.Submit(1, request);
    // A loop that has stopped is closed, so that each fixture asks once.
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
    const auto reply = test.Ask(Transaction{{}, {{"vm/10.0.0.1:1", value}}});
    CHECK(reply.status == PlatformStatus::kOk);
    CHECK(test.standin.Get("vm", "10.0.0.1:1").size() == value.size());
    CHECK(test.standin.Get("vm", "10.0.0.1:1") == value);
  }
  Fixture test;
  test.standin.Put("vm", "10.0.0.1:1", value);
  test.standin.Put("vm", "10.0.0.2:1", "two");
  const auto reply = test.Ask(ScanRows{"vm/", "", 100});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.rows.at("vm/10.0.0.1:1") == value);
  CHECK(reply.rows.size() == 2);
}

TEST_CASE("row store: the configuration arrives as the product's snapshot") {
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  const auto reply = test.Ask(ReadRows{{"configuration"}});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.version == 1);
  CHECK(Decode<Snapshot>(reply.rows.at("configuration"))->version == 7);
}

TEST_CASE("row store: an unreadable configuration is left out") {
  Fixture test;
  test.standin.Put("op", "config", "{\"version\":7,\"rou");
  const auto reply = test.Ask(ReadRows{{"configuration"}});
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.rows.empty());
}

TEST_CASE("row store: a watch returns with the change, others do not wake it") {
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  test.loop.RunIn(30ms, [&] { test.standin.Put("op", "other", "x"); });
  test.loop.RunIn(60ms, [&] { test.standin.Put("vm", "x", "y"); });
  const auto reply = test.Ask(WatchRow{"configuration", 1, 2'000});
  // The other row of the table ends the watch without the configuration.
  CHECK(reply.status == PlatformStatus::kOk);
  CHECK(reply.rows.empty());
  CHECK(reply.version == 2);
}

TEST_CASE("row store: a watch without history asks for a read") {
  Fixture test;
  test.standin.Put("op", "config", kDocument);
  test.standin.Compact();
  CHECK(test.Ask(WatchRow{"configuration", 0, 2'000}).status ==
        PlatformStatus::kHistoryLost);
}

PlatformStatus StatusUnder(StoreFault fault) {
  Fixture test;
  test.standin.SetFault(fault);
  return test.Ask(Transaction{{}, {{"vm/a", "b"}}}).status;
}

TEST_CASE("row store: refusals are certain, losses are not") {
  CHECK(StatusUnder(StoreFault::kServiceUnavailable) ==
        PlatformStatus::kUnavailable);
  CHECK(StatusUnder(StoreFault::kTooManyRequests) ==
        PlatformStatus::kUnavailable);
  CHECK(StatusUnder(StoreFault::kReset) == PlatformStatus::kUnknown);
  CHECK(StatusUnder(StoreFault::kAnswerLost) == PlatformStatus::kUnknown);
  CHECK(StatusUnder(StoreFault::kSilent) == PlatformStatus::kUnknown);
}

TEST_CASE("row store: an answer that cannot be read is no empty table") {
  Fixture test;
  test.standin.SetFault(StoreFault::kGarbled);
  CHECK(test.Ask(ScanRows{"vm/", "", 10}).status == PlatformStatus::kUnknown);
}

TEST_CASE("row store: a store that is not there is unavailable") {
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
