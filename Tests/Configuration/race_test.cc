#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Plugins/Configuration/configuration_rows.h"
#include "Support/configuration_plugins.h"
#include "Support/version_watch.h"

namespace buckthorncart {
namespace {

struct NoCondition : StandardAcceptanceRules {
  static constexpr bool kConditionOnHead = false;
};
struct GuessesLostAnswers : StandardAcceptanceRules {
  static constexpr bool kResolveLostReplies = false;
};
struct OverwritesOthers : StandardAcceptanceRules {
  static constexpr bool kRejectConflicts = false;
};
struct NamesNoChange : StandardAcceptanceRules {
  static constexpr bool kReportInvalidatingChange = false;
};
struct NoResend : StandardAcceptanceRules {
  static constexpr bool kResendToOtherMembers = false;
};
struct NoHeadReaders : StandardConfigurationRules {
  static constexpr bool kPollHead = false;
};

constexpr uint32_t kDaemons = 6;

struct RaceFleet {
  explicit RaceFleet(FakeFleet::PluginFactory plugins = PluginsWith<>)
      : fleet(std::move(plugins)), watch(fleet) {
    constexpr const char* kDataCentres[] = {"nl-west-a", "nl-west-b",
                                            "nl-west-c"};
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      fleet.Add(n, kDataCentres[(n - 1) % 3]);
    }
    fleet.StartAll();
    fleet.Advance(3s);
  }

  void Submit(uint32_t n, const std::string& id, const std::string& text,
              const std::string& query = "") {
    requests[id] =
        fleet.Submit(n, "POST", "/v1/changes?operation=" + id + query, text);
  }

  nlohmann::json AnswerOf(const std::string& id) {
    const std::string& body = fleet.OperatorAnswers()[requests[id]];
    if (body.empty()) return {{"result", "none"}};
    return nlohmann::json::parse(body);
  }

  nlohmann::json Ask(uint32_t n, const std::string& id,
                     const std::string& query = "") {
    return nlohmann::json::parse(
        fleet.Ask(n, "GET", "/v1/operations/" + id + query));
  }

  template <typename Row>
  std::optional<Row> ReadRow(const std::string& key) {
    const PlatformReply reply = fleet.Table().Apply(ReadRows{{key}});
    const auto it = reply.rows.find(key);
    if (it == reply.rows.end()) return std::nullopt;
    return *Decode<Row>(it->second);
  }

  uint64_t Head() {
    const auto head = ReadRow<HeadRow>(kHeadKey);
    return head ? head->version : 0;
  }

  /// Answers that the rows of the table contradict.
  uint64_t UntrueAnswers() {
    uint64_t untrue = 0;
    for (const auto& [id, request] : requests) {
      const auto answer = AnswerOf(id);
      const auto row = ReadRow<OperationRow>(OperationKey(id));
      const bool in_force = row && row->version != 0;
      if (answer["result"] == "refused") {
        if (in_force) ++untrue;
      } else if (answer["result"] == "accepted") {
        const uint64_t version = answer["version"];
        const auto change = ReadRow<Change>(ChangeKey(version));
        const bool as_said = in_force && row->version == version && change &&
                             change->operation_id == id;
        if (!as_said) ++untrue;
      } else if (answer["result"] != "undecided") {
        ++untrue;
      }
    }
    return untrue;
  }

  uint64_t Count(const std::string& result) {
    uint64_t n = 0;
    for (const auto& [id, request] : requests) {
      if (AnswerOf(id)["result"] == result) ++n;
    }
    return n;
  }

  /// Daemons that do not hold the head with the digest of its row.
  uint64_t DaemonsApart() {
    const auto head = ReadRow<HeadRow>(kHeadKey);
    uint64_t apart = 0;
    for (const uint32_t n : fleet.Numbers()) {
      const Snapshot& held = *fleet.At(n).GetContext().Shared().held;
      if (!head || held.version != head->version ||
          held.configuration.Digest() != head->digest) {
        ++apart;
      }
    }
    return apart;
  }

