#pragma once
/// \file
/// What a change would do, without doing it.

#include "Kernel/plugin.h"

namespace buckthorncart {

/// Serves `/v1/preview`: applies a change to the held configuration, tells
/// the difference for each object or the refusal, and keeps nothing.
class ChangePreview : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;
};

}  // namespace buckthorncart
