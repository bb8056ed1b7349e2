#pragma once
/// \file
/// Tells a calling daemon the outcome of an unrepeatable call.

#include <cstdint>

#include "Base/error.h"
#include "Wire/claim_messages.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// The message that tells `result` of the call `id`: its answer, that it did
/// not run, or that it may have run. `reason` goes with the last two.
PeerMessage MakeClaimReply(uint64_t id, Errc reason, const ClaimResult& result);

}  // namespace buckthorncart
