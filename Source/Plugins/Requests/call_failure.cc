#include "Plugins/Requests/call_failure.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "Base/json_text.h"

namespace buckthorncart {

namespace {

/// Challenge of an answer with status 401, which must have one (RFC 9110,
/// 15.5.2).
constexpr std::string_view kKeyChallenge = "ApiKey";

/// Formats `duration` in seconds with three decimals.
std::string SecondsText(Duration duration) {
  char text[32];
  const int n =
      std::snprintf(text, sizeof(text), "%.3f",
                    static_cast<double>(ToMilliseconds(duration)) / 1'000.0);
  return {text, static_cast<size_t>(n)};
}

}  // namespace

uint16_t HttpStatusOf(Errc reason, Outcome outcome) {
  if (outcome == Outcome::kUnknown) return 502;
  switch (reason) {
    case Errc::kUnknownKey:
      return 401;
    case Errc::kUnknownRoute:
      return 404;
    case Errc::kMissingIdempotencyKey:
    case Errc::kInvalidIdempotencyKey:
    case Errc::kInvalidDeadline:
    case Errc::kMalformedFrame:
      return 400;
    case Errc::kMethodNotAllowed:
      return 405;
    case Errc::kBodyTooLarge:
      return 413;
    case Errc::kIdempotencyKeyReused:
      return 422;
    case Errc::kQuotaExceeded:
      return 429;
    case Errc::kDeadlineExpired:
      return 504;
    default:
      return 503;
  }
}

bool IsFinalRefusal(Errc reason) {
  return reason == Errc::kIdempotencyKeyReused ||
         reason == Errc::kPlatformUnavailable ||
         reason == Errc::kPlatformAnswerLost || reason == Errc::kCrashGuard;
}

bool IsShedAnswer(const AnswerPart& part) {
  constexpr uint16_t kServiceUnavailable = 503;
  return part.status == kServiceUnavailable &&
         FindHeader(part.headers, header::kOutcome) == NameOf(Outcome::kNotRun);
}

AnswerPart MakeFailureAnswer(Errc reason, Outcome outcome,
                             Duration retry_after) {
  const nlohmann::ordered_json body = {{"error", NameOf(reason)},
                                       {"outcome", NameOf(outcome)}};
  AnswerPart part;
  part.status = HttpStatusOf(reason, outcome);
  part.headers = {{"content-type", "application/json"},
                  {std::string(header::kOutcome), std::string(NameOf(outcome))},
                  {std::string(header::kReason), std::string(NameOf(reason))}};
  if (retry_after > Duration::zero()) {
    part.headers.push_back(
        {std::string(header::kRetryAfter), SecondsText(retry_after)});
  }
  if (reason == Errc::kUnknownKey) {
    part.headers.push_back(
        {std::string(header::kWwwAuthenticate), std::string(kKeyChallenge)});
  }
  part.body = FormatJson(body) + "\n";
  part.end = AnswerEnd::kComplete;
  return part;
}

}  // namespace buckthorncart
