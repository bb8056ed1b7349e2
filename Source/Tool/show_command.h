#pragma once
/// \file
/// `buckthorncart show`.

#include <string>
#include <vector>

#include "Tool/command.h"

namespace buckthorncart {

/// Lists the services, routes, rules or daemons in force.
class ShowCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  std::vector<std::string> words_;
};

}  // namespace buckthorncart
