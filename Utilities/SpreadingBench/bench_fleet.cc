#include "SpreadingBench/bench_fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "Net/http_client.h"
#include "Net/loop.h"

namespace buckthorncart {
namespace {

constexpr uint16_t kPeerPort = 7400;
constexpr uint16_t kCallersPort = 7401;
constexpr uint16_t kOperatorsPort = 7402;
constexpr uint16_t kBackendPort = 7403;
constexpr uint16_t kPlatformPort = 7500;
constexpr uint32_t kPlatformHost = 250;
constexpr uint32_t kDataCentres = 5;
constexpr int kFdLimit = 512;
constexpr Duration kPollInterval = 250ms;
constexpr double kBytesPerKilobyte = 1024;

/// Network 127.A.B.0/24, derived from the process id and distinct from the
/// networks of the tests.
uint32_t NetworkOfThisProcess() {
  const auto pid = static_cast<uint32_t>(getpid());
  constexpr uint32_t kFirst = 4;
  const uint32_t a = kFirst + (pid >> 8U) % 8;
  return (127U << 24U) | (a << 16U) | ((pid & 0xFFU) << 8U);
}

double CpuSecondsOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // Fields 14 and 15 are located relative to the end of the command name, since
  // the name, which ends with ')', may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentBytesOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string field;
  while (file >> field) {
    if (field != "VmRSS:") continue;
    double kilobytes = 0;
    file >> kilobytes;
    return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

}  // namespace

BenchFleet::BenchFleet(FleetSettings settings)
    : settings_(std::move(settings)), network_(NetworkOfThisProcess()) {}

BenchFleet::~BenchFleet() {
  for (const auto& [name, pid] : processes_) kill(pid, SIGKILL);
  for (const auto& [name, pid] : processes_) waitpid(pid, nullptr, 0);
}

Address BenchFleet::AddressOf(uint32_t host, uint16_t port) const {
  return {network_ + host, port};
}

Address BenchFleet::Platform() const {
  return AddressOf(kPlatformHost, kPlatformPort);
}

Address BenchFleet::Operators(uint32_t n) const {
  return AddressOf(n, kOperatorsPort);
}

std::string BenchFleet::LogOf(uint32_t n) const {
  return settings_.logs + "/daemon-" + std::to_string(n) + ".log";
}

void BenchFleet::Spawn(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments) {
  const std::string path = settings_.programs + "/" + program;
  std::vector<std::string> command_line = {path};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& argument : command_line) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const std::string log = settings_.logs + "/" + name + ".log";
  constexpr int kMode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, kMode);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null",
                                   O_WRONLY, kMode);
  pid_t pid = 0;
  const int failed =
      posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed == 0) processes_[name] = pid;
}

void BenchFleet::StartPlatform() {
  Spawn("platform", "platform_standin", {"--listen", Platform().ToString()});
  std::this_thread::sleep_for(kPollInterval);
}

void BenchFleet::StartDaemons() {
  std::string peers;
  for (uint32_t n = 1; n <= std::min(kDataCentres, settings_.size); ++n) {
    peers += (n == 1 ? "" : ",") + AddressOf(n, kPeerPort).ToString();
  }
  for (uint32_t n = 1; n <= settings_.size; ++n) {
    const std::string data_centre = "dc-" + std::to_string(n % kDataCentres);
    std::vector<std::string> arguments = {
        "--peer-address",   AddressOf(n, kPeerPort).ToString(),
        "--callers",        AddressOf(n, kCallersPort).ToString(),
        "--operators",      Operators(n).ToString(),
        "--backend-server", AddressOf(n, kBackendPort).ToString(),
        "--data-centre",    data_centre,
        "--peer",           peers,
        "--platform",       "http://" + Platform().ToString()};
    arguments.insert(arguments.end(), settings_.daemon_flags.begin(),
                     settings_.daemon_flags.end());
    Spawn("daemon-" + std::to_string(n), "buckthorncartd", arguments);
  }
}

std::vector<std::string> BenchFleet::MetricsPages() const {
  std::vector<Exchange> exchanges;
  for (uint32_t n = 1; n <= settings_.size; ++n) {
    exchanges.push_back({Operators(n), {"GET", "/metrics", {}, ""}, 0, {}});
  }
  RunExchanges(exchanges, 10s);
  std::vector<std::string> pages;
  for (const Exchange& exchange : exchanges) pages.push_back(exchange.body);
  return pages;
}

bool BenchFleet::WaitUntilJoined(Duration timeout) const {
  const Time end = Loop::Now() + timeout;
  while (Loop::Now() < end) {
    const std::vector<std::string> pages = MetricsPages();
    const bool joined =
        std::all_of(pages.begin(), pages.end(), [this](const auto& page) {
          return MetricOf(page, "members") >= settings_.size &&
                 MetricOf(page, "configuration_floor_known") > 0;
        });
    if (joined) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

DaemonUsage BenchFleet::UsageOf(uint32_t n, const std::string& metrics) const {
  const auto it = processes_.find("daemon-" + std::to_string(n));
  if (it == processes_.end()) return {};
  return {MetricOf(metrics, "control_sent_bytes_total"),
          CpuSecondsOf(it->second), ResidentBytesOf(it->second)};
}

void RunExchanges(std::vector<Exchange>& exchanges, Duration timeout) {
  Loop loop(kFdLimit);
  size_t pending = exchanges.size();
  HttpClient client(
      loop, [&](uint64_t id, const AnswerPart& part, BackendFault fault) {
        Exchange& exchange = exchanges[id];
        if (part.IsHead()) exchange.status = part.status;
        exchange.body += part.body;
        if (part.end == AnswerEnd::kMore) return;
        if (fault != BackendFault::kNone) exchange.status = 0;
        if (--pending == 0) loop.Stop();
      });
  if (client.Open("bench")) {
    loop.RunIn(timeout, [&loop] { loop.Stop(); });
    for (size_t i = 0; i < exchanges.size(); ++i) {
      client.Send(i, exchanges[i].to, exchanges[i].request);
    }
    if (pending > 0) loop.Run();
  }
  loop.Close();
}

double MetricOf(const std::string& page, const std::string& name) {
  const std::string start = "\nbuckthorncart_" + name + " ";
  const size_t at = page.find(start);
  if (at == std::string::npos) return 0;
  return std::strtod(page.c_str() + at + start.size(), nullptr);
}

}  // namespace buckthorncart
