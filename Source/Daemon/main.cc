/// \file
/// `buckthorncartd`, the sidecar daemon of a backend server.

#include <iostream>

#include "Daemon/address_check.h"
#include "Daemon/daemon_process.h"
#include "Daemon/daemon_settings.h"
#include "Net/api_key_digest.h"
#include "Net/http_platform.h"
#include "Net/memory_platform.h"

namespace buckthorncart {
namespace {

/// Runs the daemon with the configured platform adapter until it has drained.
int RunDaemon(const DaemonSettings& settings) {
  HttpTranslator no_translation;
  ApiKeyTranslator key_translation;
  HttpTranslator& translation =
      settings.kernel.checks_api_keys ? key_translation : no_translation;
  DaemonProcess process("buckthorncartd", settings, translation);
  if (!settings.platform.IsSet()) {
    MemoryPlatform memory(process.GetLoop(), process.ReplyHandler());
    return process.Run(EraseAdapter(memory));
  }
  HttpPlatform http(process.GetLoop(), settings.platform,
                    process.ReplyHandler());
  const auto opened = http.Open();
  if (!opened) return process.Report(opened.error());
  return process.Run(EraseAdapter(http));
}

/// Performs `--check` and returns the exit status.
int CheckSettings(const DaemonSettings& settings) {
  const Result<void> checked = CheckAddressesAreLocal(settings);
  if (!checked) {
    std::cerr << "buckthorncartd: " << checked.error().Describe() << '\n';
    return kUsageStatus;
  }
  std::cout << "settings are valid\n";
  return 0;
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) {
  const auto parsed = buckthorncart::ParseDaemonSettings(argc, argv);
  if (parsed.exit) return parsed.exit_status;
  if (parsed.settings.check) {
    return buckthorncart::CheckSettings(parsed.settings);
  }
  return buckthorncart::RunDaemon(parsed.settings);
}
