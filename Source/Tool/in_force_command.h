#pragma once
/// \file
/// `buckthorncart in-force`.

#include <cstdint>

#include "Tool/command.h"

namespace buckthorncart {

/// Tells whether a version is in force on every daemon, and who lacks it.
class InForceCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  uint64_t version_ = 0;
  uint32_t wait_seconds_ = 0;
};

}  // namespace buckthorncart
