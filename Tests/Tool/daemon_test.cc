#include <doctest/doctest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "Kernel/effect.h"
#include "Tool/program_output.h"

namespace buckthorncart {
namespace {

bool Contains(const ProgramOutput& output, const std::string& text) {
  return output.text.find(text) != std::string::npos;
}

/// Reads a page of the reference documentation.
std::string ReadDocument(const std::string& name) {
  std::ostringstream text;
  text << std::ifstream(DOCUMENTS "/reference/" + name).rdbuf();
  return text.str();
}

std::vector<std::string> Settings(const ProcessFleet& fleet) {
  Address peer = fleet.Callers(1);
  --peer.port;
  return {"--peer-address",   peer.ToString(),
          "--callers",        fleet.Callers(1).ToString(),
          "--operators",      fleet.Operators(1).ToString(),
          "--backend-server", fleet.Backend(1).ToString(),
          "--data-centre",    "nl-west-a"};
}

/// Runs the daemon with valid settings and the arguments `more`.
ProgramOutput RunDaemon(ProcessFleet& fleet,
                        const std::vector<std::string>& more) {
  std::vector<std::string> arguments = Settings(fleet);
  arguments.insert(arguments.end(), more.begin(), more.end());
  return RunProgram(fleet, "buckthorncartd", arguments);
}

/// Runs `--check` with valid settings in which one flag has another value.
ProgramOutput CheckWith(ProcessFleet& fleet, const std::string& flag,
                        const std::string& value) {
  std::vector<std::string> arguments = Settings(fleet);
  for (size_t i = 0; i + 1 < arguments.size(); i += 2) {
    if (arguments[i] == flag) arguments[i + 1] = value;
  }
  arguments.emplace_back("--check");
  return RunProgram(fleet, "buckthorncartd", arguments);
}

TEST_CASE("daemon: --check accepts valid settings and --version is shown") {
  ProcessFleet fleet;
  CHECK(RunDaemon(fleet, {"--check"}).status == 0);
  const auto version = RunProgram(fleet, "buckthorncartd", {"--version"});
  CHECK(version.status == 0);
  CHECK_FALSE(version.text.empty());
}

TEST_CASE("daemon: --check reports the invalid flag") {
  ProcessFleet fleet;
  const auto duplicate =
      CheckWith(fleet, "--callers", fleet.Operators(1).ToString());
  CHECK(duplicate.status == 2);
  CHECK(Contains(duplicate, "--operators"));
  CHECK(Contains(duplicate, "--callers"));
  // 192.0.2.0/24 is reserved for documentation and assigned to no VM.
  const auto not_local = CheckWith(fleet, "--callers", "192.0.2.1:7401");
  CHECK(not_local.status == 2);
  CHECK(Contains(not_local, "--callers 192.0.2.1:7401"));
  CHECK(Contains(not_local, "an IP of this VM"));
  const auto without_port = CheckWith(fleet, "--backend-server", "127.0.0.1");
  CHECK(without_port.status == 2);
  CHECK(Contains(without_port, "--backend-server"));
  const auto name = CheckWith(fleet, "--data-centre", "nl west");
  CHECK(name.status == 2);
  CHECK(Contains(name, "--data-centre"));
}

TEST_CASE("daemon: values outside their range are refused at the start") {
  ProcessFleet fleet;
  const std::pair<const char*, const char*> cases[] = {
      {"--probe-period-ms", "1"},      {"--queue-limit", "-1"},
      {"--body-limit", "99999999999"}, {"--header-limit", "0"},
      {"--connection-limit", "many"},  {"--platform", "ftp://x"},
      {"--spreading", "gossip"},       {"--log-level", "loud"}};
  for (const auto& [flag, value] : cases) {
    const auto output = RunDaemon(fleet, {flag, value, "--check"});
    CAPTURE(output.text);
    CHECK(output.status == 2);
    CHECK(Contains(output, flag));
  }
}

TEST_CASE("daemon: a malformed variable is refused, and a flag overrides it") {
  ProcessFleet fleet;
  const ScopedVariable variable("BUCKTHORNCART_QUEUE_LIMIT", "many");
  const auto output = RunDaemon(fleet, {"--check"});
  CHECK(output.status == 2);
  CHECK(Contains(output, "--queue-limit"));
  CHECK(RunDaemon(fleet, {"--check", "--queue-limit", "5"}).status == 0);
}

TEST_CASE("daemon: the error for an unwritable trace file contains the flag") {
  ProcessFleet fleet;
  const auto output = RunDaemon(fleet, {"--trace", "/no/such/folder/trace"});
  CHECK(output.status == 1);
  CHECK(Contains(output, "--trace /no/such/folder/trace"));
}

TEST_CASE(
    "daemon: without the platform it logs a warning, is live and not ready") {
  ProcessFleet fleet;
  const auto log = std::filesystem::temp_directory_path() /
                   ("daemon-log-" + std::to_string(getpid()));
  std::vector<std::string> arguments = Settings(fleet);
  arguments.insert(arguments.end(),
                   {"--platform", "http://" + fleet.Platform().ToString()});
  fleet.StartProgram("daemon-1", "buckthorncartd", arguments, log.string());
  CHECK(WaitFor([&] {
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    return text.str().find("--platform http://") != std::string::npos;
  }));
  const Address operators = fleet.Operators(1);
  CHECK(fleet.Get(operators, "/live").status == 200);
  CHECK(fleet.Get(operators, "/ready").status == 503);
  fleet.StartPlatform();
  CHECK(WaitFor([&] { return fleet.Get(operators, "/ready").status == 200; }));
  fleet.Signal("daemon-1", SIGTERM);
  CHECK(WaitFor([&] { return fleet.Get(operators, "/ready").status != 200; }));
  CHECK(fleet.WaitForExit("daemon-1", 20s) == 0);
  std::filesystem::remove(log);
}

/// Returns the entry of each flag in the output of `--help`.
std::vector<std::string> FlagsOf(const std::string& help) {
  std::vector<std::string> flags;
  std::istringstream lines(help);
  bool in_group = false;
  for (std::string line; std::getline(lines, line);) {
    if (line.empty()) continue;
    if (line.starts_with("Signals:")) break;
    if (line.starts_with("  -")) {
      in_group = true;
      flags.push_back(line);
    } else if (line.starts_with("   ") && in_group) {
      flags.back() += line;
    } else {
      in_group = false;
    }
  }
  return flags;
}

/// Name of the flag in an entry that `FlagsOf` returned.
std::string NameOfFlag(const std::string& flag) {
  const size_t begin = flag.find("--");
  return flag.substr(begin, flag.find_first_of(" ,=", begin) - begin);
}

/// True if the --help entry of a flag shows its unit or placeholder, its
/// default (or that it is required) and its variable.
bool IsDescribed(const std::string& flag) {
  static constexpr const char* kUnits[] = {" MS",      " BYTES",   " COUNT",
                                           " PERCENT", " IP:PORT", " NAME",
                                           " URL",     " FILE"};
  const bool has_unit = std::any_of(
      std::begin(kUnits), std::end(kUnits),
      [&](const char* name) { return flag.find(name) != std::string::npos; });
  const bool has_default = flag.find('=') != std::string::npos ||
                           flag.find("REQUIRED") != std::string::npos ||
                           flag.find("[none]") != std::string::npos;
  const bool has_variable = flag.find("BUCKTHORNCART_") != std::string::npos;
  return has_unit && has_default && has_variable;
}

TEST_CASE("daemon: --help and reference show every flag whole") {
  ProcessFleet fleet;
  const auto help = RunProgram(fleet, "buckthorncartd", {"--help"});
  REQUIRE(help.status == 0);
  CHECK(Contains(help, "SIGTERM"));
  const auto flags = FlagsOf(help.text);
  std::string reference;
  for (const char* group : {"addresses", "configuration", "membership",
                            "requests", "platform", "process"}) {
    reference += ReadDocument("settings-" + std::string(group) + ".md");
  }
  CHECK(flags.size() > 25);
  for (const std::string& flag : flags) {
    const bool is_switch = flag.find("--help") != std::string::npos ||
                           flag.find("--version") != std::string::npos ||
                           flag.find("--check") != std::string::npos;
    CAPTURE(flag);
    CHECK((is_switch || IsDescribed(flag)));
    if (is_switch) continue;
    CHECK(reference.find("| `" + NameOfFlag(flag) + "` |") !=
          std::string::npos);
  }
  CHECK_FALSE(IsDescribed("  --limit UINT=5   calls that wait"));
}

/// Name of the metric of a sample, without labels and without the suffixes of
/// histogram samples.
std::string NameOfSample(const std::string& sample,
                         const std::set<std::string>& known) {
  const std::string name = sample.substr(0, sample.find('{'));
  for (const char* suffix : {"_bucket", "_sum", "_count"}) {
    if (!name.ends_with(suffix)) continue;
    const std::string base =
        name.substr(0, name.size() - std::string(suffix).size());
    if (known.contains(base)) return base;
  }
  return name;
}

TEST_CASE("daemon: every event of the log stands in the reference") {
  const std::string reference = ReadDocument("log-events.md");
  for (const std::string_view event : EnumNames<LogTopic>::kNames) {
    CAPTURE(event);
    CHECK(reference.find("| `" + std::string(event) + "` |") !=
          std::string::npos);
  }
}

TEST_CASE("daemon: every metric has help and stands in the reference") {
  ProcessFleet fleet;
  fleet.StartDaemon(1, 1);
  FetchResult page;
  REQUIRE(WaitFor([&] {
    page = fleet.Get(fleet.Operators(1), "/metrics");
    return page.status == 200;
  }));
  const std::string reference = ReadDocument("metrics.md");
  std::istringstream lines(page.body);
  std::set<std::string> documented;
  size_t samples = 0;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string first;
    std::string second;
    std::string name;
    words >> first >> second >> name;
    if (first == "#" && second == "HELP") documented.insert(name);
    if (first == "#") continue;
    first = NameOfSample(first, documented);
    ++samples;
    CAPTURE(first);
    CHECK(documented.contains(first));
    CHECK(reference.find("| `" + first + "` |") != std::string::npos);
  }
  CHECK(samples > 40);
}

}  // namespace
}  // namespace buckthorncart
