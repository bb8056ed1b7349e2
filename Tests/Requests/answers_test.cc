#include <doctest/doctest.h>

#include "Requests/request_fleet.h"

namespace buckthorncart {
namespace {

AnswerPart Part(uint16_t status, const std::string& body, AnswerEnd end) {
  AnswerPart part;
  part.status = status;
  part.body = body;
  part.end = end;
  return part;
}

struct NoPartOrderCheck : StandardRequestRules {
  static constexpr bool kCheckPartOrder = false;
};

/// Fleet with one backend server that streams the body "abc" in three parts.
struct Stream {
  explicit Stream(FakeFleet::PluginFactory plugins)
      : test(std::move(plugins), {1, 1, 4}) {
    BackendBehaviour& behaviour = test.fleet.Behaviours()[2];
    behaviour.time = 5ms;
    behaviour.parts = {Part(200, "a", AnswerEnd::kMore),
                       Part(0, "b", AnswerEnd::kMore),
                       Part(0, "c", AnswerEnd::kComplete)};
  }
  /// Answer to one call; the nth part is lost if `lose(n)` is true.
  AnswerPart CallOnce(const std::function<bool(uint32_t)>& lose) {
    uint32_t parts = 0;
    test.fleet.SetFilter([&](Address, const Effect& effect) {
      const auto* sent = std::get_if<SendPeer>(&effect);
      if (sent == nullptr) return true;
      const auto* answer = std::get_if<CallAnswer>(&sent->message);
      if (answer == nullptr) return true;
      last = *answer;
      return !lose(++parts);
    });
    const uint64_t call = test.Get(1, "/proofs", 1'000);
    test.fleet.Advance(2s);
    test.fleet.SetFilter({});
    return test.Answer(call);
  }
  RequestFleet test;
  /// The last part that was sent.
  CallAnswer last;
};

TEST_CASE("answers: a streamed answer arrives complete") {
  Stream stream(PluginsWith<StandardRequestRules>);
  const AnswerPart answer = stream.CallOnce([](uint32_t) { return false; });
  CHECK(answer.body == "abc");
  CHECK(answer.end == AnswerEnd::kComplete);
}

template <RequestRules Rules>
bool IsCompleteWithLostPart() {
  Stream stream(PluginsWith<Rules>);
  const AnswerPart answer =
      stream.CallOnce([](uint32_t part) { return part == 2; });
  return answer.end == AnswerEnd::kComplete;
}

TEST_CASE("answers: an answer with a lost part is marked as broken") {
  CHECK(!IsCompleteWithLostPart<StandardRequestRules>());
  CHECK(IsCompleteWithLostPart<NoPartOrderCheck>());
}

/// Body of an answer of which every part arrives twice, the second time 1 ms
/// later at the earliest.
template <RequestRules Rules>
std::string BodyOfDuplicatedAnswer() {
  Stream stream(PluginsWith<Rules>);
  FakeFleet& fleet = stream.test.fleet;
  const Address from = fleet.At(2).Self();
  std::vector<CallAnswer> duplicates;
  fleet.SetFilter([&](Address, const Effect& effect) {
    const auto* sent = std::get_if<SendPeer>(&effect);
    if (sent == nullptr) return true;
    const auto* answer = std::get_if<CallAnswer>(&sent->message);
    if (answer != nullptr) duplicates.push_back(*answer);
    return true;
  });
  const uint64_t call = stream.test.Get(1, "/proofs", 1'000);
  for (int i = 0; i < 100; ++i) {
    fleet.Advance(500us);
    for (const CallAnswer& answer : std::exchange(duplicates, {})) {
      fleet.Advance(1ms);
      fleet.At(1).Deliver(fleet.Now(), PeerMessageReceived{from, answer});
    }
  }
  return stream.test.Answer(call).body;
}

TEST_CASE("answers: duplicate parts are dropped") {
  CHECK(BodyOfDuplicatedAnswer<StandardRequestRules>() == "abc");
  CHECK(BodyOfDuplicatedAnswer<NoPartOrderCheck>() != "abc");
}

TEST_CASE("answers: a late answer does not reach another call") {
  Stream stream(PluginsWith<StandardRequestRules>);
  stream.CallOnce([](uint32_t) { return false; });
  FakeFleet& fleet = stream.test.fleet;
  const CallAnswer late = stream.last;
  const uint64_t call = stream.test.Get(1, "/proofs", 1'000);
  fleet.At(1).Deliver(fleet.Now(),
                      PeerMessageReceived{fleet.At(2).Self(), late});
  fleet.Advance(1s);
  CHECK(stream.test.Answer(call).body == "abc");
}

TEST_CASE(
    "answers: an answer truncated by the backend server is marked as broken") {
  Stream stream(PluginsWith<StandardRequestRules>);
  stream.test.fleet.Behaviours()[2].parts.back() =
      Part(0, "", AnswerEnd::kBroken);
  const AnswerPart answer = stream.CallOnce([](uint32_t) { return false; });
  CHECK(answer.body == "ab");
  CHECK(answer.end == AnswerEnd::kBroken);
}

TEST_CASE("answers: answers out of order reach their own callers") {
  RequestFleet test(PluginsWith<StandardRequestRules>, {1, 1, 4});
  FakeFleet& fleet = test.fleet;
  fleet.Behaviours()[2].time = 50ms;
  const uint64_t first = test.Get(1, "/proofs/1", 1'000);
  fleet.Advance(5ms);
  fleet.Behaviours()[2].time = 5ms;
  const uint64_t second = test.Get(1, "/proofs/2", 1'000);
  fleet.Advance(1s);
  CHECK(fleet.AnsweredAt().at(second) < fleet.AnsweredAt().at(first));
  CHECK(test.Answer(first).body == "answer of 2 to /proofs/1");
  CHECK(test.Answer(second).body == "answer of 2 to /proofs/2");
}

}  // namespace
}  // namespace buckthorncart
