#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Plugins/Configuration/configuration_rows.h"
#include "Support/configuration_plugins.h"
#include "Support/version_checker.h"

namespace buckthorncart {
namespace {

struct NoHeadCondition : StandardAcceptanceRules {
  static constexpr bool kConditionOnHead = false;
};
struct NoLostReplyResolution : StandardAcceptanceRules {
  static constexpr bool kResolveLostReplies = false;
};
struct NoConflictCheck : StandardAcceptanceRules {
  static constexpr bool kRejectConflicts = false;
};
struct NoInvalidatingChangeReport : StandardAcceptanceRules {
  static constexpr bool kReportInvalidatingChange = false;
};
struct NoResend : StandardAcceptanceRules {
  static constexpr bool kResendToOtherMembers = false;
};
struct NoHeadPolling : StandardConfigurationRules {
  static constexpr bool kPollHead = false;
};

constexpr uint32_t kDaemons = 6;

struct AcceptanceFleet {
  explicit AcceptanceFleet(FakeFleet::PluginFactory plugins = PluginsWith<>)
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

  /// Returns the number of answers that contradict the rows of the table.
  uint64_t ContradictedAnswers() {
    uint64_t contradicted = 0;
    for (const auto& [id, request] : requests) {
      const auto answer = AnswerOf(id);
      const auto row = ReadRow<OperationRow>(OperationKey(id));
      const bool in_force = row && row->version != 0;
      if (answer["result"] == "refused") {
        if (in_force) ++contradicted;
      } else if (answer["result"] == "accepted") {
        const uint64_t version = answer["version"];
        const auto change = ReadRow<Change>(ChangeKey(version));
        const bool matches_table = in_force && row->version == version &&
                                   change && change->operation_id == id;
        if (!matches_table) ++contradicted;
      } else if (answer["result"] != "undecided") {
        ++contradicted;
      }
    }
    return contradicted;
  }

  uint64_t Count(const std::string& result) {
    uint64_t n = 0;
    for (const auto& [id, request] : requests) {
      if (AnswerOf(id)["result"] == result) ++n;
    }
    return n;
  }

  /// Returns the number of daemons that don't hold the version in row `head`
  /// with its digest.
  uint64_t DivergedDaemons() {
    const auto head = ReadRow<HeadRow>(kHeadKey);
    uint64_t diverged = 0;
    for (const uint32_t n : fleet.Numbers()) {
      const Snapshot& held = *fleet.At(n).GetContext().Shared().held;
      if (!head || held.version != head->version ||
          held.configuration.Digest() != head->digest) {
        ++diverged;
      }
    }
    return diverged;
  }

