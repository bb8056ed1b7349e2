/// Random tests of the readers of messages: whatever the bytes, a reader
/// returns, takes no memory out of proportion, and is usable for the next
/// message.

#include <doctest/doctest.h>

#include <string>

#include "Config/snapshot.h"
#include "Kernel/url_query.h"
#include "Support/mutation.h"
#include "Wire/codec.h"
#include "Wire/datagrams.h"
#include "Wire/frame_reader.h"
#include "Wire/http_answer_reader.h"
#include "Wire/http_format.h"
#include "Wire/http_request_reader.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {
namespace {

constexpr int kRounds = 20'000;

Member TestMember() {
  Member member;
  member.address = {0x0A000001, 7340};
  member.data_centre = "nl-west-a";
  member.incarnation = 1'700'000'000'000;
  member.backend = {"shop", BackendState::kReady, 9, {{"tier", "one"}}, "i-1"};
  return member;
}

TEST_CASE("odd input: a damaged frame or datagram is decoded or malformed") {
  Call call;
  call.service = "shop";
  call.request = {"GET", "/p", {{"accept", "*/*"}}, "body"};
  const std::string frames[] = {
      Encode(PeerMessage(call)),
      Encode(PeerMessage(PushMembers{{TestMember()}})),
      Encode(PeerMessage(CallAnswer{1, {200, {{"a", "b"}}, "x"}, 1, 1, 0})),
      Encode(PeerMessage(PushSnapshot{}))};
  const std::string datagrams[] = {
      Encode(Datagram(Probe{1, {2, {TestMember()}, 3}})),
      Encode(Datagram(MemberDigests{1, {1, 2, 3}}))};
  pcg32 random(28);
  for (int i = 0; i < kRounds; ++i) {
    const auto frame = Decode<PeerMessage>(Mutate(frames[i % 4], random));
    CHECK((frame || frame.error().code == Errc::kMalformedFrame));
    const auto datagram = Decode<Datagram>(Mutate(datagrams[i % 2], random));
    CHECK((datagram || datagram.error().code == Errc::kMalformedFrame));
  }
}

TEST_CASE("odd input: an enumerator out of range is malformed") {
  Member member = TestMember();
  member.status = static_cast<MemberStatus>(4);
  CHECK(!Decode<Member>(Encode(member)));
  member = TestMember();
  member.backend.state = static_cast<BackendState>(200);
  CHECK(!Decode<Member>(Encode(member)));
  CHECK(!Decode<AnswerPart>(
      Encode(AnswerPart{200, {}, "", static_cast<AnswerEnd>(3)})));
  CHECK(!Decode<ClaimResult>(
      Encode(ClaimResult{static_cast<ClaimOutcome>(4), false, {}})));
  CHECK(Decode<Member>(Encode(TestMember())));
}

TEST_CASE("odd input: a reason that this version does not know is no fault") {
  const CallRefused refused{1, static_cast<Errc>(5'000)};
  const auto decoded = Decode<CallRefused>(Encode(refused));
  REQUIRE(decoded);
  CHECK(NameOf(decoded->reason) == "invalid");
}

TEST_CASE("odd input: member records with odd numbers, ports or sizes") {
  CHECK(TestMember().IsValid());
  Member member = TestMember();
  member.address.port = 0;
  CHECK(!member.IsValid());
  member = TestMember();
  member.incarnation = ~0ULL;
  CHECK(!member.IsValid());
  member = TestMember();
  member.sequence = ~0ULL;
  CHECK(!member.IsValid());
  member = TestMember();
  member.backend.id = std::string(2'000, 'i');
  CHECK(!member.IsValid());
}

TEST_CASE("odd input: damaged requests and answers end or fail") {
  const std::string request =
      "POST /a?b=c%20d HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: 7\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  const std::string answer =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\nKeep-Alive: timeout=5\r\n"
      "Content-Length: 5\r\n\r\nhello";
  pcg32 random(29);
  for (int i = 0; i < kRounds; ++i) {
    HttpRequestReader requests({});
    requests.Append(Mutate(request, random));
    if (requests.Advance() == ReadState::kWhole) {
      const HttpRequest taken = requests.Take();
      const Url url = ParseUrl(taken.path);
      CHECK(url.path.size() <= taken.path.size());
    }
    HttpAnswerReader answers({});
    answers.Begin("GET");
    answers.Append(Mutate(answer, random));
    const ReadState state = answers.Advance();
    if (answers.HasHead() && state <= ReadState::kWhole) {
      const AnswerPart part = answers.Take();
      CHECK((part.status >= 200 && part.status <= 599));
    }
    CHECK(answers.Finish() >= ReadState::kWhole);
  }
}

TEST_CASE("odd input: a status that is none makes an answer malformed") {
  for (const char* status : {"000", "099", "600", "999"}) {
    HttpAnswerReader answers({});
    answers.Begin("GET");
    answers.Append("HTTP/1.1 " + std::string(status) +
                   " X\r\nContent-Length: 0\r\n\r\n");
    CHECK(answers.Advance() == ReadState::kMalformed);
  }
}

TEST_CASE("odd input: line ends in a field do not add lines to a head") {
  const HttpRequest request{
      "GET\r\n", "/a\r\nX: y", {{"n\n", "v\r\n\r\nw"}}, ""};
  const std::string text =
      FormatRequestHead(request, "h") + request.body.Text();
  CHECK(text == "GET   /a  X: y HTTP/1.1\r\nhost: h\r\nn : v    w\r\n\r\n");
  const AnswerPart head{200, {{"a", std::string("b\0\r\nc", 5)}}, ""};
  CHECK(FormatAnswerHead(head, AnswerFraming::kLength, 0, false) ==
        "HTTP/1.1 200 OK\r\na: b   c\r\ncontent-length: 0\r\n\r\n");
}

TEST_CASE("odd input: damaged frames are read one by one or fail") {
  const std::string stream =
      MakeFrame(Encode(PeerMessage(Ping{1}))) + MakeFrame("x") + MakeFrame("");
  pcg32 random(30);
  for (int i = 0; i < kRounds; ++i) {
    FrameReader reader;
    reader.Append(Mutate(stream, random));
    for (int n = 0; n < 100; ++n) {
      const auto frame = reader.Next();
      if (!frame || !*frame) break;
      CHECK((*frame)->size() <= kMaxFrameBytes);
    }
  }
}

}  // namespace
}  // namespace buckthorncart
