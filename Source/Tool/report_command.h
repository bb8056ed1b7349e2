#pragma once
/// \file
/// `buckthorncart report burn`.

#include <string>

#include "Tool/command.h"

namespace buckthorncart {

/// Prints the error budgets and burn rates of services, collected from all
/// daemons.
class ReportCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  std::string service_;
};

}  // namespace buckthorncart
