#pragma once
/// \file
/// What plug-ins tell and ask the crash guard.

#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

class Context;

/// Knows which requests, by fingerprint, have killed backend servers.
class CrashRegister {
 public:
  virtual ~CrashRegister() = default;
  /// The connection to the backend server broke while it ran the request.
  /// Returns true if the request is suspected, so that it is not retried.
  virtual bool RecordConnectionBreak(Context& ctx, uint64_t fingerprint) = 0;
  /// The backend server has answered the request.
  virtual void RecordSuccess(Context& ctx, uint64_t fingerprint) = 0;
  /// True while the request must not run anywhere.
  virtual bool IsBlocked(Time now, uint64_t fingerprint) const = 0;
};

}  // namespace buckthorncart
