#pragma once
/// \file
/// Daemons, backend servers and a platform stand-in as processes on loopback.

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Wire/http.h"

namespace buckthorncart {

struct FetchResult {
  /// 0 if no complete answer was received.
  uint16_t status = 0;
  Headers headers;
  std::string body;
};

/// Owns the processes; the destructor kills them. Each fleet uses its own
/// loopback network.
class ProcessFleet {
 public:
  ProcessFleet();
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  void StartPlatform();
  /// Starts daemon `n` of `size`; daemons are assigned to data centres
  /// nl-west-a, -b and -c in round-robin order.
  pid_t StartDaemon(uint32_t n, uint32_t size,
                    const std::vector<std::string>& flags = {});
  void StartBackendServer(uint32_t n, const std::string& service,
                          const std::vector<std::string>& flags = {});
  /// Sends a signal to "daemon-N", "backend-N" or "platform".
  void Signal(const std::string& name, int signal);
  /// Waits for a process to exit and returns its exit status, or -1 after
  /// `timeout` or if a signal ended it.
  int WaitForExit(const std::string& name, Duration timeout);

  Address Platform() const;
  Address Callers(uint32_t n) const;
  Address Operators(uint32_t n) const;
  Address Backend(uint32_t n) const;

  FetchResult Fetch(Address to, const HttpRequest& request,
                    Duration timeout = 10s) const;
  FetchResult Get(Address to, const std::string& path) const;
  FetchResult Post(Address to, const std::string& path,
                   const std::string& body = {}) const;

  /// Starts a program of the project; its output goes to file `output`, or to
  /// NAME.log if that is empty.
  pid_t StartProgram(const std::string& name, const std::string& program,
                     const std::vector<std::string>& arguments,
                     const std::string& output = {});

 private:
  Address AddressOf(uint32_t host, uint16_t port) const;

  uint32_t network_;
  std::map<std::string, pid_t> processes_;
};

/// Peak resident memory of a process, KiB.
uint64_t PeakMemoryKiB(pid_t pid);

/// Polls `done` until it returns true; returns false after `timeout`.
bool WaitFor(const std::function<bool()>& done, Duration timeout = 20s);

}  // namespace buckthorncart
