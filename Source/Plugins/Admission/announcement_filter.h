#pragma once
/// \file
/// Order of the announcements of the backend server beside a daemon.

#include <cstdint>
#include <string>

#include "Plugins/Admission/announcement_json.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Tells news from announcements that were held up on the way: those of an
/// earlier start, and earlier ones of the same start. A backend server that
/// has said that it leaves does not come back within the same start.
class AnnouncementFilter {
 public:
  /// True if `announcement` is news. One that tells neither start nor sequence
  /// always is.
  bool Accept(const ReceivedAnnouncement& announcement) {
    const BackendAnnouncement& backend = announcement.backend;
    if (backend.started_ms != 0 && backend.started_ms < started_ms_) {
      return false;
    }
    const bool same = backend.started_ms == started_ms_ && backend.id == id_;
    const bool ordered = announcement.sequence != 0;
    if (same && ordered && announcement.sequence <= sequence_) return false;
    const bool leaves = backend.state == BackendState::kDraining ||
                        backend.state == BackendState::kAbsent;
    // The last word of an earlier start says nothing about this one.
    const bool other = !id_.empty() && !backend.id.empty() && backend.id != id_;
    if (backend.state == BackendState::kAbsent && other) return false;
    if (same && !id_.empty() && leaving_ && !leaves) return false;
    leaving_ = leaves;
    id_ = backend.id;
    if (backend.started_ms != 0) started_ms_ = backend.started_ms;
    sequence_ = announcement.sequence;
    return true;
  }

 private:
  std::string id_;
  uint64_t started_ms_ = 0;
  uint64_t sequence_ = 0;
  bool leaving_ = false;
};

}  // namespace buckthorncart
