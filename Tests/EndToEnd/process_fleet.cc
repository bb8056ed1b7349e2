#include "EndToEnd/process_fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
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
constexpr Duration kPollInterval = 20ms;

uint32_t NextNetwork() {
  static uint32_t count = 0;
  const auto pid = static_cast<uint32_t>(getpid());
  // Network 127.A.B.0/24, derived from the process id; the fleets of one
  // process differ in A.
  const uint32_t a = 16 + ((pid >> 8U) + 64 * count++) % 224;
  return (127U << 24U) | (a << 16U) | ((pid & 0xFFU) << 8U);
}

}  // namespace

ProcessFleet::ProcessFleet() : network_(NextNetwork()) {}

ProcessFleet::~ProcessFleet() {
  for (const auto& [name, pid] : processes_) kill(pid, SIGKILL);
  for (const auto& [name, pid] : processes_) waitpid(pid, nullptr, 0);
}

Address ProcessFleet::AddressOf(uint32_t host, uint16_t port) const {
  return {network_ + host, port};
}

Address ProcessFleet::Platform() const {
  return AddressOf(kPlatformHost, kPlatformPort);
}
Address ProcessFleet::Callers(uint32_t n) const {
  return AddressOf(n, kCallersPort);
}
Address ProcessFleet::Operators(uint32_t n) const {
  return AddressOf(n, kOperatorsPort);
}
Address ProcessFleet::Backend(uint32_t n) const {
  return AddressOf(n, kBackendPort);
}

pid_t ProcessFleet::StartProgram(const std::string& name,
                                 const std::string& program,
                                 const std::vector<std::string>& arguments,
                                 const std::string& output) {
  const std::string path = std::string(PROGRAM_DIRECTORY) + "/" + program;
  std::vector<std::string> command_line = {path};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& argument : command_line) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = output.empty() ? name + ".log" : output;
  constexpr int kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  processes_[name] = pid;
  return pid;
}

void ProcessFleet::StartPlatform() {
  StartProgram("platform", "platform_standin",
               {"--listen", Platform().ToString()});
  WaitFor([this] { return Get(Platform(), "/statistics").status != 0; });
}

pid_t ProcessFleet::StartDaemon(uint32_t n, uint32_t size,
                                const std::vector<std::string>& flags) {
  constexpr uint32_t kDataCentres = 3;
  std::string peers;
  for (uint32_t i = 1; i <= size; ++i) {
    peers += (i == 1 ? "" : ",") + AddressOf(i, kPeerPort).ToString();
  }
  const auto letter = static_cast<char>('a' + (n - 1) % kDataCentres);
  std::vector<std::string> arguments = {
      "--peer-address",   AddressOf(n, kPeerPort).ToString(),
      "--callers",        Callers(n).ToString(),
      "--operators",      Operators(n).ToString(),
      "--backend-server", Backend(n).ToString(),
      "--data-centre",    std::string("nl-west-") + letter,
      "--peer",           peers,
      "--platform",       "http://" + Platform().ToString()};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return StartProgram("daemon-" + std::to_string(n), "buckthorncartd",
                      arguments);
}

void ProcessFleet::StartBackendServer(uint32_t n, const std::string& service,
                                      const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = {"--listen",  Backend(n).ToString(),
                                        "--daemon",  Operators(n).ToString(),
                                        "--service", service};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  StartProgram("backend-" + std::to_string(n), "backend_server_standin",
               arguments);
}

void ProcessFleet::Signal(const std::string& name, int signal) {
  kill(processes_.at(name), signal);
}

int ProcessFleet::WaitForExit(const std::string& name, Duration timeout) {
  const pid_t pid = processes_.at(name);
  int status = 0;
  const bool ended =
      WaitFor([&] { return waitpid(pid, &status, WNOHANG) == pid; }, timeout);
  if (!ended) return -1;
  processes_.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

FetchResult ProcessFleet::Fetch(Address to, const HttpRequest& request,
                                Duration timeout) const {
  constexpr int kFdLimit = 64;
  Loop loop(kFdLimit);
  FetchResult result;
  bool ended = false;
  HttpClient client(
      loop, [&](uint64_t /*id*/, const AnswerPart& part, BackendFault fault) {
        if (part.IsHead()) {
          result.status = part.status;
          result.headers = part.headers;
        }
        result.body += part.body;
        if (part.end == AnswerEnd::kMore) return;
        if (fault != BackendFault::kNone) result.status = 0;
        ended = true;
        loop.Stop();
      });
  if (client.Open("fetch")) {
    loop.RunIn(timeout, [&loop] { loop.Stop(); });
    client.Send(1, to, request);
    if (!ended) loop.Run();
  }
  loop.Close();
  if (!ended) result.status = 0;
  return result;
}

FetchResult ProcessFleet::Get(Address to, const std::string& path) const {
  return Fetch(to, {"GET", path, {}, ""});
}

FetchResult ProcessFleet::Post(Address to, const std::string& path,
                               const std::string& body) const {
  return Fetch(to, {"POST", path, {}, body});
}

uint64_t PeakMemoryKiB(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  constexpr std::string_view kField = "VmHWM:";
  while (std::getline(in, line)) {
    if (!line.starts_with(kField)) continue;
    return std::strtoull(line.c_str() + kField.size(), nullptr, 10);
  }
  return 0;
}

bool WaitFor(const std::function<bool()>& done, Duration timeout) {
  const Time end = Loop::Now() + timeout;
  while (!done()) {
    if (Loop::Now() > end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace buckthorncart
