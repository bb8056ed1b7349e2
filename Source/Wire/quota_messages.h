#pragma once
/// \file
/// Datagrams by which daemons lease shares of the quota and hand out its
/// tokens.

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace buckthorncart {

/// Leases shares of a group of workspaces to the receiver, the granter. The
/// lease ends by the clock of each side: at the granter a fixed time after it
/// issued the reply that is echoed here, at the sender a longer time after this
/// message was sent. A lease that is late, or whose receiver was stopped, is
/// therefore over at the granter first. Without an echo nothing is leased.
struct ShareLease {
  uint32_t group = 0;
  uint32_t shares = 0;
  /// Process and time of the last reply of the granter; 0 if there was none.
  uint64_t echoed_incarnation = 0;
  uint64_t echoed_issue_us = 0;
  MSGPACK_DEFINE(group, shares, echoed_incarnation, echoed_issue_us)
};

/// Reply to a `ShareLease`, to be echoed in the next one.
struct ShareLeaseReply {
  uint32_t group = 0;
  uint64_t incarnation = 0;
  /// When the reply was issued, microseconds on the granter's clock.
  uint64_t issue_us = 0;
  /// The granter drains: it uses no lease any more.
  bool is_stopped = false;
  MSGPACK_DEFINE(group, incarnation, issue_us, is_stopped)
};

/// Asks a granter for tokens, one for each request of `workspace`.
struct TokenRequest {
  /// Unique among the requests of the sender's process.
  uint64_t number = 0;
  std::string workspace;
  uint32_t tokens = 0;
  MSGPACK_DEFINE(number, workspace, tokens)
};

/// Reply to the `TokenRequest` with the same number. Its tokens expire a fixed
/// time after that was sent, by the clock of the asker.
struct TokenReply {
  uint64_t number = 0;
  uint32_t tokens = 0;
  /// Time in which another request would be in vain, in milliseconds.
  uint32_t pause_ms = 0;
  /// Times after which refused calls may fit: the earliest, and the span over
  /// which they are spread, in milliseconds.
  uint32_t retry_after_ms = 0;
  uint32_t retry_spread_ms = 0;
  /// Shares that the granter has, and its tokens of the workspace that are
  /// left, in thousandths.
  uint32_t shares = 0;
  uint32_t milli_tokens = 0;
  /// The granter drains: another one is to be asked.
  bool is_stopped = false;
  MSGPACK_DEFINE(number, tokens, pause_ms, retry_after_ms, retry_spread_ms,
                 shares, milli_tokens, is_stopped)
};

/// The sender has moved shares to the receiver in the platform's table.
struct SharesMoved {
  MSGPACK_DEFINE()
};

}  // namespace buckthorncart
