#include "Plugins/Admission/announcement_filter.h"

#include <algorithm>

namespace buckthorncart {
namespace {

/// Longest time by which an announcement is expected to be late.
constexpr uint64_t kMaxDelayMs = 4'500;
/// Largest difference between the wall clocks of a backend server and of its
/// daemon that is taken for an inaccurate clock.
constexpr uint64_t kMaxClockOffsetMs = 600'000;
/// Longest time from the start of a backend server to that of its daemon if
/// both start with their VM. No backend server ends within it.
constexpr uint64_t kMaxBootMs = 1'000;

}  // namespace

bool AnnouncementFilter::Restore(const BackendAnnouncement& earlier) {
  if (earlier.id.empty()) return false;
  const bool is_newer =
      !accepted_any_ &&
      (id_.empty() ||
       earlier.started_ms > std::max(started_ms_, ended_through_ms_));
  if (is_newer) {
    id_ = earlier.id;
    // A start that has ended does not order those of other ids, whose wall
    // clock may differ.
    started_ms_ = earlier.left ? 0 : earlier.started_ms;
    ended_through_ms_ = earlier.left ? earlier.started_ms : 0;
    return earlier.left;
  }
  const bool ends_current = earlier.left && earlier.id == id_ &&
                            started_ms_ <= earlier.started_ms &&
                            ended_through_ms_ == 0;
  if (ends_current) ended_through_ms_ = earlier.started_ms;
  return ends_current;
}

bool AnnouncementFilter::Accept(const ReceivedAnnouncement& announcement,
                                uint64_t wall_ms) {
  const BackendAnnouncement& backend = announcement.backend;
  const bool is_leaving = IsLeaving(backend.state);
  if (!is_leaving && HasEnded(backend)) return false;
  const bool unconfirmed = !is_leaving && MayHaveEnded(backend);
  if (unconfirmed || !IsUpToDate(announcement, wall_ms)) {
    if (is_leaving || !TakesOver(announcement, wall_ms)) return false;
  }
  Record(announcement, wall_ms);
  return true;
}

bool AnnouncementFilter::IsUpToDate(const ReceivedAnnouncement& announcement,
                                    uint64_t wall_ms) const {
  const BackendAnnouncement& backend = announcement.backend;
  if (backend.started_ms > wall_ms + kMaxClockOffsetMs) return false;
  if (backend.started_ms != 0 && backend.started_ms < started_ms_) return false;
  const bool same_start =
      backend.started_ms == started_ms_ && backend.id == id_;
  const bool has_sequence = announcement.sequence != 0;
  // A start that leaves does not become ready again, so that the order does not
  // matter for the first such announcement.
  const bool first_leave = IsLeaving(backend.state) && ended_through_ms_ == 0;
  if (same_start && has_sequence && !first_leave &&
      announcement.sequence <= sequence_) {
    return false;
  }
  // A backend server that has named its start does so in each announcement.
  const bool lacks_start = backend.started_ms == 0 && started_ms_ != 0 &&
                           backend.id == id_ &&
                           backend.state != BackendState::kAbsent;
  if (lacks_start) return false;
  // The final announcement of another instance does not apply to the current
  // one.
  const bool other_instance =
      !id_.empty() && !backend.id.empty() && backend.id != id_;
  return backend.state != BackendState::kAbsent || !other_instance;
}

/// Returns true if `backend` is a start that an announcement has ended.
bool AnnouncementFilter::HasEnded(const BackendAnnouncement& backend) const {
  return ended_through_ms_ != 0 && !id_.empty() && backend.id == id_ &&
         backend.started_ms <= ended_through_ms_;
}

bool AnnouncementFilter::MayHaveEnded(
    const BackendAnnouncement& backend) const {
  if (!awaiting_record_ || backend.id.empty()) return false;
  return backend.started_ms == 0 ||
         backend.started_ms + kMaxBootMs < process_started_ms_;
}

/// Returns true if the start has announced itself for longer than an
/// announcement can be delayed.
bool AnnouncementFilter::TakesOver(const ReceivedAnnouncement& announcement,
                                   uint64_t wall_ms) {
  const BackendAnnouncement& backend = announcement.backend;
  const bool in_order =
      announcement.sequence == 0 || announcement.sequence > candidate_.sequence;
  const bool continues = candidate_.id == backend.id &&
                         candidate_.started_ms == backend.started_ms &&
                         in_order;
  if (!continues) {
    candidate_ = {backend.id, backend.started_ms, announcement.sequence,
                  wall_ms};
    return false;
  }
  candidate_.sequence = announcement.sequence;
  return wall_ms - candidate_.since_ms >= kMaxDelayMs;
}

void AnnouncementFilter::Record(const ReceivedAnnouncement& announcement,
                                uint64_t wall_ms) {
  const BackendAnnouncement& backend = announcement.backend;
  const bool same_id = backend.id == id_;
  uint64_t started_ms = backend.started_ms;
  if (started_ms == 0 && same_id) started_ms = started_ms_;
  ended_through_ms_ = 0;
  if (IsLeaving(backend.state)) {
    ended_through_ms_ = started_ms == 0 ? wall_ms : started_ms;
  }
  id_ = backend.id;
  if (started_ms != 0) started_ms_ = started_ms;
  sequence_ = announcement.sequence;
  accepted_any_ = true;
  const bool is_proof = !IsLeaving(backend.state) && !backend.id.empty();
  if (is_proof) awaiting_record_ = false;
  candidate_ = {};
}

}  // namespace buckthorncart
