#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "Wire/http_answer_reader.h"
#include "Wire/http_format.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {
namespace {

constexpr std::string_view kChunkedPost =
    "POST /a?b=c%20d HTTP/1.1\r\nHost: x\r\nX-Request-Id: 7\r\n"
    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

TEST_CASE("request reader: pieces of any size give the same request") {
  for (size_t piece_size = 1; piece_size <= kChunkedPost.size(); ++piece_size) {
    HttpRequestReader reader({});
    ReadState state = ReadState::kIdle;
    for (size_t offset = 0; offset < kChunkedPost.size();
         offset += piece_size) {
      reader.Append(kChunkedPost.substr(offset, piece_size));
      state = reader.Advance();
    }
    REQUIRE(state == ReadState::kWhole);
    CHECK(reader.KeepsAlive());
    const HttpRequest request = reader.Take();
    CHECK(request.method == "POST");
    CHECK(request.path == "/a?b=c%20d");
    CHECK(request.body == "abcde");
    CHECK(FindHeader(request.headers, "x-request-id") == "7");
    // Hop-by-hop headers are removed, also those that `Connection` lists.
    CHECK(FindHeader(request.headers, "x-hop").empty());
    CHECK(FindHeader(request.headers, "transfer-encoding").empty());
  }
}

TEST_CASE("request reader: pipelined requests are separated") {
  HttpRequestReader reader({});
  reader.Append("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\n");
  CHECK(reader.Advance() == ReadState::kWhole);
  CHECK(reader.Take().path == "/1");
  CHECK(reader.Advance() == ReadState::kPartial);
  reader.Append("Content-Length: 2\r\n\r\nhiGET");
  CHECK(reader.Advance() == ReadState::kWhole);
  CHECK(reader.Take().body == "hi");
  CHECK(reader.Advance() == ReadState::kPartial);
}

TEST_CASE(
    "request reader: framing that could hide another request is rejected") {
  const std::string malformed_requests[] = {
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
      "\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
      "\x01\x02\x03 junk\r\n\r\n"};
  for (const std::string& malformed : malformed_requests) {
    HttpRequestReader reader({});
    reader.Append(malformed);
    CHECK(reader.Advance() == ReadState::kMalformed);
  }
}

// Review case 10: the body of a request with another coding was taken for the
// next request.
TEST_CASE("request reader: a transfer coding that is not chunked is rejected") {
  for (const char* coding :
       {"gzip", "identity", "", "chunked, gzip", "gzip, chunked", "xchunked",
        "chunked, identity", "chunked;q=1",
        "chunked\r\nTransfer-Encoding: gzip",
        "gzip\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 40",
        "identity\r\nContent-Length: 0"}) {
    HttpRequestReader reader({});
    reader.Append(std::string("POST /outer HTTP/1.1\r\nTransfer-Encoding: ") +
                  coding + "\r\n\r\nPOST /inner HTTP/1.1\r\n\r\n");
    CAPTURE(coding);
    CHECK(reader.Advance() == ReadState::kMalformed);
  }
  HttpRequestReader old_reader({});
  old_reader.Append(
      "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CHECK(old_reader.Advance() == ReadState::kMalformed);
  HttpRequestReader reader({});
  reader.Append(
      "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n");
  CHECK(reader.Advance() == ReadState::kWhole);
}

TEST_CASE("answer reader: a transfer coding that is not chunked is rejected") {
  HttpAnswerReader reader({});
  reader.Begin("GET");
  reader.Append("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc");
  CHECK(reader.Advance() == ReadState::kMalformed);
}

// Report of another operator: an announced length alone ended the process.
TEST_CASE("answer reader: an announced length is not reserved") {
  constexpr uint64_t kAnyLength = ~0ULL;
  for (const char* length :
       {"900000000000", "9223372036854775800", "18446744073709551615"}) {
    HttpAnswerReader reader({16'384, kAnyLength});
    reader.Begin("GET");
    CAPTURE(length);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    reader.Append(head + length + "\r\n\r\nfirst");
    CHECK(reader.Advance() == ReadState::kPartial);
    CHECK(reader.Take().body == "first");
    reader.Append(std::string(100'000, 'x'));
    CHECK(reader.Advance() == ReadState::kPartial);
    CHECK(reader.Take().body.size() == 100'000);
  }
}

TEST_CASE("request reader: an announced length is not reserved") {
  constexpr uint64_t kAnyLength = ~0ULL;
  constexpr size_t kMaxBufferBytes = 4'096;
  HttpRequestReader reader({16'384, kAnyLength});
  reader.Append("POST / HTTP/1.1\r\nContent-Length: 900000000000\r\n\r\nfirst");
  CHECK(reader.Advance() == ReadState::kPartial);
  CHECK(reader.BodyMemory() <= kMaxBufferBytes);
}

TEST_CASE("request reader: head and body over their limits are rejected") {
  HttpRequestReader head_reader({1'024, 100});
  head_reader.Append("GET / HTTP/1.1\r\nCookie: " + std::string(2'000, 'c'));
  CHECK(head_reader.Advance() == ReadState::kHeadTooLarge);
  HttpRequestReader body_reader({1'024, 100});
  body_reader.Append("PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
  CHECK(body_reader.Advance() == ReadState::kBodyTooLarge);
}

TEST_CASE("request reader: an expected 100 Continue is reported once") {
  HttpRequestReader reader({});
  reader.Append(
      "PUT / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  CHECK(reader.Advance() == ReadState::kPartial);
  CHECK(reader.TakeContinue());
  CHECK_FALSE(reader.TakeContinue());
}

/// An answer reader to which the bytes of a connection have been added.
struct LoadedAnswerReader : HttpAnswerReader {
  explicit LoadedAnswerReader(std::string_view bytes,
                              std::string_view method = "GET")
      : HttpAnswerReader(HttpLimits{}) {
    Begin(method);
    Append(bytes);
  }
};

TEST_CASE(
    "answer reader: an answer is complete only at the end of its framing") {
  LoadedAnswerReader cut("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  CHECK(cut.Advance() == ReadState::kPartial);
  CHECK(cut.Finish() == ReadState::kMalformed);
  LoadedAnswerReader chunks(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  CHECK(chunks.Advance() == ReadState::kPartial);
  CHECK(chunks.Finish() == ReadState::kMalformed);
}

TEST_CASE(
    "answer reader: an answer without length ends with an orderly close") {
  LoadedAnswerReader reader("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(reader.Advance() == ReadState::kPartial);
  CHECK(reader.Finish() == ReadState::kWhole);
  const AnswerPart part = reader.Take();
  CHECK(part.status == 200);
  CHECK(part.body == "abc");
  CHECK(part.end == AnswerEnd::kComplete);
}

TEST_CASE("answer reader: bytes after an answer are detected") {
  LoadedAnswerReader reader(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\n"
      "okHTTP/1.1 200 OK\r\n");
  CHECK(reader.Advance() == ReadState::kWhole);
  CHECK(reader.KeepAliveSeconds() == 9);
  CHECK(reader.Take().body == "ok");
  CHECK(reader.HasRest());
}

TEST_CASE("answer reader: interim answers are skipped, HEAD has no body") {
  LoadedAnswerReader interim(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
  CHECK(interim.Advance() == ReadState::kWhole);
  CHECK(interim.Take().status == 204);
  LoadedAnswerReader head("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                          "HEAD");
  CHECK(head.Advance() == ReadState::kWhole);
}

TEST_CASE("format: a formatted request is parsed to the same request") {
  const HttpRequest request{
      "PUT", "/p/1", {{"host", "h.example"}, {"x-request-id", "9"}}, "body"};
  HttpRequestReader reader({});
  reader.Append(FormatRequestHead(request, "unused") + request.body.Text());
  REQUIRE(reader.Advance() == ReadState::kWhole);
  const HttpRequest read = reader.Take();
  CHECK(read.path == "/p/1");
  CHECK(read.body == "body");
  CHECK(FindHeader(read.headers, "host") == "h.example");
}

/// Bytes that begin an answer and, repeated, never end it.
struct EndlessAnswer {
  std::string name;
  std::string begin;
  std::string repeated;
};

const EndlessAnswer kEndlessAnswers[] = {
    {"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    {"one header line", "HTTP/1.1 200 OK\r\nX-A: ", "bbbbbbbb"},
    {"start line", "HTTP/1.1 200 ", "OOOOOOOO"},
    {"garbage", "", "\x01\x02\x03\x04"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "00000000"},
    {"chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a=bbbbbb;"},
    {"trailer lines",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-A: b\r\n"},
};

// A backend server in trouble sends bytes that are no answer until the caller
// closes.
TEST_CASE("answer reader: framing without end is rejected at a bounded size") {
  constexpr size_t kMaxBytes = 64U << 10U;
  for (const EndlessAnswer& endless : kEndlessAnswers) {
    CAPTURE(endless.name);
    HttpAnswerReader reader({});
    reader.Begin("GET");
    reader.Append(endless.begin);
    ReadState state = reader.Advance();
    size_t sent = endless.begin.size();
    while (sent < kMaxBytes &&
           (state == ReadState::kIdle || state == ReadState::kPartial)) {
      reader.Append(endless.repeated);
      sent += endless.repeated.size();
      state = reader.Advance();
    }
    CHECK(sent < kMaxBytes);
    CHECK(state != ReadState::kWhole);
  }
}

TEST_CASE("request reader: framing without end is rejected at a bounded size") {
  constexpr size_t kMaxBytes = 64U << 10U;
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> endless_requests[] = {
      {"GET / HTTP/1.1\r\n", "X-A: b\r\n"},
      {"GET /", "aaaaaaaa"},
      {head, "00000000"},
      {head + "1;", "a=bbbbbb;"},
      {head + "0\r\n", "X-A: b\r\n"}};
  for (const auto& endless : endless_requests) {
    const std::string& begin = endless.first;
    const std::string& repeated = endless.second;
    CAPTURE(begin);
    HttpRequestReader reader({});
    reader.Append(begin);
    ReadState state = reader.Advance();
    size_t sent = begin.size();
    while (sent < kMaxBytes && state == ReadState::kPartial) {
      reader.Append(repeated);
      sent += repeated.size();
      state = reader.Advance();
    }
    CHECK(sent < kMaxBytes);
    CHECK(state != ReadState::kWhole);
  }
}

}  // namespace
}  // namespace buckthorncart
