/// Random tests of what the platform sends: whatever another writer has left,
/// it costs that entry or call alone.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "Plugins/Admission/announcement_json.h"
#include "Support/mutation.h"
#include "platform/configuration_parser.h"
#include "platform/node_settings.h"
#include "platform/platform_http_translator.h"
#include "platform/store_messages.h"

namespace buckthorncart::platform {
namespace {

using nlohmann::json;

constexpr int kRounds = 20'000;
const Address kBackend{0x0A000001, 8080};

constexpr const char* kHeartbeat =
    R"({"service":"s","address":"10.0.0.1:8080","zone":"z","version":"v1",
        "slots":9,"state":"ready","coldRemainingS":0,"sequence":3,
        "born":1700000000000})";

HttpRequest Translated(const std::string& target, const std::string& body) {
  HttpRequest request{"POST", target, {}, body};
  PlatformHttpTranslator(kBackend).TranslateOperatorRequest(request);
  return request;
}

bool IsRejected(const HttpRequest& request) {
  return !ParseAnnouncement(request.body.Text());
}

// Review case 1: the id of a heartbeat that is not UTF-8 ended the daemon.
TEST_CASE("odd input: an id that is not visible ASCII is rejected") {
  for (const char* call : {"instances.heartbeat", "instances.deregister"}) {
    const std::string target =
        "/buckthorncart/rpc?call=" + std::string(call) + "&of=";
    for (const char* id : {"i-%FF%FE%FA", "", "a%0D%0Ab", "a%20b", "%00"}) {
      CHECK(IsRejected(Translated(target + id, kHeartbeat)));
    }
    CHECK(IsRejected(Translated(target + std::string(300, 'i'), kHeartbeat)));
    CHECK(!IsRejected(Translated(target + "i-1", kHeartbeat)));
  }
}

TEST_CASE("odd input: a heartbeat with odd numbers or of odd size") {
  const std::string target =
      "/buckthorncart/rpc?call=instances.heartbeat&of=i-1";
  for (const char* field : {"sequence", "born", "slots"}) {
    for (const json& value :
         {json(~0ULL), json(-1), json(1.5), json("1"), json(nullptr),
          json(json::array()), json(1ULL << 60U)}) {
      json heartbeat = json::parse(kHeartbeat);
      heartbeat[field] = value;
      CHECK(IsRejected(Translated(target, heartbeat.dump())));
    }
  }
  CHECK(IsRejected(Translated(target, std::string(10'000'000, '['))));
  json padded = json::parse(kHeartbeat);
  padded["more"] = std::string(100'000, 'x');
  CHECK(IsRejected(Translated(target, padded.dump())));
}

// Review case 5: a heartbeat with fields missing brought an upstream that was
// draining back into use.
TEST_CASE("odd input: a heartbeat without one of its fields is rejected") {
  const std::string target =
      "/buckthorncart/rpc?call=instances.heartbeat&of=i-1";
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "coldRemainingS", "sequence"}) {
    json heartbeat = json::parse(kHeartbeat);
    heartbeat.erase(field);
    CHECK(IsRejected(Translated(target, heartbeat.dump())));
    heartbeat[field] = json::object();
    CHECK(IsRejected(Translated(target, heartbeat.dump())));
  }
}

TEST_CASE("odd input: an unknown call is no announcement") {
  const HttpRequest request =
      Translated("/buckthorncart/rpc?call=other&of=i-1",
                 R"({"service":"s","state":"ready","slots":9,"id":"i-9"})");
  CHECK(request.path != "/v1/backend-server");
}

TEST_CASE("odd input: damaged calls are translated without an exception") {
  const std::string target =
      "/buckthorncart/rpc?call=instances.heartbeat&of=i-1";
  pcg32 random(31);
  for (int i = 0; i < kRounds; ++i) {
    const bool damages_target = i % 2 == 0;
    const HttpRequest request =
        Translated(damages_target ? Mutate(target, random) : target,
                   damages_target ? kHeartbeat : Mutate(kHeartbeat, random));
    const auto announcement = ParseAnnouncement(request.body.Text());
    if (!announcement) continue;
    CHECK((announcement->backend.id.empty() ||
           IsBackendId(announcement->backend.id)));
    CHECK(announcement->sequence <= kMaxAnnouncedNumber);
  }
}

TEST_CASE("odd input: a deep, odd or foreign row costs that row alone") {
  const std::string body =
      R"({"ver":7,"nowS":1.5,"hasMore":"odd","rows":[
          17, null, "x", {"table":5,"key":["k"],"value":{}},
          {"table":"vm","key":"deep","value":)" +
      std::string(5'000, '[') + std::string(5'000, ']') +
      R"(},{"table":"vm","key":"10.0.0.1:70000","value":"%%%"},
          {"table":"vm","key":"10.0.0.1:7340","value":"eA=="}]})";
  const auto rows = ParseRows(body);
  REQUIRE(rows);
  CHECK(rows->version == 7);
  REQUIRE(!rows->rows.empty());
  CHECK(rows->rows.back().row_key == RowKey{"vm", "10.0.0.1:7340"});
  CHECK(rows->rows.back().value == "x");
}

TEST_CASE("odd input: damaged answers of the store are parsed or malformed") {
  const std::string body =
      R"({"ver":7,"nowS":1.5,"hasMore":false,"rows":[{"table":"op","part":"",
          "key":"config","value":"e30=","ver":7},
          {"table":"vm","key":"10.0.0.1:7340","deleted":true}]})";
  pcg32 random(32);
  for (int i = 0; i < kRounds; ++i) {
    const auto rows = ParseRows(Mutate(body, random));
    if (!rows) continue;
    for (const StoreRow& row : rows->rows) {
      CHECK(RowKeyOf(KeyOf(row.row_key)).key.size() <= body.size() + 1'000);
    }
  }
}

TEST_CASE("odd input: damaged configurations are parsed or held back") {
  const std::string document =
      R"({"version":7,"services":[{"name":"a"},{"name":"b"}],"routes":[
          {"name":"r","host":"h","prefix":"/p/","kind":"safe","service":"a",
           "timeoutS":1.5,"maxAttempts":2,"priority":1},
          {"name":"s","host":"h","prefix":"/q/","kind":"unsafe",
           "trafficSplit":[{"service":"a","weight":1},
                           {"service":"b","weight":3}]}]})";
  ConfigurationParser parser;
  pcg32 random(33);
  for (int i = 0; i < kRounds; ++i) {
    const auto snapshot = parser.Parse(Mutate(document, random));
    CHECK((snapshot || !snapshot.error().subject.empty()));
  }
  CHECK(parser.Parse(document));
}

TEST_CASE("odd input: damaged settings are read or rejected") {
  const std::string text =
      "nodeName=n\nzone=z\nip=10.0.0.1\ninternalPorts=7340,7349\n"
      "listen.outbound=10.0.0.1:80\nlisten.control=10.0.0.1:81\n"
      "listen.ready=10.0.0.1:82\nappAddr=10.0.0.1:8080\nservice=s\n"
      "platform.address=10.0.0.2:90\nbounds=graceS=6,budgetExtra=62\n";
  pcg32 random(34);
  for (int i = 0; i < kRounds; ++i) {
    const auto node = ParseNodeSettings(Mutate(text, random));
    CHECK((node || node.error().code == Errc::kInvalidSetting));
  }
}

}  // namespace
}  // namespace buckthorncart::platform