  FakeFleet fleet;
  VersionWatch watch;
  std::map<std::string, uint64_t> requests;
};

/// `operators` submit at the same time, each at its own daemon in turn.
template <AcceptanceRules Acceptance>
struct Race {
  Race(uint32_t operators, bool same_object)
      : test(PluginsWith<StandardConfigurationRules, Acceptance>) {
    for (uint32_t i = 0; i < operators; ++i) {
      const std::string id = "op-" + std::to_string(i);
      const std::string object = same_object ? "one" : id;
      test.Submit(i % kDaemons + 1, id,
                  "create service " + object + "\ncreate route r-" + object +
                      " path=/" + object + " service=" + object);
    }
    test.fleet.Advance(30s);
  }
  RaceFleet test;
};

TEST_CASE("race: operators on different objects are all accepted") {
  for (const uint32_t operators : {2U, 10U}) {
    Race<StandardAcceptanceRules> race(operators, false);
    CHECK(race.test.Count("accepted") == operators);
    CHECK(race.test.Head() == operators);
    CHECK(race.test.UntrueAnswers() == 0);
    CHECK(race.test.DaemonsApart() == 0);
    CHECK(race.test.watch.Clean());
  }
}

TEST_CASE("race: of operators on the same object one is accepted") {
  for (const uint32_t operators : {2U, 10U}) {
    Race<StandardAcceptanceRules> race(operators, true);
    CHECK(race.test.Count("accepted") == 1);
    CHECK(race.test.Count("refused") == operators - 1);
    CHECK(race.test.Head() == 1);
    CHECK(race.test.UntrueAnswers() == 0);
    CHECK(race.test.DaemonsApart() == 0);
    for (uint32_t i = 0; i < operators; ++i) {
      const auto answer = race.test.AnswerOf("op-" + std::to_string(i));
      if (answer["result"] == "accepted") continue;
      CHECK(answer["error"] == "conflict");
      const std::string subject = answer["subject"];
      CHECK(subject.find("version 1 by operation op-") != std::string::npos);
    }
  }
}

TEST_CASE("race: control: without the condition answers are untrue") {
  Race<NoCondition> race(10, false);
  CHECK(race.test.UntrueAnswers() > 0);
}

/// Two operators read version 1 and both change the same route.
template <AcceptanceRules Acceptance>
std::string ChangeFromOldBase() {
  RaceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  test.Submit(1, "first", "create service a; create route r path=/r service=a");
  test.fleet.Advance(2s);
  test.Submit(2, "second", "change route r timeout=1s", "&base=1");
  test.fleet.Advance(2s);
  test.Submit(3, "third", "change route r timeout=2s", "&base=1");
  test.fleet.Advance(2s);
  CHECK(test.AnswerOf("second")["result"] == "accepted");
  return test.AnswerOf("third")["result"];
}

TEST_CASE("conflict: an object changed since the base is refused") {
  CHECK(ChangeFromOldBase<StandardAcceptanceRules>() == "refused");
}

TEST_CASE("conflict: control: without the rule a change is overwritten") {
  CHECK(ChangeFromOldBase<OverwritesOthers>() == "accepted");
}

/// The service that a route is to use is deleted by another change meanwhile.
template <AcceptanceRules Acceptance>
nlohmann::json RouteToDeletedService() {
  RaceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  test.Submit(1, "first", "create service a; create service b");
  test.fleet.Advance(2s);
  test.Submit(2, "second", "delete service a");
  test.fleet.Advance(2s);
  test.Submit(3, "third", "create route r path=/r service=a", "&base=1");
  test.fleet.Advance(2s);
  CHECK(test.watch.Clean());
  return test.AnswerOf("third");
}

TEST_CASE("conflict: with the change that made the whole invalid") {
  const auto answer = RouteToDeletedService<StandardAcceptanceRules>();
  CHECK(answer["error"] == "conflict");
  CHECK(answer["subject"] ==
        "service a changed by version 2 by operation second");
}

TEST_CASE("conflict: control: without the rule no version is named") {
  CHECK(RouteToDeletedService<NamesNoChange>()["error"] == "unknown-service");
}

TEST_CASE("conflict: a changed service does not hinder a valid whole") {
  RaceFleet test;
  test.Submit(1, "first", "create service a");
  test.fleet.Advance(2s);
  test.Submit(2, "second", "change service a latency=200ms");
  test.fleet.Advance(2s);
  test.Submit(3, "third", "create route r path=/r service=a", "&base=1");
  test.fleet.Advance(2s);
  CHECK(test.AnswerOf("third")["result"] == "accepted");
}

TEST_CASE("conflict: a base that cannot be is refused by type") {
  RaceFleet test;
  test.Submit(1, "future", "create service a", "&base=7");
  test.Submit(1, "malformed", "create service a", "&base=7x");
  test.Submit(1, "negative", "create service a", "&base=-1");
  CHECK(test.AnswerOf("future")["error"] == "version-not-reached");
  CHECK(test.AnswerOf("malformed")["error"] == "invalid-value");
  CHECK(test.AnswerOf("negative")["error"] == "invalid-value");
  CHECK(test.Head() == 0);
}

/// The table commits ten changes and loses the answers.
template <AcceptanceRules Acceptance>
uint64_t UntrueAfterLostAnswers() {
  RaceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  test.fleet.SetPlatformFault(PlatformFault::kLoseAnswers);
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    const std::string name = "s" + std::to_string(n);
    test.Submit(n, name, "create service " + name);
  }
  test.fleet.Advance(3s);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(30s);
  CHECK(test.DaemonsApart() == 0);
  CHECK(test.watch.Clean());
  return test.UntrueAnswers();
}

TEST_CASE("lost answer: nobody is told a guess") {
  CHECK(UntrueAfterLostAnswers<StandardAcceptanceRules>() == 0);
}

