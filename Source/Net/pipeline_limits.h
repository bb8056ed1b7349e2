#pragma once
/// \file
/// Limits of pipelined requests.

#include <cstddef>

namespace buckthorncart {

/// Number of requests of one caller's connection that may be under way at once.
/// Further ones are read later, none is refused.
inline constexpr size_t kDefaultPipelinedRequests = 16;

/// Number of requests of all callers that may run behind others of their
/// connections: half of the queue of a backend server, so that callers that
/// pipeline without end leave room for others.
inline constexpr size_t kDefaultOverlappingRequests = 32;

/// Bounds of the requests of one connection that are read ahead of the answer
/// to the first of them.
struct PipelineLimits {
  /// Maximum number of requests that have not been answered; at 1, a request is
  /// read only after the answer before it is complete.
  size_t requests = 1;
  /// No further request is read while those before it and their answers occupy
  /// this much memory.
  size_t bytes = 1U << 20U;
  /// Maximum number of requests of all connections that run behind others. A
  /// further one starts when the answers before it are complete.
  size_t overlapping = kDefaultOverlappingRequests;
};

}  // namespace buckthorncart
