#pragma once
/// \file
/// In-memory table and object store.

#include <map>
#include <string>

#include "Platform/platform_messages.h"

namespace buckthorncart {

/// Stores the data of the embedded platform and of the platform stand-in.
class MemoryTable {
 public:
  /// Carries out `request`. A watch returns at once, with the row if it has
  /// changed.
  PlatformReply Apply(const PlatformRequest& request);
  /// Returns the version of the table. Every applied transaction increments it.
  uint64_t Version() const { return version_; }
  size_t RowCount() const { return rows_.size(); }

 private:
  PlatformReply ApplyOne(const Transaction& transaction);
  PlatformReply ApplyOne(const ReadRows& read) const;
  PlatformReply ApplyOne(const ScanRows& scan) const;
  PlatformReply ApplyOne(const PutObject& put);
  PlatformReply ApplyOne(const GetObject& get) const;
  PlatformReply ApplyOne(const WatchRow& watch) const;
  bool IsMet(const Condition& condition) const;

  std::map<std::string, std::string> rows_;
  std::map<std::string, std::string> objects_;
  /// Version of the last write to each row, including deleted rows.
  std::map<std::string, uint64_t> versions_;
  uint64_t version_ = 0;
};

}  // namespace buckthorncart
