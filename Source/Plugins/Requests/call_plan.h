#pragma once
/// \file
/// Routing and validation of a call before its first attempt.

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "Base/error.h"
#include "Base/time.h"
#include "Config/snapshot.h"
#include "Wire/http.h"

namespace buckthorncart {

class Context;

/// Properties of a call that stay fixed for all of its attempts.
struct CallPlan {
  /// Configuration that the call is routed by until it ends.
  SnapshotPtr snapshot;
  Route route;
  /// Empty if the caller gave none or the route does not use keys.
  std::string idempotency_key;
  /// Time until the caller's deadline, or the timeout of the route.
  Duration timeout{};
  /// Digest of method, path and body; crashes of backend servers are attributed
  /// to requests by it.
  uint64_t fingerprint = 0;
  /// Workspace in `snapshot` whose key the caller gave; null if there is none.
  const Workspace* workspace = nullptr;
};

/// Validates and routes a caller's request. Fails with the reason for which it
/// is refused: the state of this daemon, an unknown route, a missing or unknown
/// API key, a missing or invalid idempotency key, an invalid or expired
/// deadline, or the crash guard.
tl::expected<CallPlan, Errc> PlanCall(Context& ctx, const HttpRequest& request);

}  // namespace buckthorncart
