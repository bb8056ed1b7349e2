#pragma once
/// \file
/// Tells operators what became of an operation.

#include <cstdint>
#include <map>
#include <string>

#include "Kernel/plugin.h"

namespace buckthorncart {

struct PlatformReply;

/// Reads the outcome of an operation from the platform's table, which any
/// daemon can do. With `settle=yes` an operation without an outcome is
/// withdrawn for good, so that the answer is final.
class OperationLookup : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  /// A question that waits for the platform.
  struct Question {
    uint64_t request = 0;
    std::string id;
    bool settle = false;
  };

  void HandleAnswer(Context& ctx, const Question& question,
                    const PlatformReply& reply);

  std::map<uint64_t, Question> questions_;
};

}  // namespace buckthorncart
