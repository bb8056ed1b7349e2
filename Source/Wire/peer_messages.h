#pragma once
/// \file
/// Messages that daemons exchange over framed TCP connections.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "Base/address.h"
#include "Base/error.h"
#include "Config/change.h"
#include "Config/configuration_delta.h"
#include "Config/snapshot.h"
#include "Wire/claim_messages.h"
#include "Wire/http.h"
#include "Wire/member.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

/// First message on a connection, sent by both sides.
struct Hello {
  Address address;
  uint64_t incarnation = 0;
  MSGPACK_DEFINE(address, incarnation)
};

/// Requests a `Pong` with the same sequence number.
struct Ping {
  uint64_t sequence = 0;
  MSGPACK_DEFINE(sequence)
};

struct Pong {
  uint64_t sequence = 0;
  MSGPACK_DEFINE(sequence)
};

// Configuration.

/// Requests the changes after `version` or, if `whole` is set, a snapshot.
struct PullChanges {
  uint64_t version = 0;
  bool whole = false;
  MSGPACK_DEFINE(version, whole)
};

/// Consecutive changes, oldest first.
struct PushChanges {
  std::vector<Change> changes;
  MSGPACK_DEFINE(changes)
};

/// A complete configuration, for a peer that is further behind than the changes
/// that the sender keeps.
struct PushSnapshot {
  Snapshot snapshot;
  MSGPACK_DEFINE(snapshot)
};

/// Deltas that lead from one version to a newer one, oldest first.
struct PushDeltas {
  std::vector<ConfigurationDelta> deltas;
  MSGPACK_DEFINE(deltas)
};

/// Rejects a request for a snapshot because the sender already serves too many.
struct SnapshotBusy {
  uint32_t retry_after_ms = 0;
  MSGPACK_DEFINE(retry_after_ms)
};

/// Announces that the sender has configuration version `version`.
struct VersionHeld {
  uint64_t version = 0;
  /// True if the receiver only records the version, for the reply to a later
  /// `FloorQuery` from the sender's address.
  bool for_record = false;
  MSGPACK_DEFINE(version, for_record)
};

/// Asks a peer for the versions that it knows, when the sender starts.
struct FloorQuery {
  /// Number of this start among those of the sender's process, by which replies
  /// to an earlier start are recognised.
  uint64_t round = 0;
  MSGPACK_DEFINE(round)
};

/// Reply to a `FloorQuery`.
struct FloorReport {
  /// Version that the sender has; 0 while the sender itself is starting.
  uint64_t held = 0;
  /// Highest version ever received from the address that sent the query.
  uint64_t heard_from_asker = 0;
  /// False while the sender has not determined its own minimum version.
  bool ready = false;
  /// The round of the query.
  uint64_t round = 0;
  MSGPACK_DEFINE(held, heard_from_asker, ready, round)
};

// Membership.

/// Requests all member records.
struct PullMembers {
  MSGPACK_DEFINE()
};

struct PushMembers {
  std::vector<Member> members;
  MSGPACK_DEFINE(members)
};

// Requests.

/// A request that the daemon that received it forwards to the daemon of the
/// selected backend server.
struct Call {
  /// Unique among the calls of the sender's incarnation.
  uint64_t id = 0;
  std::string service;
  RequestClass request_class = RequestClass::kInteractive;
  bool repeatable = true;
  std::string idempotency_key;
  /// Time from sending the call until the caller's deadline, in milliseconds.
  uint32_t remaining_ms = 0;
  /// Digest of method, path and body, by which crashes are attributed to
  /// requests.
  uint64_t fingerprint = 0;
  HttpRequest request;
  uint32_t priority = 0;
  /// Longest acceptable wait for a slot, in milliseconds. A call that would
  /// wait longer is refused.
  uint32_t max_wait_ms = ~0U;
  /// Route of the call, which affects its order in the queue.
  std::string route;
  /// Time until the target latency of the answer, in milliseconds. A call whose
  /// wait would miss the target is refused. All bits are set if there is none.
  uint32_t target_ms = ~0U;
  /// Size of the body if `request` comes without it. The receiver asks for it
  /// with `BodyRequest` once it can take it. 0 if `request` is complete.
  uint64_t withheld_bytes = 0;
  /// Name of the workspace whose key the caller gave; empty if there is none.
  std::string workspace;
  /// When the call was sent, microseconds on the sender's steady clock; 0 if
  /// the sender does not say.
  uint64_t sent_us = 0;
  /// The request has been sent to another backend server before.
  bool is_retry = false;
  /// Mean time of recent calls of the route at all backend servers, as the
  /// sender has measured it, in milliseconds; 0 if it is not known.
  uint32_t typical_ms = 0;
  MSGPACK_DEFINE(id, service, request_class, repeatable, idempotency_key,
                 remaining_ms, fingerprint, request, priority, max_wait_ms,
                 route, target_ms, withheld_bytes, workspace, sent_us, is_retry,
                 typical_ms)
};

