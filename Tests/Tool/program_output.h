#pragma once
/// \file
/// Runs the project's programs and captures their output for tests.

#include <string>
#include <vector>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {

struct ProgramOutput {
  int status = -1;
  /// Standard output and standard error combined.
  std::string text;
};

/// Runs `program` and waits until it exits.
ProgramOutput RunProgram(ProcessFleet& fleet, const std::string& program,
                         const std::vector<std::string>& arguments);

/// Runs `buckthorncart` against daemon 1.
ProgramOutput RunTool(ProcessFleet& fleet, std::vector<std::string> arguments);

/// Sets an environment variable, which programs started by the test inherit,
/// until it is destroyed.
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
