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
///
/// A start that looks outdated, because a wall clock was set back or a number
/// was wrong, is taken once it has announced itself for longer than an
/// announcement can be delayed, while the recorded start has been silent.
class AnnouncementFilter {
 public:
  /// Until `EndAwaiting` is called, a start is accepted only when it has
  /// announced itself for that long, unless it announces no id or is about as
  /// young as this process, which started at `started_ms` (milliseconds since
  /// the epoch).
  void AwaitRecord(uint64_t started_ms) {
    awaiting_record_ = true;
    process_started_ms_ = started_ms;
  }
  void EndAwaiting() { awaiting_record_ = false; }
  bool IsAwaitingRecord() const { return awaiting_record_; }

  /// Takes over what an earlier process of this daemon knew; `earlier` has no
  /// id if that is nothing. May be called again with other sources, the newest
  /// of which applies. Returns true if the start that is known last has thereby
  /// ended.
  bool Restore(const BackendAnnouncement& earlier);

  /// Returns true if `announcement`, which arrived at `wall_ms` (milliseconds
  /// since the epoch), is up to date, and records it. The order is not checked
  /// if it has neither a start time nor a sequence number.
  bool Accept(const ReceivedAnnouncement& announcement, uint64_t wall_ms);

  /// Start time up to which the starts of the announced id have ended,
  /// milliseconds since the epoch; 0 if none has.
  uint64_t EndedThrough() const { return ended_through_ms_; }

  static bool IsLeaving(BackendState state) {
    return state == BackendState::kDraining || state == BackendState::kAbsent;
  }

 private:
  /// A start that announces itself although it looks outdated.
  struct Candidate {
    std::string id;
    uint64_t started_ms = 0;
    uint64_t sequence = 0;
    /// Arrival of its first announcement.
    uint64_t since_ms = 0;
  };

  bool IsUpToDate(const ReceivedAnnouncement& announcement,
                  uint64_t wall_ms) const;
  bool HasEnded(const BackendAnnouncement& backend) const;
  /// Returns true if an earlier process may have acknowledged the end of the
  /// start.
  bool MayHaveEnded(const BackendAnnouncement& backend) const;
  bool TakesOver(const ReceivedAnnouncement& announcement, uint64_t wall_ms);
  void Record(const ReceivedAnnouncement& announcement, uint64_t wall_ms);

  std::string id_;
  uint64_t started_ms_ = 0;
  uint64_t sequence_ = 0;
  uint64_t ended_through_ms_ = 0;
  bool awaiting_record_ = false;
  uint64_t process_started_ms_ = 0;
  /// False while all that is known comes from `Restore`.
  bool accepted_any_ = false;
  Candidate candidate_;
};

}  // namespace buckthorncart
