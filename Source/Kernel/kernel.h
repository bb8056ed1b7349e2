#pragma once
/// \file
/// The daemon without sockets, clocks, threads or randomness of its own.

#include <memory>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// Turns events into effects. Equal settings and equal events at equal times
/// give equal effects, which is what makes traces replayable.
class Kernel {
 public:
  Kernel(const KernelSettings& settings,
         std::vector<std::unique_ptr<Plugin>> plugins);

  /// Handles one event at `now`, which never goes back.
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
