#include "PlatformStandin/platform_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Kernel/url_query.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr size_t kBodyLimit = 16U << 20U;

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.message.body_bytes = kBodyLimit;
  return limits;
}

bool IsWrite(const PlatformRequest& request) {
  return std::holds_alternative<Transaction>(request) ||
         std::holds_alternative<PutObject>(request);
}

uint64_t ParseNumber(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace

PlatformStandin::PlatformStandin(Loop& loop)
    : loop_(loop), server_(loop, Limits(), *this) {}

Result<void> PlatformStandin::Listen(Address address) {
  return server_.Listen("platform", address);
}

void PlatformStandin::OnRequest(uint64_t id, HttpRequest request) {
  if (request.path.starts_with("/control")) {
    HandleControl(id, request);
  } else if (request.path == "/statistics") {
    AnswerStatistics(id);
  } else if (request.path == "/v1/platform") {
    HandlePlatform(id, request);
  } else {
    AnswerText(id, 404, "not found\n");
  }
}

void PlatformStandin::OnClientDisconnected(uint64_t /*id*/) {}

void PlatformStandin::HandleControl(uint64_t id, const HttpRequest& request) {
  const Url url = ParseUrl(request.path);
  const auto mode = ParseEnum<StandinMode>(url.Get("mode"));
  if (!mode) {
    AnswerText(id, 400, "mode: expected " + NamesOf<StandinMode>() + "\n");
    return;
  }
  mode_ = *mode;
  delay_ = std::chrono::milliseconds(ParseNumber(url.Get("delay-ms")));
  remaining_requests_ = ParseNumber(url.Get("count"));
  AnswerText(id, 200, "mode " + std::string(NameOf(mode_)) + "\n");
}

StandinMode PlatformStandin::TakeModeOfNextRequest() {
  const StandinMode mode = mode_;
  if (remaining_requests_ > 0 && --remaining_requests_ == 0)
    mode_ = StandinMode::kUp;
  return mode;
}

void PlatformStandin::HandlePlatform(uint64_t id, const HttpRequest& http) {
  const auto request = Decode<PlatformRequest>(http.body);
  if (!request) {
    AnswerText(id, 400, "malformed request\n");
    return;
  }
  const StandinMode mode = TakeModeOfNextRequest();
  if (mode == StandinMode::kDown) {
    AnswerText(id, 503, "unavailable\n");
    return;
  }
  if (mode == StandinMode::kSilent) return;
  ++(IsWrite(*request) ? writes_ : reads_);
  std::string body = Encode(table_.Apply(*request));
  if (mode == StandinMode::kLoseAnswers) {
    server_.Abort(id);
    return;
  }
  const Duration delay = mode == StandinMode::kSlow ? delay_ : Duration::zero();
  if (delay == Duration::zero()) {
    AnswerText(id, 200, std::move(body));
    return;
  }
  loop_.RunIn(
      delay, [this, id, body = std::move(body)] { AnswerText(id, 200, body); });
}

void PlatformStandin::AnswerStatistics(uint64_t id) {
  const nlohmann::ordered_json body = {
      {"reads", reads_}, {"writes", writes_}, {"rows", table_.RowCount()}};
  AnswerText(id, 200, body.dump() + "\n");
}

void PlatformStandin::AnswerText(uint64_t id, uint16_t status,
                                 std::string body) {
  AnswerPart part;
  part.status = status;
  part.body = std::move(body);
  part.end = AnswerEnd::kComplete;
  server_.Answer(id, std::move(part), false);
}

}  // namespace buckthorncart