  FakeFleet fleet;
  VersionChecker watch;
  std::map<std::string, uint64_t> requests;
};

/// `operators` submit concurrently, distributed round-robin over the daemons.
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
  AcceptanceFleet test;
};

TEST_CASE("race: operators on different objects are all accepted") {
  for (const uint32_t operators : {2U, 10U}) {
    Race<StandardAcceptanceRules> race(operators, false);
    CHECK(race.test.Count("accepted") == operators);
    CHECK(race.test.Head() == operators);
    CHECK(race.test.ContradictedAnswers() == 0);
    CHECK(race.test.DivergedDaemons() == 0);
    CHECK(race.test.watch.NoViolations());
  }
}

TEST_CASE("race: of several operators on the same object one is accepted") {
  for (const uint32_t operators : {2U, 10U}) {
    Race<StandardAcceptanceRules> race(operators, true);
    CHECK(race.test.Count("accepted") == 1);
    CHECK(race.test.Count("refused") == operators - 1);
    CHECK(race.test.Head() == 1);
    CHECK(race.test.ContradictedAnswers() == 0);
    CHECK(race.test.DivergedDaemons() == 0);
    for (uint32_t i = 0; i < operators; ++i) {
      const auto answer = race.test.AnswerOf("op-" + std::to_string(i));
      if (answer["result"] == "accepted") continue;
      CHECK(answer["error"] == "conflict");
      const std::string subject = answer["subject"];
      CHECK(subject.find("version 1 by operation op-") != std::string::npos);
    }
  }
}

TEST_CASE("race: control: without the condition answers contradict the table") {
  Race<NoHeadCondition> race(10, false);
  CHECK(race.test.ContradictedAnswers() > 0);
}

/// Two operators change the same route, both based on version 1.
template <AcceptanceRules Acceptance>
std::string ChangeFromOldBase() {
  AcceptanceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
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
  CHECK(ChangeFromOldBase<NoConflictCheck>() == "accepted");
}

/// A service is deleted by one change before another change adds a route to it.
template <AcceptanceRules Acceptance>
nlohmann::json RouteToDeletedService() {
  AcceptanceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  test.Submit(1, "first", "create service a; create service b");
  test.fleet.Advance(2s);
  test.Submit(2, "second", "delete service a");
  test.fleet.Advance(2s);
  test.Submit(3, "third", "create route r path=/r service=a", "&base=1");
  test.fleet.Advance(2s);
  CHECK(test.watch.NoViolations());
  return test.AnswerOf("third");
}

TEST_CASE("conflict: the change that made the edits invalid is reported") {
  const auto answer = RouteToDeletedService<StandardAcceptanceRules>();
  CHECK(answer["error"] == "conflict");
  CHECK(answer["subject"] ==
        "service a changed by version 2 by operation second");
}

TEST_CASE("conflict: control: without the rule no version is reported") {
  CHECK(RouteToDeletedService<NoInvalidatingChangeReport>()["error"] ==
        "unknown-service");
}

TEST_CASE("conflict: a change to a referenced service is no conflict") {
  AcceptanceFleet test;
  test.Submit(1, "first", "create service a");
  test.fleet.Advance(2s);
  test.Submit(2, "second", "change service a latency=200ms");
  test.fleet.Advance(2s);
  test.Submit(3, "third", "create route r path=/r service=a", "&base=1");
  test.fleet.Advance(2s);
  CHECK(test.AnswerOf("third")["result"] == "accepted");
}

TEST_CASE("conflict: an invalid base is refused with a specific error") {
  AcceptanceFleet test;
  test.Submit(1, "future", "create service a", "&base=7");
  test.Submit(1, "malformed", "create service a", "&base=7x");
  test.Submit(1, "negative", "create service a", "&base=-1");
  CHECK(test.AnswerOf("future")["error"] == "version-not-reached");
  CHECK(test.AnswerOf("malformed")["error"] == "invalid-value");
  CHECK(test.AnswerOf("negative")["error"] == "invalid-value");
  CHECK(test.Head() == 0);
}

/// The table commits one change from each daemon but loses the replies.
template <AcceptanceRules Acceptance>
uint64_t ContradictedAfterLostAnswers() {
  AcceptanceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  test.fleet.SetPlatformFault(PlatformFault::kLoseAnswers);
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    const std::string name = "s" + std::to_string(n);
    test.Submit(n, name, "create service " + name);
  }
  test.fleet.Advance(3s);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(30s);
  CHECK(test.DivergedDaemons() == 0);
  CHECK(test.watch.NoViolations());
  return test.ContradictedAnswers();
}

TEST_CASE("lost answer: every reported outcome is correct") {
  CHECK(ContradictedAfterLostAnswers<StandardAcceptanceRules>() == 0);
}

TEST_CASE("lost answer: control: an assumed refusal contradicts the table") {
  CHECK(ContradictedAfterLostAnswers<NoLostReplyResolution>() > 0);
}

TEST_CASE("platform down for a minute in the middle of changes") {
  AcceptanceFleet test;
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
  CHECK(test.ContradictedAnswers() == 0);
  CHECK(test.DivergedDaemons() == 0);
  for (const auto& [id, request] : test.requests) {
    if (test.AnswerOf(id)["result"] != "undecided") continue;
    const std::string outcome = test.Ask(2, id, "?settle=yes")["result"];
    const auto row = test.ReadRow<OperationRow>(OperationKey(id));
    REQUIRE(row);
    CHECK(outcome == (row->version == 0 ? "withdrawn" : "accepted"));
  }
}

