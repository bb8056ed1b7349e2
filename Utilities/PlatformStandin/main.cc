/// \file
/// `platform_standin`, a table and an object store for tests.

#include <CLI/CLI.hpp>
#include <iostream>

#include "Net/loop.h"
#include "PlatformStandin/platform_standin.h"

int main(int argc, char** argv) {
  constexpr int kFdLimit = 2'048;
  constexpr int kUsageStatus = 2;
  CLI::App app("platform_standin, a table and an object store for tests");
  std::string listen;
  app.add_option("--listen", listen, "IP:PORT")->required();
  CLI11_PARSE(app, argc, argv);
  const auto address = buckthorncart::Address::Parse(listen);
  if (!address) {
    std::cerr << address.error().Describe() << '\n';
    return kUsageStatus;
  }
  buckthorncart::Loop loop(kFdLimit);
  buckthorncart::PlatformStandin standin(loop);
  const auto listening = standin.Listen(*address);
  if (!listening) {
    loop.Close();
    std::cerr << listening.error().Describe() << '\n';
    return 1;
  }
  loop.OnShutdownSignal([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
