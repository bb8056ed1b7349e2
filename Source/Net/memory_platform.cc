#include "Net/memory_platform.h"

#include <utility>

namespace buckthorncart {

MemoryPlatform::MemoryPlatform(Loop& loop, PlatformReplyHandler handler)
    : loop_(loop), handler_(std::move(handler)) {}

void MemoryPlatform::Submit(uint64_t tag, const PlatformRequest& request) {
  PlatformReply reply = table_.Apply(request);
  loop_.RunIn(Duration::zero(),
              [this, tag, reply = std::move(reply)] { handler_(tag, reply); });
}

}  // namespace buckthorncart
