#pragma once
/// \file
/// Validity of the status of an answer.

#include "Wire/peer_messages.h"

namespace buckthorncart {

inline constexpr unsigned kFirstStatus = 100;
inline constexpr unsigned kLastStatus = 599;

/// Servers in trouble have sent answers with status 000.
constexpr bool IsValidStatus(unsigned status) {
  return status >= kFirstStatus && status <= kLastStatus;
}

/// Replaces an answer that begins without a valid status by the failure of its
/// call, as if the connection to the backend server had broken.
void ReplaceInvalidAnswer(PeerMessage& message);

}  // namespace buckthorncart
