/// \file
/// `backend_server_standin`, a backend server for tests.

#include <CLI/CLI.hpp>
#include <iostream>

#include "BackendServerStandin/backend_server_standin.h"
#include "Net/loop.h"

namespace buckthorncart {
namespace {

int RunStandin(int argc, char** argv) {
  constexpr int kFdLimit = 2'048;
  constexpr int kUsageStatus = 2;
  CLI::App app("backend_server_standin, a backend server for tests");
  BackendServerSettings settings;
  std::string listen;
  std::string daemon;
  uint32_t time_us = 2'000;
  uint32_t cold_start_ms = 0;
  std::vector<std::string> labels;
  app.add_option("--listen", listen, "IP:PORT")->required();
  app.add_option("--daemon", daemon, "operators' IP:PORT of its daemon")
      ->required();
  app.add_option("--service", settings.service, "service name")->required();
  app.add_option("--slots", settings.slots,
                 "maximum number of concurrent requests");
  app.add_option("--time-us", time_us, "processing time of a request, us");
  app.add_option("--cold-start-ms", cold_start_ms,
                 "time from start until ready, ms");
  app.add_option("--label", labels, "KEY=VALUE");
  CLI11_PARSE(app, argc, argv);
  for (const auto& [text, target] : {std::pair{&listen, &settings.listen},
                                     std::pair{&daemon, &settings.daemon}}) {
    const auto address = Address::Parse(*text);
    if (!address) {
      std::cerr << address.error().Describe() << '\n';
      return kUsageStatus;
    }
    *target = *address;
  }
  for (const std::string& label : labels) {
    const size_t equals = label.find('=');
    if (equals == std::string::npos) continue;
    settings.labels[label.substr(0, equals)] = label.substr(equals + 1);
  }
  settings.service_time = Duration(time_us);
  settings.cold_start = std::chrono::milliseconds(cold_start_ms);
  Loop loop(kFdLimit);
  BackendServerStandin standin(loop, settings);
  const auto started = standin.Start();
  if (!started) {
    loop.Close();
    std::cerr << started.error().Describe() << '\n';
    return 1;
  }
  loop.OnShutdownSignal([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) {
  return buckthorncart::RunStandin(argc, argv);
}
