#pragma once
/// \file
/// Table and object store in memory.

#include <map>
#include <string>

#include "Platform/platform_messages.h"

namespace buckthorncart {

/// Serves the embedded platform and the platform stand-in.
class MemoryTable {
 public:
  /// A watch is answered at once, with the row if it has changed.
  PlatformReply Apply(const PlatformRequest& request);
  /// Grows with each transaction that writes.
  uint64_t Version() const { return version_; }
  size_t RowCount() const { return rows_.size(); }

 private:
  PlatformReply ApplyOne(const Transaction& transaction);
  PlatformReply ApplyOne(const ReadRows& read) const;
  PlatformReply ApplyOne(const ScanRows& scan) const;
  PlatformReply ApplyOne(const PutObject& put);
  PlatformReply ApplyOne(const GetObject& get) const;
  PlatformReply ApplyOne(const WatchRow& watch) const;
  bool Holds(const Condition& condition) const;

  std::map<std::string, std::string> rows_;
  std::map<std::string, std::string> objects_;
  /// Versions of the rows, deleted ones included.
  std::map<std::string, uint64_t> versions_;
  uint64_t version_ = 0;
};

}  // namespace buckthorncart