/// Asks for a range of the withheld body of a call.
struct BodyRequest {
  uint64_t id = 0;
  uint64_t offset = 0;
  uint64_t bytes = 0;
  MSGPACK_DEFINE(id, offset, bytes)
};

/// Reply to a `BodyRequest`.
struct BodyPiece {
  uint64_t id = 0;
  uint64_t offset = 0;
  std::string bytes;
  MSGPACK_DEFINE(id, offset, bytes)
};

/// The call has not run and will not run.
struct CallRefused {
  uint64_t id = 0;
  Errc reason = Errc::kOk;
  /// Share of slots in use, in per mille.
  uint32_t load = 0;
  /// True if the backend server itself refused the request.
  bool refused_by_backend = false;
  /// Expected wait for the link and for a slot, in milliseconds.
  uint32_t wait_ms = 0;
  /// The part of `wait_ms` that is for the link.
  uint32_t link_wait_ms = 0;
  MSGPACK_DEFINE(id, reason, load, refused_by_backend, wait_ms, link_wait_ms)
};

/// A part of the answer. `load` is the share of slots in use, in per mille.
struct CallAnswer {
  uint64_t id = 0;
  AnswerPart part;
  uint32_t load = 0;
  /// Number of the part, starting at 1; 0 from daemons that do not number
  /// parts.
  uint32_t sequence = 0;
  /// Time until the link is free for a further withheld body, in milliseconds.
  uint32_t link_wait_ms = 0;
  MSGPACK_DEFINE(id, part, load, sequence, link_wait_ms)
};

/// The call may have run, but its backend server can no longer answer it.
struct CallFailed {
  uint64_t id = 0;
  Errc reason = Errc::kOk;
  MSGPACK_DEFINE(id, reason)
};

/// Cancels a call whose caller has disconnected or whose deadline has expired.
struct CancelCall {
  uint64_t id = 0;
  MSGPACK_DEFINE(id)
};

/// Flow control: the caller has received `bytes` more of the answer.
struct CallCredit {
  uint64_t id = 0;
  uint64_t bytes = 0;
  MSGPACK_DEFINE(id, bytes)
};

// Operators.

/// An operator's request that one daemon forwards to another.
struct OperatorQuery {
  uint64_t id = 0;
  HttpRequest request;
  MSGPACK_DEFINE(id, request)
};

/// Reply to the `OperatorQuery` with the same id.
struct OperatorReply {
  uint64_t id = 0;
  uint16_t status = 0;
  std::string body;
  MSGPACK_DEFINE(id, status, body)
};

using PeerMessage =
    std::variant<Hello, Ping, Pong, PullChanges, PushChanges, PushSnapshot,
                 SnapshotBusy, VersionHeld, FloorQuery, FloorReport,
                 PullMembers, PushMembers, Call, CallRefused, CallAnswer,
                 CallFailed, CancelCall, OperatorQuery, OperatorReply,
                 CallCredit, ClaimQuery, ClaimReport, OutcomeQuery, CrashReport,
                 RelayedWrite, RelayedReply, PushDeltas, BodyRequest, BodyPiece,
                 RolloutReports, RolloutStates>;

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::Errc)
