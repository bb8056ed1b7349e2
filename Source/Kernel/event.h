#pragma once
/// \file
/// Events that the kernel handles.

#include <cstdint>
#include <msgpack.hpp>
#include <variant>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/claim_events.h"
#include "Platform/platform_messages.h"
#include "Wire/datagrams.h"
#include "Wire/http.h"
#include "Wire/peer_messages.h"
#include "Wire/variant_adaptor.h"

namespace buckthorncart {

/// Purpose of a timer, by which plug-ins recognise their own. Traces encode the
/// values by position.
enum class TimerKind : uint8_t {
  kTick,
  kProbe,
  kProbeTimeout,
  kProbePeriodEnd,
  kSuspicion,
  kRejoin,
  kHeadRead,
  kConfigurationRetry,
  kStartRetry,
  kPullTimeout,
  kAcceptance,
  kAcceptanceRetry,
  kHoldersTimeout,
  kPlatformTimeout,
  kCallDeadline,
  kCallRetry,
  kQueueDeadline,
  kBackendHeartbeat,
  kSlowStart,
  kClaimBatch,
  kClaimTimeout,
  kClaimRelayTimeout,
  kCrashGuard,
  kPeerPing,
  kOutcomeQuery,
  kQueryTimeout,
  kInForceWait,
  kDrain,
  kBurn,
  kSnapshotUpload,
  kLeaveAnswer,
  kRolloutReport,
  kRolloutDecision,
  kFreshness,
  kQuotaShares,
  kQuotaLease,
  kQuotaRequest,
};

/// The process has started; `wall_ms` is milliseconds since the epoch.
struct Started {
  uint64_t wall_ms = 0;
  MSGPACK_DEFINE(wall_ms)
};

struct TimerFired {
  TimerKind kind = TimerKind::kTick;
  uint64_t argument = 0;
  MSGPACK_DEFINE(kind, argument)
};

struct PeerMessageReceived {
  Address from;
  PeerMessage message;
  MSGPACK_DEFINE(from, message)
};

/// The connection to `peer` has been closed or could not be opened. Messages
/// sent on it may or may not have arrived.
struct PeerConnectionLost {
  Address peer;
  MSGPACK_DEFINE(peer)
};

struct DatagramReceived {
  Address from;
  Datagram message;
  MSGPACK_DEFINE(from, message)
};

struct PlatformReplied {
  uint64_t tag = 0;
  PlatformReply reply;
  MSGPACK_DEFINE(tag, reply)
};

/// A complete request from a caller has been read.
struct CallerRequested {
  uint64_t call = 0;
  HttpRequest request;
  /// Time since the request was read, microseconds. It has waited for the
  /// answers to earlier requests of its connection.
  uint64_t waited_us = 0;
  /// The request comes from the IP address of the local backend server, so that
  /// it is probably a call that one of its runs makes.
  bool from_backend = false;
  MSGPACK_DEFINE(call, request, waited_us, from_backend)
};

/// The caller's connection has closed before its answer was complete.
struct CallerDisconnected {
  uint64_t call = 0;
  MSGPACK_DEFINE(call)
};

/// How a request to the backend server failed.
enum class BackendFault : uint8_t {
  kNone,
  /// No connection could be opened, so the request was not run.
  kNotConnected,
  /// The connection broke; the request may have run.
  kConnectionBroken,
};

struct BackendAnswered {
  uint64_t run = 0;
  AnswerPart part;
  BackendFault fault = BackendFault::kNone;
  MSGPACK_DEFINE(run, part, fault)
};

/// `bytes` of an answer that is not yet complete have been written to the
/// caller's connection.
struct AnswerBytesWritten {
  uint64_t call = 0;
  uint64_t bytes = 0;
  MSGPACK_DEFINE(call, bytes)
};

/// A request on the operators' listener, from an operator or from the local
/// backend server.
struct OperatorRequested {
  uint64_t request = 0;
  HttpRequest http;
  MSGPACK_DEFINE(request, http)
};

struct OperatorDisconnected {
  uint64_t request = 0;
  MSGPACK_DEFINE(request)
};

/// The process has been asked to shut down gracefully.
struct ShutdownRequested {
  MSGPACK_DEFINE()
};

// Internal events, raised while another event is handled. They are not recorded
// in a trace.

/// A newer version of the configuration has been adopted.
struct ConfigurationAdopted {
  uint64_t version = 0;
  MSGPACK_DEFINE(version)
};

/// A value of the row `head` has become known; `row` is its encoding.
struct HeadObserved {
  std::string row;
  MSGPACK_DEFINE(row)
};

/// The record of a member has changed.
struct MemberChanged {
  Address address;
  MSGPACK_DEFINE(address)
};

/// The local backend server has announced a new state.
struct LocalBackendChanged {
  BackendAnnouncement backend;
  MSGPACK_DEFINE(backend)
};

/// The daemon has become able or unable to relay versions of the configuration
/// to other daemons.
struct ConfigurationRelayChanged {
  bool can_relay = false;
  MSGPACK_DEFINE(can_relay)
};

/// The event loop did not run for longer than the peer timeout.
struct EventLoopStalled {
  uint64_t stalled_us = 0;
  MSGPACK_DEFINE(stalled_us)
};

/// The daemon has begun to drain before it exits.
struct DrainStarted {
  MSGPACK_DEFINE()
};

/// A call that matched a route has ended.
struct CallEnded {
  std::string service;
  Outcome outcome = Outcome::kRan;
  /// From the arrival of the request to the end of its answer, microseconds.
  uint64_t latency_us = 0;
  /// The caller ended the call, so its outcome does not reflect the quality of
  /// the service.
  bool ended_by_caller = false;
  MSGPACK_DEFINE(service, outcome, latency_us, ended_by_caller)
};

/// The store or another daemon has told what an earlier process of this daemon
/// knew about the backend server; `backend` has no id if it was nothing.
struct EarlierBackendKnown {
  BackendAnnouncement backend;
  /// True if the earlier process has not acknowledged anything else.
  bool is_conclusive = false;
  MSGPACK_DEFINE(backend, is_conclusive)
};

/// A peer has received the record of this daemon with `sequence`.
struct OwnRecordReceived {
  Address peer;
  uint64_t sequence = 0;
  MSGPACK_DEFINE(peer, sequence)
};

/// It is recorded outside of this process that `backend` is leaving.
struct LeaveRecorded {
  BackendAnnouncement backend;
  MSGPACK_DEFINE(backend)
};

/// The time for draining is over. Calls that have not been answered get their
/// final answers now, since the daemon exits.
struct DrainLimitReached {
  MSGPACK_DEFINE()
};

/// The memory for the bodies of callers' requests has changed. Reported before
/// a call that needs memory for its body.
struct CallerBodiesChanged {
  uint64_t bytes = 0;
  MSGPACK_DEFINE(bytes)
};

/// What has been learned about the local backend server has changed; the fields
/// are those of `Member`.
struct LocalCapacityChanged {
  uint32_t capacity = 0;
  uint32_t pace_per_mille = 0;
  MSGPACK_DEFINE(capacity, pace_per_mille)
};

/// The platform's store has been restored from an older copy. Rows written
/// since that copy may be gone, and their versions are given to other rows.
/// Each plug-in stores again what it has had acknowledged, and ignores the
/// replies to its earlier requests.
struct PlatformRestored {
  uint64_t era = 0;
  MSGPACK_DEFINE(era)
};

/// The local backend server announces itself, and it is not known whether an
/// earlier process of this daemon has acknowledged its leaving.
struct BackendUnconfirmed {
  BackendAnnouncement backend;
  MSGPACK_DEFINE(backend)
};

/// The row with the configuration has been read aside from the follower's own
/// requests; the read was sent at `sent_us` on the monotonic clock.
struct ConfigurationRowRead {
  PlatformReply reply;
  uint64_t sent_us = 0;
  MSGPACK_DEFINE(reply, sent_us)
};

/// At `as_of_us` on the monotonic clock, when its store had `platform_version`,
/// the platform had no configuration newer than the held one.
struct ConfigurationConfirmed {
  uint64_t as_of_us = 0;
  uint64_t platform_version = 0;
  /// True if the confirmation answers a `ConfigurationRowRead`.
  bool was_read = false;
  MSGPACK_DEFINE(as_of_us, platform_version, was_read)
};

/// The platform did not say whether the held configuration is current.
struct ConfigurationUnconfirmed {
  MSGPACK_DEFINE()
};

/// The quota has been asked for `call`, and has now been answered.
struct QuotaDecided {
  uint64_t call = 0;
  bool is_admitted = false;
  /// Time after which a refused call may fit, microseconds.
  uint64_t retry_after_us = 0;
  MSGPACK_DEFINE(call, is_admitted, retry_after_us)
};

using Event = std::variant<
    Started, TimerFired, PeerMessageReceived, PeerConnectionLost,
    DatagramReceived, PlatformReplied, CallerRequested, CallerDisconnected,
    BackendAnswered, OperatorRequested, OperatorDisconnected, ShutdownRequested,
    ConfigurationAdopted, HeadObserved, MemberChanged, LocalBackendChanged,
    EventLoopStalled, DrainStarted, AnswerBytesWritten, ClaimRequested,
    ClaimGranted, ClaimDenied, ClaimUnused, ClaimWritten, CallEnded,
    ConfigurationRelayChanged, EarlierBackendKnown, OwnRecordReceived,
    LeaveRecorded, DrainLimitReached, CallerBodiesChanged, LocalCapacityChanged,
    PlatformRestored, BackendUnconfirmed, ConfigurationRowRead,
    ConfigurationConfirmed, ConfigurationUnconfirmed, QuotaDecided>;

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::TimerKind)
MSGPACK_ADD_ENUM(buckthorncart::BackendFault)
