#pragma once
/// \file
/// Records outside of this process that the local backend server is leaving.

#include <concepts>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Platform/platform_messages.h"
#include "Wire/member.h"

namespace buckthorncart {

enum class LeaveRecordCounter : uint8_t { kReads, kWrites, kHeldByPeers };

template <>
struct EnumNames<LeaveRecordCounter> {
  static constexpr std::string_view kNames[] = {
      "leave_record_reads_total", "leave_record_writes_total",
      "leave_record_held_by_peers_total"};
};

/// Key of the row in which the daemon at `address` records that its backend
/// server is leaving.
std::string LeaveRecordKey(Address address);

/// Returns true if both are announcements of one start of a backend server.
inline bool IsSameStart(const BackendAnnouncement& a,
                        const BackendAnnouncement& b) {
  return a.id == b.id && a.started_ms == b.started_ms;
}

/// Policy type of `LeaveRecord`. Only tests disable a rule.
template <typename R>
concept LeaveRecordRules = requires {
  { R::kUsePlatform } -> std::convertible_to<bool>;
  { R::kDoubtAbsence } -> std::convertible_to<bool>;
  { R::kStoreAgain } -> std::convertible_to<bool>;
};

struct StandardLeaveRecordRules {
  /// The end of a start is written to the platform and read at the start.
  static constexpr bool kUsePlatform = true;
  /// A platform without the end of a start does not prove that an earlier
  /// process has acknowledged none.
  static constexpr bool kDoubtAbsence = true;
  /// The row is written again after a restore of the platform's store.
  static constexpr bool kStoreAgain = true;
};

/// A daemon that is restarted must not take a delayed announcement for the
/// first one of a backend server that it has told callers no longer to use. It
/// therefore writes the end of each start to the platform before that is
/// acknowledged, and reads it when it starts. While the platform does not
/// answer, the member records at two other daemons take its place.
///
/// If all of them end before the platform answers again, nobody knows of the
/// acknowledgement. A platform without a record is therefore no proof, and the
/// new process waits for a daemon that has run all the time, for the health
/// check of the backend server, or until that has announced itself for longer
/// than an announcement can be late. Only a missing row proves that no process
/// has run at this address before: the first one writes a row without an end of
/// a start.
///
/// Load on the platform: one read at the start of a daemon, one write for the
/// first process at an address, for each backend server that leaves and for
/// each restore of the store; each is repeated once a second until it is
/// answered.
template <LeaveRecordRules Rules>
class LeaveRecord : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void Read(Context& ctx);
  void Write(Context& ctx);
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void HandleRow(Context& ctx, const PlatformReply& reply);
  void HandleBackend(Context& ctx, const BackendAnnouncement& backend);
  void HandleTick(Context& ctx);
  void HandleRestore(Context& ctx);
  bool HasLeave() const { return !leaving_.id.empty(); }
  /// Returns true if enough other daemons know of the end of the start.
  bool IsHeldByPeers(Context& ctx) const;
  void Finish(Context& ctx);

  /// The start that is recorded last or being recorded, and the value of the
  /// row; no id if there is none.
  BackendAnnouncement leaving_;
  /// True once `leaving_` is recorded anywhere.
  bool recorded_ = false;
  /// Whether the platform has the row, as far as this daemon knows, or none is
  /// needed yet.
  bool stored_ = true;
  /// Whether the row of an earlier process has been read.
  bool read_ = false;
  Time leaving_since_{};
  /// Sequence number of the first own member record with `leaving_`.
  uint64_t own_sequence_ = 0;
  /// Daemons that have received that record.
  std::set<Address> holders_;
  uint64_t read_tag_ = 0;
  uint64_t write_tag_ = 0;
  Time next_read_{};
  Time next_write_{};
  Counters<LeaveRecordCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Admission/leave_record_inl.h"
