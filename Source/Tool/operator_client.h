#pragma once
/// \file
/// Synchronous client of the operators' interface.

#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Wire/http.h"

namespace buckthorncart {

struct OperatorAnswer {
  uint16_t status = 0;
  std::string body;
  /// Daemon that sent the answer.
  Address daemon;
};

/// Sends each request to the first of several daemons that can be reached.
class OperatorClient {
 public:
  OperatorClient(std::vector<Address> daemons, Duration timeout)
      : daemons_(std::move(daemons)), timeout_(timeout) {}

  /// Fails with `kDaemonUnreachable` when no daemon can be reached, and with
  /// `kTimeout` when a daemon was reached but did not answer in time or broke
  /// the connection. A request that may have reached a daemon is not sent to
  /// another one.
  Result<OperatorAnswer> Fetch(const HttpRequest& request) const;

 private:
  std::vector<Address> daemons_;
  Duration timeout_;
};

}  // namespace buckthorncart
