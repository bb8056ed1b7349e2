#pragma once
/// \file
/// Writes full snapshots to the platform's object store.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Config/snapshot.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Configuration/configuration_rows.h"

namespace buckthorncart {

struct PlatformReply;

enum class SnapshotCounter : uint8_t { kWritten, kFailed, kWrittenByOthers };

template <>
struct EnumNames<SnapshotCounter> {
  static constexpr std::string_view kNames[] = {
      "configuration_snapshots_written_total",
      "configuration_snapshot_writes_failed_total",
      "configuration_snapshots_written_by_others_total"};
};

/// Every `snapshot_every` versions one daemon, selected among the live ones by
/// rendezvous hash, writes the configuration that it holds and then updates the
/// row `snapshot` to refer to it. The load is one read, one object and one
/// transaction per `snapshot_every` versions, regardless of the number of
/// daemons. If the writer dies first, another daemon is selected once
/// membership considers it gone.
class SnapshotWriter : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  enum class Step : uint8_t { kIdle, kReadRow, kPutObject, kWriteRow };

  void StartIfDue(Context& ctx);
  bool IsChosenWriter(Context& ctx, uint64_t block) const;
  void HandleReply(Context& ctx, const PlatformReply& reply);
  void HandleRow(Context& ctx, const PlatformReply& reply);
  void WriteRow(Context& ctx);
  void Finish(bool written);

  Step step_ = Step::kIdle;
  std::optional<uint64_t> request_tag_;
  /// Version being written, divided by `snapshot_every`.
  uint64_t block_ = 0;
  /// Highest block known to be written.
  uint64_t written_block_ = 0;
  SnapshotPtr snapshot_;
  /// Encoded row before the write; empty if the row doesn't exist.
  std::optional<std::string> old_row_;
  Counters<SnapshotCounter> counters_;
};

}  // namespace buckthorncart
