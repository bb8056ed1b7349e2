#pragma once
/// \file
/// Interface by which calls are counted against the limits of workspaces.

#include <cstdint>

#include "Base/time.h"
#include "Config/workspace.h"

namespace buckthorncart {

class Context;

enum class QuotaVerdict : uint8_t {
  kAdmitted,
  /// `QuotaDecided` follows.
  kPending,
  kRefused,
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kRefused;
  /// Time after which a refused call may fit.
  Duration retry_after{};
};

class QuotaGate {
 public:
  virtual ~QuotaGate() = default;
  /// Takes a token of `workspace`, which has a limit, for one run of `call`.
  virtual QuotaDecision Ask(Context& ctx, uint64_t call,
                            const Workspace& workspace) = 0;
  /// The call has ended. A token of a call that has not run and will not run is
  /// returned unless it has expired.
  virtual void Settle(Context& ctx, uint64_t call, bool may_have_run) = 0;
};

}  // namespace buckthorncart