TEST_CASE("lost answer: control: a guess is untrue") {
  CHECK(UntrueAfterLostAnswers<GuessesLostAnswers>() > 0);
}

TEST_CASE("platform down for a minute in the middle of changes") {
  RaceFleet test;
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    const std::string name = "s" + std::to_string(n);
    test.Submit(n, name, "create service " + name);
  }
  test.fleet.Advance(3ms);
  test.fleet.SetPlatformFault(PlatformFault::kSilent);
  test.fleet.Advance(60s);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(10s);
  CHECK(test.Count("none") == 0);
  CHECK(test.UntrueAnswers() == 0);
  CHECK(test.DaemonsApart() == 0);
  for (const auto& [id, request] : test.requests) {
    if (test.AnswerOf(id)["result"] != "undecided") continue;
    const std::string outcome = test.Ask(2, id, "?settle=yes")["result"];
    const auto row = test.ReadRow<OperationRow>(OperationKey(id));
    REQUIRE(row);
    CHECK(outcome == (row->version == 0 ? "withdrawn" : "accepted"));
  }
}

/// The accepting daemon dies after the commit, before it tells anyone.
template <ConfigurationRules Rules>
uint64_t ApartAfterDeathOfAcceptor() {
  RaceFleet test(PluginsWith<Rules>);
  test.Submit(1, "spring", "create service a");
  REQUIRE(test.Head() == 1);
  test.fleet.Kill(1);
  test.fleet.Advance(10s);
  const auto answer = test.Ask(3, "spring");
  CHECK(answer["result"] == "accepted");
  CHECK(answer["version"] == 1);
  CHECK(test.watch.Clean());
  return test.DaemonsApart();
}

TEST_CASE("acceptor killed after the commit: in force all the same") {
  CHECK(ApartAfterDeathOfAcceptor<StandardConfigurationRules>() == 0);
}

TEST_CASE("acceptor killed: control: nobody reads head") {
  CHECK(ApartAfterDeathOfAcceptor<NoHeadReaders>() > 0);
}

TEST_CASE("undecided: a change that commits later is spread") {
  RaceFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kLoseAnswers);
  test.Submit(1, "spring", "create service a");
  test.fleet.Advance(12s);
  CHECK(test.AnswerOf("spring")["result"] == "undecided");
  CHECK(test.Head() == 1);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(5s);
  CHECK(test.DaemonsApart() == 0);
  CHECK(test.Ask(4, "spring")["result"] == "accepted");
  test.Submit(5, "again", "create service a");
  CHECK(test.UntrueAnswers() == 1);  // No answer to "again" yet.
  test.fleet.Advance(3s);
  CHECK(test.UntrueAnswers() == 0);
}

/// The relays that the accepting daemon pushes to first do not answer.
template <AcceptanceRules Acceptance>
size_t HoldersWhenRelaysAreSilent() {
  RaceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  std::set<Address> silent;
  const Time begin = test.fleet.Now();
  test.fleet.SetFilter([&silent, begin, &test](Address from,
                                               const Effect& effect) {
    if (std::holds_alternative<SendDatagram>(effect)) return false;
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send == nullptr) return true;
    const bool first_push = from.ip % 256 == 1 &&
                            test.fleet.Now() < begin + 100ms &&
                            std::holds_alternative<PushChanges>(send->message);
    if (first_push) silent.insert(send->to);
    return !silent.contains(send->to) && !silent.contains(from);
  });
  test.Submit(1, "spring", "create service a");
  test.fleet.Advance(1400ms);
  return test.AnswerOf("spring")["holders"].size();
}

TEST_CASE("holders: another member is asked when a relay is silent") {
  CHECK(HoldersWhenRelaysAreSilent<StandardAcceptanceRules>() == 2);
}

TEST_CASE("holders: control: without asking again holders are missing") {
  CHECK(HoldersWhenRelaysAreSilent<NoResend>() == 0);
}

TEST_CASE("turn: an operation that waits too long is refused, not run") {
  RaceFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kSilent);
  test.requests["a"] =
      test.fleet.Submit(1, "POST", "/v1/changes", "create service a");
  test.requests["b"] =
      test.fleet.Submit(1, "POST", "/v1/changes", "create service b");
  test.fleet.Advance(11s);
  CHECK(test.AnswerOf("a")["result"] == "undecided");
  CHECK(test.AnswerOf("b")["result"] == "refused");
  CHECK(test.AnswerOf("b")["error"] == "timeout");
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(5s);
  CHECK(test.Head() == 0);
}

TEST_CASE("operation: a withdrawn id is refused as such") {
  RaceFleet test;
  CHECK(test.Ask(2, "spring", "?settle=yes")["result"] == "withdrawn");
  test.Submit(1, "spring", "create service a");
  test.fleet.Advance(2s);
  CHECK(test.AnswerOf("spring")["error"] == "platform-answer-lost");
  CHECK(test.UntrueAnswers() == 0);
}

}  // namespace
}  // namespace buckthorncart
