#include "BackendServerStandin/backend_server_standin.h"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Kernel/url_query.h"

namespace buckthorncart {
namespace {

constexpr Duration kAnnounceInterval = 500ms;
constexpr int kCrashStatus = 86;
constexpr size_t kBodyLimit = 64U << 20U;

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.message.body_bytes = kBodyLimit;
  return limits;
}

uint64_t ParseNumber(std::string_view text, uint64_t fallback) {
  if (text.empty()) return fallback;
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

AnswerPart EmptyAnswer(uint16_t status) {
  AnswerPart part;
  part.status = status;
  part.end = AnswerEnd::kComplete;
  return part;
}

}  // namespace

BackendServerStandin::BackendServerStandin(
    Loop& loop, const BackendServerSettings& settings)
    : loop_(loop),
      settings_(settings),
      server_(loop, Limits(), *this),
      client_(loop, [](uint64_t, const AnswerPart&, BackendFault) {}) {}

Result<void> BackendServerStandin::Start() {
  auto opened = server_.Listen("backend-server", settings_.listen);
  if (opened) opened = client_.Open("announce");
  if (!opened) return opened;
  loop_.RunIn(settings_.cold_start, [this] {
    state_ = BackendState::kReady;
    Announce();
  });
  Announce();
  return {};
}

void BackendServerStandin::Announce() {
  const nlohmann::ordered_json body = {{"service", settings_.service},
                                       {"state", NameOf(state_)},
                                       {"slots", settings_.slots},
                                       {"labels", settings_.labels}};
  client_.Send(++next_announcement_, settings_.daemon,
               {"POST", "/v1/backend-server", {}, body.dump()});
  const uint64_t last = next_announcement_;
  loop_.RunIn(kAnnounceInterval, [this, last] {
    if (last == next_announcement_) Announce();
  });
}

void BackendServerStandin::OnRequest(uint64_t id, HttpRequest request) {
  if (request.path.starts_with("/control")) {
    HandleControl(id, request.path);
  } else if (request.path == "/log") {
    AnswerLog(id);
  } else if (request.path == "/health") {
    // Reports healthy in every state, to simulate a stale health check.
    AnswerText(id, 200, "healthy\n");
  } else {
    RunOrQueue({id, std::move(request)});
  }
}

void BackendServerStandin::OnClientDisconnected(uint64_t id) {
  std::erase_if(waiting_, [id](const Job& job) { return job.id == id; });
}

void BackendServerStandin::HandleControl(uint64_t id, const std::string& path) {
  const Url url = ParseUrl(path);
  const auto state = ParseEnum<BackendState>(url.Get("state"));
  if (state) state_ = *state;
  if (!url.Get("shed").empty()) shedding_ = url.Get("shed") == "yes";
  if (!url.Get("time-ms").empty()) {
    settings_.service_time =
        std::chrono::milliseconds(ParseNumber(url.Get("time-ms"), 0));
  }
  Announce();
  AnswerText(id, 200, "done\n");
}

void BackendServerStandin::RunOrQueue(Job job) {
  if (shedding_) {
    AnswerPart part = EmptyAnswer(503);
    part.headers.push_back({std::string(header::kOutcome), "not-run"});
    server_.Answer(job.id, std::move(part), false);
    return;
  }
  if (running_ >= settings_.slots) {
    waiting_.push_back(std::move(job));
    return;
  }
  RunJob(job);
}

void BackendServerStandin::RunJob(const Job& job) {
  const Url url = ParseUrl(job.request.path);
  ++runs_;
  if (state_ == BackendState::kDraining) ++runs_while_draining_;
  const std::string key(
      FindHeader(job.request.headers, header::kIdempotencyKey));
  if (!key.empty()) ++runs_by_key_[key];
  if (url.Get("crash") == "yes") _exit(kCrashStatus);
  ++running_;
  const size_t size = ParseNumber(url.Get("size"), 32);
  const size_t chunks = std::max<size_t>(ParseNumber(url.Get("chunks"), 1), 1);
  Duration time = settings_.service_time;
  if (!url.Get("time-ms").empty()) {
    time = std::chrono::milliseconds(ParseNumber(url.Get("time-ms"), 0));
  }
  loop_.RunIn(
      time, [this, id = job.id, size, chunks] { FinishJob(id, size, chunks); });
}

void BackendServerStandin::FinishJob(uint64_t id, size_t size, size_t chunks) {
  --running_;
  for (size_t i = 0; i < chunks; ++i) {
    AnswerPart part;
    part.status = i == 0 ? 200 : 0;
    part.body.assign(size / chunks, static_cast<char>('a' + i % 26));
    if (i + 1 == chunks) {
      part.body.resize(size - size / chunks * (chunks - 1), 'z');
      part.end = AnswerEnd::kComplete;
    }
    server_.Answer(id, std::move(part), false);
  }
  if (waiting_.empty()) return;
  const Job next = std::move(waiting_.front());
  waiting_.pop_front();
  RunJob(next);
}

void BackendServerStandin::AnswerLog(uint64_t id) {
  const nlohmann::ordered_json body = {
      {"runs", runs_},
      {"runs_while_draining", runs_while_draining_},
      {"keys", runs_by_key_}};
  AnswerText(id, 200, body.dump() + "\n");
}

void BackendServerStandin::AnswerText(uint64_t id, uint16_t status,
                                      std::string body) {
  AnswerPart part = EmptyAnswer(status);
  part.body = std::move(body);
  server_.Answer(id, std::move(part), false);
}

}  // namespace buckthorncart
