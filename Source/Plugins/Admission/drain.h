#pragma once
/// \file
/// Graceful end of the daemon.

#include "Base/time.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// After a request to shut down: admits no more work, waits for requests in
/// flight and for callers to leave, then exits.
class Drain : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void ExitWhenIdle(Context& ctx);

  Time began_{};
  Time busy_at_{};
  /// The driver has been told to end.
  bool ended_ = false;
};

}  // namespace buckthorncart
