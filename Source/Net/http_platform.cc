#include "Net/http_platform.h"

#include <utility>

#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr uint16_t kHttpOk = 200;
constexpr uint16_t kHttpServiceUnavailable = 503;

/// Converts an HTTP answer into a reply. Only a failed connection or status 503
/// proves that the request was not carried out; after any other failure the
/// result is unknown.
PlatformReply MakeReply(uint16_t status, const std::string& body,
                        BackendFault fault) {
  if (fault == BackendFault::kNotConnected) {
    return {PlatformStatus::kUnavailable, {}, {}, 0};
  }
  if (fault != BackendFault::kNone)
    return {PlatformStatus::kUnknown, {}, {}, 0};
  if (status == kHttpServiceUnavailable) {
    return {PlatformStatus::kUnavailable, {}, {}, 0};
  }
  if (status != kHttpOk) return {PlatformStatus::kUnknown, {}, {}, 0};
  auto reply = Decode<PlatformReply>(body);
  if (!reply) return {PlatformStatus::kUnknown, {}, {}, 0};
  return std::move(*reply);
}

}  // namespace

HttpPlatform::HttpPlatform(Loop& loop, Address address,
                           PlatformReplyHandler handler)
    : loop_(loop),
      address_(address),
      handler_(std::move(handler)),
      client_(loop, [this](uint64_t tag, const AnswerPart& part,
                           BackendFault fault) { OnPart(tag, part, fault); }) {}

Result<void> HttpPlatform::Open() { return client_.Open("platform"); }

void HttpPlatform::Submit(uint64_t tag, const PlatformRequest& request) {
  pending_[tag] = {};
  HttpRequest http_request;
  http_request.method = "POST";
  http_request.path = "/v1/platform";
  http_request.headers = {{"content-type", "application/msgpack"}};
  http_request.body = Encode(request);
  client_.Send(tag, address_, std::move(http_request));
}

void HttpPlatform::OnPart(uint64_t tag, const AnswerPart& part,
                          BackendFault fault) {
  const auto it = pending_.find(tag);
  if (it == pending_.end()) return;
  if (part.IsHead()) it->second.status = part.status;
  it->second.body += part.body;
  if (part.end == AnswerEnd::kMore) return;
  PlatformReply reply = MakeReply(it->second.status, it->second.body, fault);
  pending_.erase(it);
  loop_.RunIn(Duration::zero(),
              [this, tag, reply = std::move(reply)] { handler_(tag, reply); });
}

}  // namespace buckthorncart
