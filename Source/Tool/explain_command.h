#pragma once
/// \file
/// `buckthorncart explain`.

#include <string>
#include <vector>

#include "Base/result.h"
#include "Tool/command.h"

namespace buckthorncart {

class RequestTimeline;

/// Prints a timeline of one request from the logs of several daemons.
class ExplainCommand : public Command {
 public:
  CLI::App* Register(CLI::App& app) override;
  ExitStatus Run(const CommandContext& context) override;

 private:
  Result<void> ReadLogs(RequestTimeline& timeline) const;

  std::string id_;
  std::vector<std::string> files_;
};

}  // namespace buckthorncart
