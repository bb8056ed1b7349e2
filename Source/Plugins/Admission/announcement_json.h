#pragma once
/// \file
/// JSON form of a backend server's announcement.

#include <string>

#include "Base/result.h"
#include "Wire/member.h"

namespace buckthorncart {

/// An announcement with its place among those of one start.
struct ReceivedAnnouncement {
  BackendAnnouncement backend;
  /// Grows with each announcement of one start; 0 if it does not tell.
  uint64_t sequence = 0;
};

/// Reads `{"service", "state", "slots", "labels", "id", "started_ms",
/// "sequence"}`; all but the first three may be missing, and all but `state`
/// where it is `absent`.
/// Fails with `kInvalidValue`, naming the field.
Result<ReceivedAnnouncement> ParseAnnouncement(const std::string& body);

}  // namespace buckthorncart
