#pragma once
/// \file
/// Interface of the commands of `buckthorncart`.

#include <string>

#include "Base/enum_names.h"

namespace CLI {
class App;
}  // namespace CLI

namespace buckthorncart {

class OperatorClient;

enum class OutputFormat : uint8_t { kTable, kJson };

template <>
struct EnumNames<OutputFormat> {
  static constexpr std::string_view kNames[] = {"table", "json"};
};

/// Exit statuses of the tool.
enum class ExitStatus : uint8_t {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kUndecided = 3,
};

/// Connection and output format with which a command runs.
struct CommandContext {
  const OperatorClient& client;
  OutputFormat format = OutputFormat::kTable;
};

/// A subcommand of the tool.
class Command {
 public:
  virtual ~Command() = default;
  /// Adds the subcommand with its flags to `app` and returns it.
  virtual CLI::App* Register(CLI::App& app) = 0;
  virtual ExitStatus Run(const CommandContext& context) = 0;
};

}  // namespace buckthorncart
