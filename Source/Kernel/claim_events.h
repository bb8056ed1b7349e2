#pragma once
/// \file
/// Internal events exchanged by the admission and claims plug-ins. They are not
/// recorded in a trace.

#include <cstdint>
#include <msgpack.hpp>

#include "Base/address.h"
#include "Base/error.h"
#include "Wire/claim_messages.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// An unrepeatable call has been admitted and must be claimed before it runs.
struct ClaimRequested {
  uint64_t run = 0;
  Address from;
  Call call;
  MSGPACK_DEFINE(run, from, call)
};

/// The claim is held: the run may start.
struct ClaimGranted {
  uint64_t run = 0;
  MSGPACK_DEFINE(run)
};

/// The run must not start. `result` is reported to the caller; `reason` is the
/// cause when `result` contains no answer.
struct ClaimDenied {
  uint64_t run = 0;
  Errc reason = Errc::kOk;
  ClaimResult result;
  MSGPACK_DEFINE(run, reason, result)
};

/// A run whose claim was granted has been cancelled before it started.
struct ClaimUnused {
  uint64_t run = 0;
  MSGPACK_DEFINE(run)
};

/// Reply to a transaction of `ClaimWriter`. `relay_failed` is true when the
/// relay was lost, which is no indication of a failure of the platform.
struct ClaimWritten {
  uint64_t tag = 0;
  PlatformReply reply;
  bool relay_failed = false;
  MSGPACK_DEFINE(tag, reply, relay_failed)
};

}  // namespace buckthorncart
