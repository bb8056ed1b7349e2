#pragma once
/// \file
/// Interface through which other plug-ins use the crash guard.

#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

class Context;

/// Records which requests, by fingerprint, have crashed backend servers.
class CrashRegister {
 public:
  virtual ~CrashRegister() = default;
  /// Records that the connection to the backend server broke while it ran the
  /// request. Returns true if the request is suspected of having crashed it and
  /// must not be retried.
  virtual bool RecordConnectionBreak(Context& ctx, uint64_t fingerprint) = 0;
  /// Records that the backend server has answered the request.
  virtual void RecordSuccess(Context& ctx, uint64_t fingerprint) = 0;
  /// True while the request must not run anywhere.
  virtual bool IsBlocked(Time now, uint64_t fingerprint) const = 0;
};

}  // namespace buckthorncart
