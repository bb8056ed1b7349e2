#pragma once
/// \file
/// Validation of the addresses in a daemon's settings.

#include "Base/result.h"

namespace buckthorncart {

struct DaemonSettings;

/// Fails with `kInvalidSetting` when two of the daemon's addresses are equal;
/// the error contains both flags.
Result<void> CheckAddressesDiffer(const DaemonSettings& settings);

/// Fails with `kInvalidSetting` when the IP of an address cannot be bound on
/// this VM; the error contains the flag. The configured ports are not bound, so
/// that the check also passes while a daemon is running.
Result<void> CheckAddressesAreLocal(const DaemonSettings& settings);

}  // namespace buckthorncart
