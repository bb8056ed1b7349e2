#pragma once
/// \file
/// Deterministic core of the daemon: it has no sockets, clocks, threads or
/// source of randomness of its own.

#include <memory>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// Turns events into effects. The same settings and the same events at the same
/// times produce the same effects, so that traces can be replayed.
class Kernel {
 public:
  Kernel(const KernelSettings& settings,
         std::vector<std::unique_ptr<Plugin>> plugins);

  /// Handles one event at time `now`, which must not decrease between calls.
  std::vector<Effect> Handle(Time now, const Event& event);

  Context& GetContext() { return context_; }

 private:
  void DispatchOne(const Event& event);
  void DispatchOperator(const OperatorRequested& request);
  void DispatchRaised();

  Context context_;
  std::vector<std::unique_ptr<Plugin>> plugins_;
};

}  // namespace buckthorncart
