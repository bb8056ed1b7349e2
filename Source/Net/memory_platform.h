#pragma once
/// \file
/// In-process platform, the default for a deployment on a single machine.

#include <cstdint>

#include "Net/loop.h"
#include "Platform/memory_table.h"
#include "Platform/platform_adapter.h"

namespace buckthorncart {

class MemoryPlatform {
 public:
  MemoryPlatform(Loop& loop, PlatformReplyHandler handler);
  void Submit(uint64_t tag, const PlatformRequest& request);

 private:
  Loop& loop_;
  PlatformReplyHandler handler_;
  MemoryTable table_;
};

}  // namespace buckthorncart
