#pragma once
/// \file
/// JSON parser for announcements of a backend server.

#include <string>

#include "Base/result.h"
#include "Wire/member.h"

namespace buckthorncart {

/// An announcement with its sequence number.
struct ReceivedAnnouncement {
  BackendAnnouncement backend;
  /// Increases with each announcement of one start; 0 if not given.
  uint64_t sequence = 0;
};

/// Parses `{"service", "state", "slots", "labels", "id", "started_ms",
/// "sequence"}`. Only `service`, `state` and `slots` are required; if `state`
/// is `absent`, only `state` is. Fails with `kInvalidValue` and the name of the
/// invalid field.
Result<ReceivedAnnouncement> ParseAnnouncement(const std::string& body);

}  // namespace buckthorncart
