#pragma once
/// \file
/// Graceful shutdown of the daemon.

#include "Base/time.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// After a shutdown request: refuses new work, waits until requests in flight
/// are complete and callers have stopped sending, then exits.
class Drain : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void ExitWhenIdle(Context& ctx);

  Time started_at_{};
  Time last_busy_{};
  /// The effect `Exit` has been emitted.
  bool exit_requested_ = false;
  /// `DrainLimitReached` has been raised.
  bool limit_reached_ = false;
};

}  // namespace buckthorncart
