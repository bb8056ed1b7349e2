#include "Daemon/daemon_settings.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <random>
#include <utility>

#include "Base/version.h"
#include "Config/value_parsers.h"
#include "Daemon/address_check.h"
#include "Kernel/spreading_profile.h"
#include "Net/loop.h"

namespace buckthorncart {

/// What the daemon does about the limits of workspaces.
enum class QuotaMode : uint8_t { kIgnored, kEnforced };

template <>
struct EnumNames<QuotaMode> {
  static constexpr std::string_view kNames[] = {"ignored", "enforced"};
};

/// Whether earlier processes of the fleet may have state at the platform.
enum class FleetStart : uint8_t { kAgain, kFirst };

template <>
struct EnumNames<FleetStart> {
  static constexpr std::string_view kNames[] = {"again", "first"};
};

namespace {

constexpr int kUsageStatus = 2;
constexpr const char* kFooter =
    "\nA flag overrides its environment variable (Env).\n"
    "\n"
    "Signals:\n"
    "  SIGTERM, SIGINT  drain: admit no new work, finish what is in flight, "
    "exit 0\n"
    "\n"
    "Exit statuses:\n"
    "  0  drained, or --check found no error\n"
    "  1  failed to start: an address in use, a trace file that cannot be "
    "written\n"
    "  2  usage error: an invalid flag, variable or value\n";
constexpr std::string_view kEnvironmentPrefix = "BUCKTHORNCART_";
constexpr std::string_view kMemoryPlatform = "memory:";
constexpr std::string_view kHttpPlatform = "http://";

/// Returns the environment variable of a flag: "BUCKTHORNCART_PEER_ADDRESS" for
/// "--peer-address".
std::string EnvironmentName(const std::string& flag) {
  std::string name(kEnvironmentPrefix);
  for (const char c : flag.substr(2)) {
    name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
  }
  return name;
}

/// Unit that --help shows for a numeric flag, derived from the flag's name.
std::string NumberTypeName(const std::string& flag) {
  if (flag.ends_with("-ms")) return "MS";
  if (flag.ends_with("-percent")) return "PERCENT";
  if (flag == "--body-limit" || flag == "--header-limit") return "BYTES";
  return "COUNT";
}

/// Placeholder that --help shows for the value of a text flag, derived from the
/// flag's name.
std::string TextTypeName(const std::string& flag) {
  if (flag == "--platform") return "URL";
  if (flag == "--trace") return "FILE";
  if (flag == "--data-centre" || flag == "--spreading") return "NAME";
  if (flag.starts_with("--log-")) return "NAME";
  if (flag == "--quota" || flag == "--fleet-start") return "NAME";
  return "IP:PORT";
}

/// Values as text, which `SettingsParser::Resolve` parses after the
/// command-line library.
struct RawSettings {
  std::string peer_address;
  std::string callers;
  std::string operators = "127.0.0.1:7402";
  std::string backend_server;
  std::vector<std::string> peers;
  std::string platform = "memory:";
  std::string profile = "balanced";
  std::string spreading = "mixed";
  std::string choice = "two-random";
  std::string quota = "ignored";
  std::string fleet_start = "again";
  std::string log_format = "text";
  std::string log_level = "info";
};

class SettingsParser {
 public:
  SettingsParser();
  ParsedSettings Parse(int argc, char** argv);

 private:
  void AddText(const std::string& flag, std::string& target,
               const std::string& help, bool required);
  void AddNumber(const std::string& flag, uint32_t& target, uint32_t low,
                 uint32_t high, const std::string& help);
  void AddAddresses();
  void AddConfiguration();
  void AddMembership();
  void AddRequests();
  void AddPlatform();
  void AddProcess();
  /// Parses `raw_` into `settings_` and validates the result.
  Result<void> Resolve();
  Result<void> ResolveProfile();
  Result<void> ResolveQuota();
  Result<Address> ParseAddress(const std::string& flag,
                               const std::string& text) const;

