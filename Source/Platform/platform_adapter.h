#pragma once
/// \file
/// Interface between a driver and the adapter to a platform.

#include <concepts>
#include <cstdint>
#include <functional>

#include "Platform/platform_messages.h"

namespace buckthorncart {

/// Handles the reply to a request. The adapter calls it exactly once for each
/// submitted request, and never from within `Submit`.
using PlatformReplyHandler =
    std::function<void(uint64_t tag, PlatformReply reply)>;

/// An adapter that sends `request` to the platform. `tag` identifies the
/// request in the reply.
template <typename P>
concept PlatformAdapter = requires(P platform, uint64_t tag,
                                   PlatformRequest request) {
  { platform.Submit(tag, std::move(request)) } -> std::same_as<void>;
};

/// The `Submit` function of an adapter of any type.
using PlatformSubmit =
    std::function<void(uint64_t tag, PlatformRequest request)>;

/// Returns the `Submit` function of `platform`, which must outlive the result.
template <PlatformAdapter P>
PlatformSubmit EraseAdapter(P& platform) {
  return [&platform](uint64_t tag, PlatformRequest request) {
    platform.Submit(tag, std::move(request));
  };
}

}  // namespace buckthorncart
