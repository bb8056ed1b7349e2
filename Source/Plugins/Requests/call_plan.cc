#include "Plugins/Requests/call_plan.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/crash_register.h"
#include "Plugins/Claims/claim_row.h"
#include "Plugins/Requests/api_key_check.h"

namespace buckthorncart {
namespace {

/// Longest deadline that a caller may give, in milliseconds.
constexpr uint32_t kMaxDeadlineMs = 3'600'000;

/// Reason for which this daemon accepts no calls at present, or `kOk`.
Errc CheckDaemonState(Context& ctx) {
  if (!ctx.Shared().ready) return Errc::kNotReady;
  return ctx.Shared().refusing_callers ? Errc::kDraining : Errc::kOk;
}

/// Reason for which the idempotency key is rejected, or `kOk`.
Errc CheckIdempotencyKey(const Route& route, std::string_view key) {
  if (!route.deduplicates_by_key) return Errc::kOk;
  if (key.empty()) {
    return route.repeatable ? Errc::kOk : Errc::kMissingIdempotencyKey;
  }
  return IsIdempotencyKey(key) ? Errc::kOk : Errc::kInvalidIdempotencyKey;
}

/// Time until the deadline of the call. The timeout of the route applies if the
/// caller gave no deadline, and caps one that is given if the route says so.
tl::expected<Duration, Errc> TimeoutOf(const Route& route,
                                       const HttpRequest& request) {
  uint32_t deadline_ms = route.timeout_ms;
  const std::string_view text = FindHeader(request.headers, header::kDeadline);
  if (!text.empty()) {
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, deadline_ms);
    const bool valid = ec == std::errc() && stop == end;
    if (!valid || deadline_ms > kMaxDeadlineMs) {
      return tl::unexpected(Errc::kInvalidDeadline);
    }
  }
  if (route.caps_deadline)
    deadline_ms = std::min(deadline_ms, route.timeout_ms);
  if (deadline_ms == 0) return tl::unexpected(Errc::kDeadlineExpired);
  return std::chrono::milliseconds(deadline_ms);
}

}  // namespace

tl::expected<CallPlan, Errc> PlanCall(Context& ctx,
                                      const HttpRequest& request) {
  const Errc state = CheckDaemonState(ctx);
  if (state != Errc::kOk) return tl::unexpected(state);
  CallPlan plan;
  plan.snapshot = ctx.Shared().held;
  const Route* route = plan.snapshot->configuration.FindRoute(
      FindHeader(request.headers, header::kHost), request.path);
  if (route == nullptr) return tl::unexpected(Errc::kUnknownRoute);
  plan.route = *route;
  const auto workspace =
      AuthenticateCaller(plan.snapshot->configuration, *route,
                         ctx.Settings().checks_api_keys, request.headers);
  if (!workspace) return tl::unexpected(workspace.error());
  plan.workspace = *workspace;
  if (plan.workspace != nullptr) {
    plan.route.priority = plan.workspace->priority.value_or(route->priority);
  }
  const std::string_view key =
      FindHeader(request.headers, header::kIdempotencyKey);
  const Errc key_error = CheckIdempotencyKey(*route, key);
  if (key_error != Errc::kOk) return tl::unexpected(key_error);
  if (route->deduplicates_by_key) plan.idempotency_key = std::string(key);
  const auto timeout = TimeoutOf(*route, request);
  if (!timeout) return tl::unexpected(timeout.error());
  plan.timeout = *timeout;
  plan.fingerprint =
      DigestOfParts({request.method, "\n", request.path, "\n", request.body});
  if (ctx.Shared().crash_register->IsBlocked(ctx.Now(), plan.fingerprint)) {
    return tl::unexpected(Errc::kCrashGuard);
  }
  return plan;
}

}  // namespace buckthorncart
