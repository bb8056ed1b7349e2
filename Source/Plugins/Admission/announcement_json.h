#pragma once
/// \file
/// JSON parser for announcements of a backend server.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "Base/json_text.h"
#include "Base/result.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Limits for the text of an announcement.
inline constexpr JsonLimits kAnnouncementLimits{65'536, 8, 1'000};
/// Largest number in an announcement. Larger ones are not exact in every JSON
/// implementation.
inline constexpr uint64_t kMaxAnnouncedNumber = 1ULL << 53U;
/// Length of the longest id of a backend server, bytes.
inline constexpr size_t kMaxBackendIdLength = 200;
/// Length of the longest version of a backend server, bytes.
inline constexpr size_t kMaxVersionLength = 100;

/// Returns true if `id` may be the id of a backend server: visible ASCII, since
/// daemons send it in a header.
bool IsBackendId(std::string_view id);

/// Returns true if `version` may be the version of a backend server.
bool IsVersion(std::string_view version);

/// Fails with `kInvalidValue` if the announced version is not valid. It is not
/// part of `ParseAnnouncement`, because it matters only where roll-outs are
/// staged.
Result<void> CheckVersion(const BackendAnnouncement& backend);

/// An announcement with its sequence number.
struct ReceivedAnnouncement {
  BackendAnnouncement backend;
  /// Increases with each announcement of one start; 0 if not given.
  uint64_t sequence = 0;
};

/// Parses `{"service", "state", "slots", "labels", "id", "started_ms",
/// "sequence", "version"}`. Only `service`, `state` and `slots` are required;
/// if `state` is `absent`, only `state` is. Fails with `kInvalidValue` and the
/// name of the invalid field.
Result<ReceivedAnnouncement> ParseAnnouncement(const std::string& body);

}  // namespace buckthorncart