/// The accepting daemon dies after the commit, before it notifies any other
/// daemon.
template <ConfigurationRules Rules>
uint64_t DivergedAfterAcceptorDeath() {
  AcceptanceFleet test(PluginsWith<Rules>);
  test.Submit(1, "spring", "create service a");
  REQUIRE(test.Head() == 1);
  test.fleet.Kill(1);
  test.fleet.Advance(10s);
  const auto answer = test.Ask(3, "spring");
  CHECK(answer["result"] == "accepted");
  CHECK(answer["version"] == 1);
  CHECK(test.watch.NoViolations());
  return test.DivergedDaemons();
}

TEST_CASE("acceptor killed after the commit: the change is still propagated") {
  CHECK(DivergedAfterAcceptorDeath<StandardConfigurationRules>() == 0);
}

TEST_CASE("acceptor killed: control: without polling of head it is lost") {
  CHECK(DivergedAfterAcceptorDeath<NoHeadPolling>() > 0);
}

TEST_CASE("undecided: a committed change is propagated after the outage") {
  AcceptanceFleet test;
  test.fleet.SetPlatformFault(PlatformFault::kLoseAnswers);
  test.Submit(1, "spring", "create service a");
  test.fleet.Advance(12s);
  CHECK(test.AnswerOf("spring")["result"] == "undecided");
  CHECK(test.Head() == 1);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(5s);
  CHECK(test.DivergedDaemons() == 0);
  CHECK(test.Ask(4, "spring")["result"] == "accepted");
  test.Submit(5, "again", "create service a");
  CHECK(test.ContradictedAnswers() == 1);  // No answer to "again" yet.
  test.fleet.Advance(3s);
  CHECK(test.ContradictedAnswers() == 0);
}

/// The relays that the accepting daemon pushes to first don't respond.
template <AcceptanceRules Acceptance>
size_t HoldersWithUnresponsiveRelays() {
  AcceptanceFleet test(PluginsWith<StandardConfigurationRules, Acceptance>);
  std::set<Address> unresponsive;
  const Time begin = test.fleet.Now();
  test.fleet.SetFilter([&unresponsive, begin, &test](Address from,
                                                     const Effect& effect) {
    if (std::holds_alternative<SendDatagram>(effect)) return false;
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send == nullptr) return true;
    const bool first_push = from.ip % 256 == 1 &&
                            test.fleet.Now() < begin + 100ms &&
                            std::holds_alternative<PushChanges>(send->message);
    if (first_push) unresponsive.insert(send->to);
    return !unresponsive.contains(send->to) && !unresponsive.contains(from);
  });
  test.Submit(1, "spring", "create service a");
  test.fleet.Advance(1400ms);
  return test.AnswerOf("spring")["holders"].size();
}

TEST_CASE(
    "holders: the change is resent to others if a relay does not respond") {
  CHECK(HoldersWithUnresponsiveRelays<StandardAcceptanceRules>() == 2);
}

TEST_CASE("holders: control: without resending holders are missing") {
  CHECK(HoldersWithUnresponsiveRelays<NoResend>() == 0);
}

TEST_CASE("turn: an operation that expires in the queue is refused, not run") {
  AcceptanceFleet test;
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

TEST_CASE("operation: a withdrawn id is refused") {
  AcceptanceFleet test;
  CHECK(test.Ask(2, "spring", "?settle=yes")["result"] == "withdrawn");
  test.Submit(1, "spring", "create service a");
  test.fleet.Advance(2s);
  CHECK(test.AnswerOf("spring")["error"] == "platform-answer-lost");
  CHECK(test.ContradictedAnswers() == 0);
}

}  // namespace
}  // namespace buckthorncart
