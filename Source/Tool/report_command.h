#pragma once
/// \file
/// `buckthorncart report burn`.

#include <string>

#include "Tool/command.h"

namespace buckthorncart {

/// Prints the report on service-level burn, gathered from all daemons.
class ReportCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  std::string service_;
};

}  // namespace buckthorncart
