#pragma once
/// \file
/// `buckthorncart apply`.

#include <string>

#include "Base/result.h"
#include "Tool/command.h"

namespace buckthorncart {

/// Applies a change of the configuration, or with `--dry-run` only checks
/// whether it would be accepted.
class ApplyCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  Result<std::string> ReadText() const;
  ExitStatus Preview(const CommandContext& context,
                     const std::string& text) const;
  ExitStatus Apply(const CommandContext& context,
                   const std::string& text) const;

  std::string file_;
  std::string text_;
  std::string operation_;
  uint64_t base_ = 0;
  bool dry_run_ = false;
};

}  // namespace buckthorncart
