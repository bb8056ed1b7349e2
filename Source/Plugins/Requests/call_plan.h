#pragma once
/// \file
/// What is settled about a call before its first attempt.

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "Base/error.h"
#include "Base/time.h"
#include "Config/snapshot.h"
#include "Wire/http.h"

namespace buckthorncart {

class Context;

struct CallPlan {
  /// Configuration by which the call is routed, to its end.
  SnapshotPtr snapshot;
  Route route;
  /// Empty when the caller gave none.
  std::string idempotency_key;
  /// Time until the caller's deadline, or the route's.
  Duration time{};
  /// Digest of method, path and body, by which crashes are attributed.
  uint64_t fingerprint = 0;
};

/// Routes and checks a caller's request. Fails with the reason why it is
/// refused: the state of this daemon, an unknown route, a missing or invalid
/// idempotency key, an invalid or expired deadline, or the crash guard.
tl::expected<CallPlan, Errc> ExamineCall(Context& ctx,
                                         const HttpRequest& request);

}  // namespace buckthorncart