  CLI::App app_{"buckthorncartd, the sidecar daemon of a backend server"};
  /// --help heading for the flags that are added next.
  std::string help_group_;
  RawSettings raw_;
  DaemonSettings settings_;
  uint32_t fd_limit_ = 2'048;
  uint32_t body_limit_ = 1U << 20U;
  uint32_t header_limit_ = HttpLimits{}.head_bytes;
  uint32_t connection_limit_ = 2'048;
  uint32_t pipelined_requests_ = kDefaultPipelinedRequests;
  uint32_t buffer_memory_kib_ = 64U << 10U;
  uint32_t receive_buffer_kib_ = 64;
};

SettingsParser::SettingsParser() {
  app_.set_version_flag("--version", std::string(kVersion));
  app_.footer(kFooter);
  help_group_ = "Addresses";
  AddAddresses();
  help_group_ = "Configuration";
  AddConfiguration();
  help_group_ = "Membership";
  AddMembership();
  help_group_ = "Requests";
  AddRequests();
  help_group_ = "Platform";
  AddPlatform();
  help_group_ = "Process";
  AddProcess();
}

void SettingsParser::AddText(const std::string& flag, std::string& target,
                             const std::string& help, bool required) {
  CLI::Option* option = app_.add_option(flag, target, help);
  option->envname(EnvironmentName(flag));
  const bool no_default = target.empty() && !required;
  option->type_name(TextTypeName(flag) + (no_default ? " [none]" : ""));
  option->group(help_group_);
  if (required) {
    option->required();
  } else {
    option->capture_default_str();
  }
}

void SettingsParser::AddNumber(const std::string& flag, uint32_t& target,
                               uint32_t low, uint32_t high,
                               const std::string& help) {
  app_.add_option(flag, target, help)
      ->envname(EnvironmentName(flag))
      ->type_name(NumberTypeName(flag))
      ->group(help_group_)
      ->check(CLI::Range(low, high))
      ->capture_default_str();
}

void SettingsParser::AddAddresses() {
  AddText("--peer-address", raw_.peer_address,
          "IP:PORT on which to listen for other daemons, TCP and UDP", true);
  AddText("--callers", raw_.callers,
          "IP:PORT on which to listen for requests of callers", true);
  AddText("--operators", raw_.operators,
          "IP:PORT on which to listen for operators and the backend server",
          false);
  AddText("--backend-server", raw_.backend_server,
          "IP:PORT of the backend server that this daemon serves", true);
  AddText("--data-centre", settings_.kernel.data_centre,
          "name of the data centre of this daemon", true);
  app_.add_option("--peer", raw_.peers,
                  "IP:PORT of other daemons, separated by commas")
      ->delimiter(',')
      ->allow_extra_args(false)
      ->type_name("IP:PORT [none]")
      ->group(help_group_)
      ->envname(EnvironmentName("--peer"));
}

void SettingsParser::AddConfiguration() {
  KernelSettings& kernel = settings_.kernel;
  AddText("--profile", raw_.profile,
          "preset of settings, which individual flags override: " +
              NamesOf<SpreadingProfile>(),
          false);
  AddText("--spreading", raw_.spreading,
          "method of spreading new versions: " + NamesOf<Spreading>(), false);
  AddNumber("--spreading-fanout", kernel.spreading_fanout, 1, 32,
            "number of daemons that each daemon notifies of a new version");
  AddNumber(
      "--holders-timeout-ms", kernel.holders_timeout_ms, 10, 60'000,
      "longest wait until daemons in other data centres hold a change, ms");
  AddNumber("--decision-timeout-ms", kernel.decision_timeout_ms, 100, 600'000,
            "time after which a change is reported as undecided, ms");
  AddNumber("--head-read-interval-ms", kernel.head_read_interval_ms, 100,
            600'000, "interval between reads of the newest version, ms");
  AddNumber("--snapshot-every", kernel.snapshot_every, 1, 100'000,
            "number of versions between two stored snapshots");
}

void SettingsParser::AddMembership() {
  KernelSettings& kernel = settings_.kernel;
  AddNumber("--probe-period-ms", kernel.probe_period_ms, 50, 60'000,
            "interval between probes, ms");
  AddNumber("--probe-timeout-ms", kernel.probe_timeout_ms, 10, 60'000,
            "time after which an unanswered probe is repeated through other "
            "daemons, ms");
  AddNumber("--suspicion-ms", kernel.suspicion_ms, 100, 600'000,
            "time from suspicion until a daemon is considered gone, ms");
  AddNumber("--peer-timeout-ms", kernel.peer_timeout_ms, 500, 600'000,
            "time without data after which a peer is considered lost, ms");
}

void SettingsParser::AddRequests() {
  KernelSettings& kernel = settings_.kernel;
  AddText("--choice", raw_.choice,
          "policy for choosing the backend server: " + NamesOf<ChoicePolicy>(),
          false);
  AddNumber(
      "--queue-limit", kernel.queue_limit, 0, 100'000,
      "maximum number of requests waiting for a slot of the backend server");
  AddNumber("--max-attempts", kernel.max_attempts, 1, 16,
            "maximum number of backend servers tried for one call");
  AddNumber("--retry-budget-percent", kernel.retry_budget_percent, 0, 100,
            "retries allowed per 100 calls");
  AddNumber("--slow-start-ms", kernel.slow_start_ms, 0, 600'000,
            "time until a new backend server gets its full share of calls, ms");
  AddNumber("--body-limit", body_limit_, 0, 64U << 20U,
            "maximum size of a request body, bytes");
  AddNumber("--body-memory-kib", kernel.body_memory_kib, 64U << 10U, ~0U,
            "memory for the bodies of requests from callers, and as much again "
            "for those from other daemons, KiB");
  AddNumber("--answer-window-bytes", kernel.answer_window_bytes, 65'536, ~0U,
            "maximum bytes of one answer in flight between two daemons");
  AddNumber("--link-kbps", kernel.link_kbps, 1, 400'000'000,
            "rate of the link of this VM, kbit/s");
  app_.add_flag("--check-api-keys", kernel.checks_api_keys,
                "authenticate callers by the API keys of the workspaces")
      ->envname(EnvironmentName("--check-api-keys"))
      ->group(help_group_);
  AddText("--quota", raw_.quota,
          "limits of the workspaces: " + NamesOf<QuotaMode>(), false);
  AddNumber("--quota-window-ms", kernel.quota_window_ms, 100, 600'000,
            "window in which the bound of a limit holds, ms");
  AddNumber("--quota-overage-per-mille", kernel.quota_overage_per_mille, 0,
            1'000, "tolerated excess over a limit in a window, per mille");
  AddNumber("--quota-slack", kernel.quota_slack, 0, 1'000'000,
            "tolerated requests beyond that in a window");
  AddText("--fleet-start", raw_.fleet_start,
          "whether the whole fleet starts for the first time, so that the "
          "shares of the quota have no owner yet: " +
              NamesOf<FleetStart>(),
          false);
  AddNumber("--header-limit", header_limit_, 1'024, 60'000,
            "maximum size of a request head, bytes");
  AddNumber("--connection-limit", connection_limit_, 1, 65'536,
            "maximum number of connections of callers");
  AddNumber("--pipelined-requests", pipelined_requests_, 1, 256,
            "maximum number of requests under way on a caller's connection");
  AddNumber("--receive-buffer-kib", receive_buffer_kib_, 8, 65'536,
            "maximum that the system receives for a connection of a caller or "
            "operator before it is read, KiB");
  AddNumber("--buffer-memory-kib", buffer_memory_kib_, 1'024, ~0U,
            "memory for heads, small bodies, unparsed bytes and unsent answers "
            "of all clients, KiB");
}

void SettingsParser::AddPlatform() {
  KernelSettings& kernel = settings_.kernel;
  AddText("--platform", raw_.platform, "memory: or http://IP:PORT", false);
  AddNumber("--platform-timeout-ms", kernel.platform_timeout_ms, 10, 60'000,
            "longest wait for the platform, ms");
  AddNumber("--platform-queue-limit", kernel.platform_queue_limit, 1, 100'000,
            "maximum number of requests waiting for the platform");
}

void SettingsParser::AddProcess() {
  AddText("--trace", settings_.trace_path,
          "file to which a trace is recorded, for tests", false);
  AddText("--log-format", raw_.log_format,
          "log format: " + NamesOf<LogFormat>(), false);
  AddText("--log-level", raw_.log_level,
          "lowest level that is logged: " + NamesOf<LogLevel>(), false);
  AddNumber("--fd-limit", fd_limit_, 64, 65'536,
            "maximum number of open file descriptors");
  app_.add_flag(
      "--check", settings_.check,
      "validate the settings, check that the addresses belong to this VM, "
      "and exit");
}

Result<Address> SettingsParser::ParseAddress(const std::string& flag,
                                             const std::string& text) const {
  auto address = Address::Parse(text);
  if (address) return address;
  Failure failure = address.error();
  failure.subject = flag + " " + text;
  return tl::unexpected(failure);
}

template <typename E>
Result<void> ParseName(const std::string& flag, const std::string& text,
                       E& target) {
  const auto value = ParseEnum<E>(text);
  if (!value) {
    return Fail(Errc::kInvalidSetting, flag + " " + text, NamesOf<E>(),
                "use one of these values");
  }
  target = *value;
  return {};
}

Result<void> SettingsParser::Resolve() {
  const std::pair<const char*, std::pair<std::string*, Address*>> addresses[] =
      {{"--peer-address", {&raw_.peer_address, &settings_.kernel.self}},
       {"--callers", {&raw_.callers, &settings_.driver.callers}},
       {"--operators", {&raw_.operators, &settings_.driver.operators}},
       {"--backend-server", {&raw_.backend_server, &settings_.kernel.backend}}};
  for (const auto& [flag, item] : addresses) {
    const auto address = ParseAddress(flag, *item.first);
    if (!address) return tl::unexpected(address.error());
    *item.second = *address;
  }
  for (const std::string& text : raw_.peers) {
    const auto address = ParseAddress("--peer", text);
    if (!address) return tl::unexpected(address.error());
    settings_.kernel.peers.push_back(*address);
  }
  if (!IsName(settings_.kernel.data_centre)) {
    return Fail(Errc::kInvalidSetting,
                "--data-centre " + settings_.kernel.data_centre,
                "1 to 64 of a-z A-Z 0-9 - _ .", "correct the name");
  }
  if (raw_.platform != kMemoryPlatform) {
    if (!raw_.platform.starts_with(kHttpPlatform)) {
      return Fail(Errc::kInvalidSetting, "--platform " + raw_.platform,
                  "memory: or http://IP:PORT", "correct the address");
    }
    const auto address =
        ParseAddress("--platform", raw_.platform.substr(kHttpPlatform.size()));
    if (!address) return tl::unexpected(address.error());
    settings_.platform = *address;
  }
  settings_.fd_limit = static_cast<int>(fd_limit_);
  settings_.driver.limits.message.head_bytes = header_limit_;
  settings_.driver.limits.message.body_bytes = body_limit_;
  settings_.driver.limits.connections = connection_limit_;
  settings_.driver.limits.receive_buffer_bytes =
      BytesOfKib(receive_buffer_kib_);
  settings_.driver.limits.pipeline.requests = pipelined_requests_;
  settings_.driver.limits.memory.body_bytes =
      BytesOfKib(settings_.kernel.body_memory_kib);
  settings_.driver.limits.memory.buffer_bytes = BytesOfKib(buffer_memory_kib_);
  settings_.driver.delay_callers_until_ready = true;
  settings_.kernel.seed = std::random_device{}();
  Result<void> resolved = CheckAddressesDiffer(settings_);
  if (resolved) resolved = ResolveProfile();
  if (resolved) {
    resolved = ParseName("--choice", raw_.choice, settings_.kernel.choice);
  }
  if (resolved) resolved = ResolveQuota();
  if (resolved) {
    resolved = ParseName("--log-format", raw_.log_format, settings_.log_format);
  }
  if (resolved) {
    resolved = ParseName("--log-level", raw_.log_level, settings_.log_level);
  }
  return resolved;
}

/// Applies the profile to the settings for which neither the flag nor the
/// variable is set.
Result<void> SettingsParser::ResolveQuota() {
  QuotaMode mode = QuotaMode::kIgnored;
  const Result<void> parsed = ParseName("--quota", raw_.quota, mode);
  if (!parsed) return parsed;
  FleetStart start = FleetStart::kAgain;
  const Result<void> start_parsed =
      ParseName("--fleet-start", raw_.fleet_start, start);
  if (!start_parsed) return start_parsed;
  settings_.kernel.enforces_quota = mode == QuotaMode::kEnforced;
  settings_.kernel.is_first_start = start == FleetStart::kFirst;
  return {};
}

Result<void> SettingsParser::ResolveProfile() {
  KernelSettings& kernel = settings_.kernel;
  auto profile = SpreadingProfile::kBalanced;
  const auto parsed_profile = ParseName("--profile", raw_.profile, profile);
  if (!parsed_profile) return parsed_profile;
  const auto spreading =
      ParseName("--spreading", raw_.spreading, kernel.spreading);
  if (!spreading) return spreading;
  KernelSettings profile_settings = kernel;
  ApplyProfile(profile, profile_settings);
  const auto is_unset = [this](const char* flag) {
    return app_.get_option(flag)->empty();
  };
  const std::pair<const char*, uint32_t KernelSettings::*> fields[] = {
      {"--spreading-fanout", &KernelSettings::spreading_fanout},
      {"--probe-period-ms", &KernelSettings::probe_period_ms},
      {"--suspicion-ms", &KernelSettings::suspicion_ms},
      {"--head-read-interval-ms", &KernelSettings::head_read_interval_ms}};
  for (const auto& [flag, field] : fields) {
    if (is_unset(flag)) kernel.*field = profile_settings.*field;
  }
  if (is_unset("--spreading")) kernel.spreading = profile_settings.spreading;
  return {};
}

ParsedSettings SettingsParser::Parse(int argc, char** argv) {
  try {
    app_.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) {
      app_.exit(error);
      return {{}, true, 0};
    }
    const Failure failure{
        Errc::kInvalidSetting, error.what(),
        "flags, BUCKTHORNCART_ variables and values as --help lists "
        "them",
        "run buckthorncartd --help"};
    std::cerr << "buckthorncartd: " << failure.Describe() << '\n';
    return {{}, true, kUsageStatus};
  }
  const Result<void> resolved = Resolve();
  if (!resolved) {
    std::cerr << "buckthorncartd: " << resolved.error().Describe() << '\n';
    return {{}, true, kUsageStatus};
  }
  return {settings_, false, 0};
}

}  // namespace

ParsedSettings ParseDaemonSettings(int argc, char** argv) {
  return SettingsParser().Parse(argc, argv);
}

}  // namespace buckthorncart
