#pragma once
/// \file
/// Reports the outcome of operations to operators.

#include <cstdint>
#include <map>
#include <string>

#include "Kernel/plugin.h"

namespace buckthorncart {

struct PlatformReply;

/// Reads the outcome of an operation from the platform's table, which any
/// daemon can do. With `settle=yes` an operation without an outcome is
/// withdrawn permanently, so that the reported outcome is final.
class OperationLookup : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  /// A lookup that waits for the platform's reply.
  struct PendingLookup {
    uint64_t request = 0;
    std::string id;
    bool settle = false;
  };

  void HandleReply(Context& ctx, const PendingLookup& lookup,
                   const PlatformReply& reply);

  std::map<uint64_t, PendingLookup> pending_lookups_;
};

}  // namespace buckthorncart
