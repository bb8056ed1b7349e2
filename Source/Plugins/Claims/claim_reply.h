#pragma once
/// \file
/// Reports the outcome of an unrepeatable call to the calling daemon.

#include <cstdint>

#include "Base/error.h"
#include "Wire/claim_messages.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// Makes the message that reports `result` for the call `id`: its answer, that
/// it did not run, or that it may have run. The last two include `reason`.
PeerMessage MakeClaimReply(uint64_t id, Errc reason, const ClaimResult& result);

}  // namespace buckthorncart
