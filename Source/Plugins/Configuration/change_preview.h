#pragma once
/// \file
/// Dry run of a change.

#include "Kernel/plugin.h"

namespace buckthorncart {

/// Serves `/v1/preview`: applies a change to a copy of the held configuration
/// and returns the differences of each object, or the reason to refuse the
/// change. Nothing is stored.
class ChangePreview : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;
};

}  // namespace buckthorncart
