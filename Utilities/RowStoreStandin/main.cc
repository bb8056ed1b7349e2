/// \file
/// `row_store_standin`, a test double of the users' row store.

#include <CLI/CLI.hpp>
#include <iostream>

#include "Net/loop.h"
#include "RowStoreStandin/row_store_standin.h"

int main(int argc, char** argv) {
  constexpr int kFdLimit = 2'048;
  constexpr int kUsageStatus = 2;
  CLI::App app("row_store_standin, a test double of the users' row store");
  std::string listen;
  app.add_option("--listen", listen, "IP:PORT")->required();
  CLI11_PARSE(app, argc, argv);
  const auto address = buckthorncart::Address::Parse(listen);
  if (!address) {
    std::cerr << address.error().Describe() << '\n';
    return kUsageStatus;
  }
  buckthorncart::Loop loop(kFdLimit);
  buckthorncart::RowStoreStandin standin(loop);
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
