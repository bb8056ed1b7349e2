#pragma once
/// \file
/// Interface of the kernel's plug-ins.

#include "Kernel/event.h"

namespace buckthorncart {

class Context;

/// Implements one function of the daemon and owns its state. All calls come
/// from one thread.
class Plugin {
 public:
  virtual ~Plugin() = default;
  /// Called once, before any event.
  virtual void Attach(Context& ctx) = 0;
  virtual void Handle(Context& ctx, const Event& event) = 0;
  /// Handles a request on the operators' interface if it is meant for this
  /// plug-in; otherwise returns false, and the next plug-in is asked.
  virtual bool HandleOperator(Context& /*ctx*/,
                              const OperatorRequested& /*request*/) {
    return false;
  }
};

}  // namespace buckthorncart
