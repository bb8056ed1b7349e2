#pragma once
/// \file
/// Endpoints of the operator interface that are answered without other
/// daemons.

#include "Kernel/plugin.h"

namespace buckthorncart {

/// Serves `/live`, `/ready` and `/metrics`.
class StatusEndpoints : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  void AnswerReady(Context& ctx, uint64_t request);
};

}  // namespace buckthorncart
