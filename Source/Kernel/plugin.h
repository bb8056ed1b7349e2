#pragma once
/// \file
/// Interface of the kernel's plug-ins.

#include "Kernel/event.h"

namespace buckthorncart {

class Context;

/// Owns the state of one matter. All calls come from one thread.
class Plugin {
 public:
  virtual ~Plugin() = default;
  /// Called once, before any event.
  virtual void Attach(Context& ctx) = 0;
  virtual void Handle(Context& ctx, const Event& event) = 0;
  /// Takes a request on the operators' interface if it is this plug-in's;
  /// returns false to leave it to others.
  virtual bool HandleOperator(Context& /*ctx*/,
                              const OperatorRequested& /*request*/) {
    return false;
  }
};

}  // namespace buckthorncart
