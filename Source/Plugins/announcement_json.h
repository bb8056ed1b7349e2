#pragma once
/// \file
/// JSON form of a backend server's announcement.

#include <string>

#include "Base/result.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Reads `{"service", "state", "slots", "labels"}`; `labels` may be missing.
/// Fails with `kInvalidValue`, naming the field.
Result<BackendAnnouncement> ParseAnnouncement(const std::string& body);

}  // namespace buckthorncart
