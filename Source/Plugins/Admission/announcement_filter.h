#pragma once
/// \file
/// Filter for outdated announcements of the local backend server.

#include <cstdint>
#include <string>

#include "Plugins/Admission/announcement_json.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Rejects announcements that were delayed in transit: those of an earlier
/// start, and those that precede the last accepted one of the same start. A
/// backend server that has announced that it is draining or absent cannot
/// become ready again within the same start. A final announcement that does not
/// name a start ends every start of that id up to the moment of its arrival.
class AnnouncementFilter {
 public:
  /// Returns true if `announcement`, which arrived at `wall_ms` (milliseconds
  /// since the epoch), is up to date, and records it. The order is not checked
  /// if it has neither a start time nor a sequence number.
  bool Accept(const ReceivedAnnouncement& announcement, uint64_t wall_ms) {
    const BackendAnnouncement& backend = announcement.backend;
    if (backend.started_ms != 0 && backend.started_ms < started_ms_) {
      return false;
    }
    const bool same_start =
        backend.started_ms == started_ms_ && backend.id == id_;
    const bool has_sequence = announcement.sequence != 0;
    if (same_start && has_sequence && announcement.sequence <= sequence_)
      return false;
    const bool is_leaving = backend.state == BackendState::kDraining ||
                            backend.state == BackendState::kAbsent;
    // The final announcement of another instance does not apply to the current
    // one.
    const bool other_instance =
        !id_.empty() && !backend.id.empty() && backend.id != id_;
    if (backend.state == BackendState::kAbsent && other_instance) return false;
    if (same_start && !id_.empty() && leaving_ && !is_leaving) return false;
    if (!is_leaving && HasEnded(backend)) return false;
    leaving_ = is_leaving;
    id_ = backend.id;
    if (backend.started_ms != 0) started_ms_ = backend.started_ms;
    ended_at_ms_ = is_leaving && started_ms_ == 0 ? wall_ms : 0;
    sequence_ = announcement.sequence;
    return true;
  }

 private:
  /// Returns true if `backend` is a start that a final announcement without a
  /// start time has ended.
  bool HasEnded(const BackendAnnouncement& backend) const {
    return ended_at_ms_ != 0 && !id_.empty() && backend.id == id_ &&
           backend.started_ms <= ended_at_ms_;
  }

  std::string id_;
  uint64_t started_ms_ = 0;
  uint64_t sequence_ = 0;
  bool leaving_ = false;
  /// When a final announcement arrived while the start time was unknown; 0 if
  /// none did.
  uint64_t ended_at_ms_ = 0;
};

}  // namespace buckthorncart
