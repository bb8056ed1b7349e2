#pragma once
/// \file
/// `buckthorncart in-force`.

#include <cstdint>
#include <nlohmann/json.hpp>

#include "Base/result.h"
#include "Base/time.h"
#include "Tool/command.h"

namespace buckthorncart {

/// Tells whether a version is in force on every daemon, and who lacks it.
class InForceCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  /// Asks in short steps until the version is in force everywhere or the wait
  /// is over, and shows the progress where standard error is a terminal.
  Result<nlohmann::ordered_json> Await(const CommandContext& context) const;

  uint64_t version_ = 0;
  uint32_t wait_seconds_ = 0;
};

}  // namespace buckthorncart
