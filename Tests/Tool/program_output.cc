#include "Tool/program_output.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace buckthorncart {

ProgramOutput RunProgram(ProcessFleet& fleet, const std::string& program,
                         const std::vector<std::string>& arguments) {
  static int count = 0;
  const std::string name =
      "run-" + std::to_string(getpid()) + "-" + std::to_string(++count);
  const auto path = std::filesystem::temp_directory_path() / name;
  fleet.StartProgram(name, program, arguments, path.string());
  ProgramOutput output;
  output.status = fleet.WaitForExit(name, 30s);
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  output.text = text.str();
  std::filesystem::remove(path);
  return output;
}

ProgramOutput RunTool(ProcessFleet& fleet, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(),
                   {"--daemon", fleet.Operators(1).ToString()});
  return RunProgram(fleet, "buckthorncart", arguments);
}

ScopedVariable::ScopedVariable(std::string name, const std::string& value)
    : name_(std::move(name)) {
  setenv(name_.c_str(), value.c_str(), 1);
}

ScopedVariable::~ScopedVariable() { unsetenv(name_.c_str()); }

}  // namespace buckthorncart
