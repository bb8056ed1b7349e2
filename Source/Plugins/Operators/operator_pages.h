#pragma once
/// \file
/// Pages of the operators' interface that need no other daemon.

#include "Kernel/plugin.h"

namespace buckthorncart {

/// Serves liveness, readiness and metrics.
class OperatorPages : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  void AnswerReady(Context& ctx, uint64_t request);
};

}  // namespace buckthorncart
