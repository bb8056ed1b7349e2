#pragma once
/// \file
/// Checks of the daemon's own addresses.

#include "Base/result.h"

namespace buckthorncart {

struct DaemonSettings;

/// Fails with `kInvalidSetting`, naming both flags, when two of the daemon's
/// addresses are the same.
Result<void> CheckAddressesDiffer(const DaemonSettings& settings);

/// Fails with `kInvalidSetting`, naming the flag, when an address cannot be
/// bound on this VM. Ports are not taken, so that a running daemon does not
/// disturb the check.
Result<void> CheckAddressesBelongHere(const DaemonSettings& settings);

}  // namespace buckthorncart
