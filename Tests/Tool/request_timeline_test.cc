#include "Tool/request_timeline.h"

#include <doctest/doctest.h>

#include "Tool/log_line.h"

namespace buckthorncart {
namespace {

constexpr const char* kFailed =
    "  17.31 daemon-b time_ms=2000 level=warning change=call-failed id=ab12 "
    "reason=overloaded attempts=\"10.2.0.4:70@0+1ms:overloaded, twice\"";

TEST_CASE("explain: a line is parsed in text and JSON format") {
  const auto text = ParseLogLine(kFailed, "b.log");
  REQUIRE(text);
  CHECK(text->time_ms == 2000);
  CHECK(text->daemon == "daemon-b");
  CHECK(text->event == "call-failed");
  CHECK(text->Field("attempts") == "10.2.0.4:70@0+1ms:overloaded, twice");
  const auto json = ParseLogLine(
      R"({"time_ms":"7","level":"info","change":"frozen","us":"12"})", "c.log");
  REQUIRE(json);
  CHECK(json->daemon == "c.log");
  CHECK(json->Field("us") == "12");
}

TEST_CASE("explain: unrelated and truncated lines are rejected") {
  CHECK(!ParseLogLine("", "f"));
  CHECK(!ParseLogLine("terminate called", "f"));
  CHECK(!ParseLogLine("time_ms=", "f"));
  CHECK(!ParseLogLine("time_ms=12 level=info chan", "f"));
  CHECK(!ParseLogLine(R"({"time_ms":"7","change)", "f"));
  CHECK(ParseLogLine(R"(time_ms=12 change=frozen us="cut \)", "f"));
}

void Add(RequestTimeline& timeline, const std::string& text) {
  auto line = ParseLogLine(text, "f");
  REQUIRE(line);
  timeline.Add(std::move(*line));
}

TEST_CASE(
    "explain: a timeline has related requests and earlier states of daemons") {
  RequestTimeline timeline("ab12");
  Add(timeline, kFailed);
  Add(timeline, "daemon-a time_ms=1990 change=call-refused id=ab12 slots=9/9");
  Add(timeline, "daemon-c time_ms=1995 change=call-failed id=ab12.77 reason=x");
  Add(timeline,
      "daemon-c time_ms=1996 change=call-failed id=ab123 reason=other");
  Add(timeline, "daemon-a time_ms=100 change=version-held version=3");
  Add(timeline, "daemon-a time_ms=900 change=version-held version=5");
  Add(timeline, "daemon-a time_ms=2500 change=version-held version=8");
  Add(timeline, "daemon-d time_ms=900 change=version-held version=9");
  const auto lines = timeline.Lines();
  REQUIRE(lines.size() == 4);
  CHECK(lines[0].Field("version") == "5");
  CHECK(lines[1].Field("slots") == "9/9");
  CHECK(lines[2].Field("id") == "ab12.77");
  CHECK(lines[3].daemon == "daemon-b");
}

TEST_CASE("explain: the timeline of a child request includes its parent") {
  RequestTimeline timeline("ab12.77");
  Add(timeline, kFailed);
  CHECK(timeline.Lines().size() == 1);
  RequestTimeline other("ab12.78");
  Add(other, "daemon-c time_ms=1995 change=call-failed id=ab12.77 reason=x");
  CHECK(other.IsEmpty());
}

}  // namespace
}  // namespace buckthorncart
