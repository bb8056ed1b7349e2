#pragma once
/// \file
/// `buckthorncart metrics`.

#include <string>

#include "Tool/command.h"

namespace buckthorncart {

/// Prints the metrics of one daemon.
class MetricsCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  std::string prefix_;
  bool raw_ = false;
};

}  // namespace buckthorncart
