#pragma once
/// \file
/// `buckthorncart apply`.

#include <string>

#include "Base/result.h"
#include "Tool/command.h"

namespace buckthorncart {

/// Issues a change, or tells with `--dry-run` whether it would be accepted.
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
