#pragma once
/// \file
/// `buckthorncart in-force`.

#include <cstdint>
#include <nlohmann/json.hpp>

#include "Base/result.h"
#include "Base/time.h"
#include "Tool/command.h"

namespace buckthorncart {

/// Shows whether a version is in force on every daemon, and which daemons lack
/// it.
class InForceCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  /// Polls until the version is in force everywhere or the wait has expired.
  /// Shows the progress when standard error is a terminal.
  Result<nlohmann::ordered_json> PollUntilInForce(
      const CommandContext& context) const;

  uint64_t version_ = 0;
  uint32_t wait_seconds_ = 0;
};

}  // namespace buckthorncart
