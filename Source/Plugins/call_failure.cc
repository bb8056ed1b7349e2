#include "Plugins/call_failure.h"

#include <nlohmann/json.hpp>

namespace buckthorncart {

uint16_t CallStatusOf(Errc reason, Outcome outcome) {
  if (outcome == Outcome::kUnknown) return 502;
  switch (reason) {
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

AnswerPart MakeFailureAnswer(Errc reason, Outcome outcome) {
  const nlohmann::ordered_json body = {{"error", NameOf(reason)},
                                       {"outcome", NameOf(outcome)}};
  AnswerPart part;
  part.status = CallStatusOf(reason, outcome);
  part.headers = {{"content-type", "application/json"},
                  {std::string(header::kOutcome), std::string(NameOf(outcome))},
                  {std::string(header::kReason), std::string(NameOf(reason))}};
  part.body = body.dump() + "\n";
  part.end = AnswerEnd::kComplete;
  return part;
}

}  // namespace buckthorncart
