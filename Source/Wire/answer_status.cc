#include "Wire/answer_status.h"

namespace buckthorncart {

void ReplaceInvalidAnswer(PeerMessage& message) {
  const auto* answer = std::get_if<CallAnswer>(&message);
  if (answer == nullptr) return;
  // Only the first part has a status. Older daemons do not number the parts.
  const bool may_lack_status = answer->sequence != 1;
  if (may_lack_status && !answer->part.IsHead()) return;
  if (IsValidStatus(answer->part.status)) return;
  message = CallFailed{answer->id, Errc::kBackendServerFailed};
}

}  // namespace buckthorncart
