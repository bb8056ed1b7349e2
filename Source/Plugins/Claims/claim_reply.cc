#include "Plugins/Claims/claim_reply.h"

#include <nlohmann/json.hpp>
#include <string>

#include "Base/json_text.h"

namespace buckthorncart {
namespace {

/// Answer to a request that has run but whose own answer was too large to
/// store. The receiving daemon adds the outcome "ran".
AnswerPart MakeAnswerNotKept() {
  constexpr uint16_t kGoneStatus = 410;
  const std::string name(NameOf(Errc::kAnswerNotKept));
  const nlohmann::ordered_json body = {{"error", name},
                                       {"outcome", NameOf(Outcome::kRan)}};
  AnswerPart part;
  part.status = kGoneStatus;
  part.headers = {{"content-type", "application/json"},
                  {std::string(header::kReason), name}};
  part.body = FormatJson(body) + "\n";
  part.end = AnswerEnd::kComplete;
  return part;
}

}  // namespace

PeerMessage MakeClaimReply(uint64_t id, Errc reason,
                           const ClaimResult& result) {
  switch (result.outcome) {
    case ClaimOutcome::kNeverRan:
      return CallRefused{id, reason};
    case ClaimOutcome::kRan:
      return CallAnswer{
          id, result.answer_kept ? result.answer : MakeAnswerNotKept(), 0};
    case ClaimOutcome::kRunning:
    case ClaimOutcome::kUnknown:
      break;
  }
  return CallFailed{id, reason};
}

}  // namespace buckthorncart
