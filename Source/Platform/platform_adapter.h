#pragma once
/// \file
/// What a driver needs of an adapter to a platform.

#include <concepts>
#include <cstdint>
#include <functional>

#include "Platform/platform_messages.h"

namespace buckthorncart {

/// Called once for each submitted request, never from inside `Submit`.
using PlatformReplyHandler =
    std::function<void(uint64_t tag, PlatformReply reply)>;

template <typename P>
concept PlatformAdapter = requires(P platform, uint64_t tag,
                                   PlatformRequest request) {
  { platform.Submit(tag, std::move(request)) } -> std::same_as<void>;
};

/// An adapter with its type erased.
using PlatformSubmit =
    std::function<void(uint64_t tag, PlatformRequest request)>;

template <PlatformAdapter P>
PlatformSubmit EraseAdapter(P& platform) {
  return [&platform](uint64_t tag, PlatformRequest request) {
    platform.Submit(tag, std::move(request));
  };
}

}  // namespace buckthorncart
