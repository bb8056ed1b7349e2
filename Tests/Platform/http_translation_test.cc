#include "platform/http_translation.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace buckthorncart::platform {
namespace {

const Address kBackend{0x0A000001, 8080};

HttpTranslation Translation() { return HttpTranslation(kBackend); }

TEST_CASE("translation: a caller's word on who sends is dropped") {
  HttpRequest request{"GET",
                      "/p",
                      {{"x-attempt-id", "77"},
                       {"x-timeout-ms", "2000"},
                       {"x-caller-service", "forged"},
                       {"x-target-instance", "forged"},
                       {std::string(header::kDeadline), "1"},
                       {"cookie", "kept"}},
                      ""};
  Translation().TranslateCallerRequest(request);
  CHECK(FindHeader(request.headers, header::kRequestId) == "77");
  CHECK(FindHeader(request.headers, header::kDeadline) == "2000");
  CHECK(FindHeader(request.headers, "x-caller-service").empty());
  CHECK(FindHeader(request.headers, "x-target-instance").empty());
  CHECK(FindHeader(request.headers, "cookie") == "kept");
}

TEST_CASE("translation: a backend server gets the time that is left, once") {
  HttpRequest request{"GET",
                      "/p",
                      {{std::string(header::kDeadline), "2000"},
                       {std::string(header::kCallerService), "shop"},
                       {std::string(header::kDeadline), "1500"},
                       {std::string(header::kBackendId), "i-1"}},
                      ""};
  Translation().TranslateBackendRequest(request);
  CHECK(FindHeader(request.headers, "x-timeout-ms") == "1500");
  CHECK(request.headers.size() == 3);
  CHECK(FindHeader(request.headers, "x-caller-service") == "shop");
  CHECK(FindHeader(request.headers, "x-target-instance") == "i-1");
}

AnswerPart Answer(uint16_t status, Headers headers) {
  AnswerPart part;
  part.status = status;
  part.headers = std::move(headers);
  part.end = AnswerEnd::kComplete;
  return part;
}

TEST_CASE("translation: only the stated refusals mean that nothing ran") {
  AnswerPart shed = Answer(503, {{"x-not-executed", "1"}});
  CHECK(Translation().TranslateBackendAnswer(shed) == BackendFault::kNone);
  CHECK(FindHeader(shed.headers, header::kOutcome) == "not-run");
  AnswerPart other = Answer(421, {{"x-instance-id", "i-2"}});
  Translation().TranslateBackendAnswer(other);
  CHECK(FindHeader(other.headers, header::kOutcome) == "not-run");
  AnswerPart failed = Answer(503, {{"x-server-signature", "s"}});
  Translation().TranslateBackendAnswer(failed);
  CHECK(FindHeader(failed.headers, header::kOutcome).empty());
  AnswerPart forged = Answer(500, {{std::string(header::kOutcome), "not-run"}});
  Translation().TranslateBackendAnswer(forged);
  CHECK(FindHeader(forged.headers, header::kOutcome).empty());
}

TEST_CASE("translation: a success without its signature is no answer") {
  AnswerPart good = Answer(200, {{"x-server-signature", "s"}});
  CHECK(Translation().TranslateBackendAnswer(good) == BackendFault::kNone);
  AnswerPart bare = Answer(200, {});
  CHECK(Translation().TranslateBackendAnswer(bare) ==
        BackendFault::kConnectionBroken);
}

TEST_CASE("translation: a late refusal says that nothing ran") {
  AnswerPart late = Answer(504, {{std::string(header::kOutcome), "not-run"}});
  Translation().TranslateCallerAnswer(late);
  CHECK(late.status == 503);
  AnswerPart open = Answer(504, {{std::string(header::kOutcome), "unknown"}});
  Translation().TranslateCallerAnswer(open);
  CHECK(open.status == 504);
}

HttpRequest Beat(const std::string& body) {
  return {
      "POST", "/buckthorncart/rpc?call=instances.heartbeat&of=i-1", {}, body};
}

TEST_CASE("translation: a heartbeat becomes an announcement") {
  HttpRequest request = Beat(
      R"({"service":"s","address":"10.0.0.1:8080","zone":"z","version":"v1",
          "slots":9,"state":"ready","coldRemainingS":0,"sequence":0,
          "born":1700000000000,"new":[1]})");
  Translation().TranslateOperatorRequest(request);
  CHECK(request.path == "/v1/backend-server");
  const auto body = nlohmann::json::parse(request.body);
  CHECK(body["id"] == "i-1");
  CHECK(body["slots"] == 9);
  CHECK(body["started_ms"] == 1'700'000'000'000);
  CHECK(body["sequence"] == 1);
}

TEST_CASE("translation: forged heartbeats name no backend server") {
  for (const char* body :
       {"", "[]", "{\"service\":", "{}",
        R"({"service":"s","address":"10.0.0.9:8080","slots":9,"state":"ready",
            "sequence":4})",
        R"({"service":"s","address":"10.0.0.1:8080","slots":"9",
            "state":"ready","sequence":4})",
        R"({"service":"s","address":"10.0.0.1:8080","slots":9,"state":"ready",
            "sequence":4,"born":"x"})"}) {
    HttpRequest request = Beat(body);
    Translation().TranslateOperatorRequest(request);
    CHECK(request.body == "{}");
  }
}

TEST_CASE("translation: readiness and a farewell") {
  HttpRequest ready{"GET", "/buckthorncart/readiness", {}, ""};
  Translation().TranslateOperatorRequest(ready);
  CHECK(ready.path == "/ready");
  HttpRequest leave{
      "POST", "/buckthorncart/rpc?call=instances.deregister&of=i-1", {}, ""};
  Translation().TranslateOperatorRequest(leave);
  const auto body = nlohmann::json::parse(leave.body);
  CHECK(body["state"] == "absent");
  CHECK(body["id"] == "i-1");
}

}  // namespace
}  // namespace buckthorncart::platform
