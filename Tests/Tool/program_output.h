#pragma once
/// \file
/// Runs of the project's programs whose output a test looks at.

#include <string>
#include <vector>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {

struct ProgramOutput {
  int status = -1;
  /// Standard output and standard error.
  std::string text;
};

/// Runs `program` to its end.
ProgramOutput RunProgram(ProcessFleet& fleet, const std::string& program,
                         const std::vector<std::string>& arguments);

/// Runs `buckthorncart` against daemon 1.
ProgramOutput RunTool(ProcessFleet& fleet, std::vector<std::string> arguments);

/// Sets an environment variable for the programs that a test starts.
class ScopedVariable {
 public:
  ScopedVariable(std::string name, const std::string& value);
  ~ScopedVariable();
  ScopedVariable(const ScopedVariable&) = delete;
  ScopedVariable& operator=(const ScopedVariable&) = delete;

 private:
  std::string name_;
};

}  // namespace buckthorncart
