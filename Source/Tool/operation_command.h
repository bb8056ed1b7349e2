#pragma once
/// \file
/// `buckthorncart operation`.

#include <string>

#include "Tool/command.h"

namespace buckthorncart {

/// Shows the result of an operation.
class OperationCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  std::string id_;
  bool settle_ = false;
};

}  // namespace buckthorncart
