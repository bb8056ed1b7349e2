#pragma once
/// \file
/// `buckthorncart daemons`.

#include "Tool/command.h"

namespace buckthorncart {

/// Lists all daemons with their backend servers and configuration versions.
class DaemonsCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;
};

}  // namespace buckthorncart
