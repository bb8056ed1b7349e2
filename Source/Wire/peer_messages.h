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

namespace buckthorncart {

/// First message on a connection, both ways.
struct Hello {
  Address address;
  uint64_t incarnation = 0;
  MSGPACK_DEFINE(address, incarnation)
};

struct Ping {
  uint64_t sequence = 0;
  MSGPACK_DEFINE(sequence)
};

struct Pong {
  uint64_t sequence = 0;
  MSGPACK_DEFINE(sequence)
};

// Configuration.

/// Asks for what follows `version`, as changes or, if `whole`, as a snapshot.
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

/// A whole configuration, for a peer whose gap is longer than the changes
/// that the sender keeps.
struct PushSnapshot {
  Snapshot snapshot;
  MSGPACK_DEFINE(snapshot)
};

/// Steps from one version to a newer one, oldest first.
struct PushDeltas {
  std::vector<ConfigurationDelta> deltas;
  MSGPACK_DEFINE(deltas)
};

/// The sender serves too many snapshots at once.
struct SnapshotBusy {
  uint32_t retry_after_ms = 0;
  MSGPACK_DEFINE(retry_after_ms)
};

/// Tells that the sender holds `version`.
struct VersionHeld {
  uint64_t version = 0;
  /// Only to be remembered for a later `FloorQuery` of the sender's address.
  bool for_record = false;
  MSGPACK_DEFINE(version, for_record)
};

/// Asks which versions are known, by a daemon that starts.
struct FloorQuery {
  /// Number of the start among those of the sender's process.
  uint64_t round = 0;
  MSGPACK_DEFINE(round)
};

struct FloorReport {
  /// Version that the sender holds; 0 while it starts itself.
  uint64_t held = 0;
  /// Highest version ever heard from the asking address.
  uint64_t heard_from_asker = 0;
  /// False while the sender does not know its own floor.
  bool ready = false;
  /// Repeats the round of the query.
  uint64_t round = 0;
  MSGPACK_DEFINE(held, heard_from_asker, ready, round)
};

// Membership.

/// Asks for all member records.
struct PullMembers {
  MSGPACK_DEFINE()
};

struct PushMembers {
  std::vector<Member> members;
  MSGPACK_DEFINE(members)
};

// Requests.

/// A request that a receiving daemon hands to the daemon beside the chosen
/// backend server.
struct Call {
  /// Unique among the calls of the sender's incarnation.
  uint64_t id = 0;
  std::string service;
  RequestClass request_class = RequestClass::kInteractive;
  bool repeatable = true;
  std::string idempotency_key;
  /// Time left to the caller's deadline when the call was sent, milliseconds.
  uint32_t remaining_ms = 0;
  /// Digest of method, path and body, by which crashes are attributed.
  uint64_t fingerprint = 0;
  HttpRequest request;
  uint32_t priority = 0;
  /// Longest wait for a slot, milliseconds; a longer one is refused.
  uint32_t max_wait_ms = ~0U;
  /// Route of the call, for its order among others.
  std::string route;
  /// Time left to the answer's target, milliseconds; a wait that would miss it
  /// is refused. All ones for none.
  uint32_t target_ms = ~0U;
  MSGPACK_DEFINE(id, service, request_class, repeatable, idempotency_key,
                 remaining_ms, fingerprint, request, priority, max_wait_ms,
                 route, target_ms)
};

/// The call was not run and will not be.
struct CallRefused {
  uint64_t id = 0;
  Errc reason = Errc::kOk;
  /// Share of slots in use, per mille.
  uint32_t load = 0;
  /// The backend server itself has refused the request.
  bool refused_by_backend = false;
  /// Expected wait for a slot, milliseconds.
  uint32_t wait_ms = 0;
  MSGPACK_DEFINE(id, reason, load, refused_by_backend, wait_ms)
};

/// A piece of the answer; `load` is the share of slots in use, per mille.
struct CallAnswer {
  uint64_t id = 0;
  AnswerPart part;
  uint32_t load = 0;
  /// Number of the part, from 1; 0 from daemons that do not number them.
  uint32_t sequence = 0;
  MSGPACK_DEFINE(id, part, load, sequence)
};

/// The call may have run; no answer can be had from its backend server.
struct CallFailed {
  uint64_t id = 0;
  Errc reason = Errc::kOk;
  MSGPACK_DEFINE(id, reason)
};

/// The caller has left or its deadline has passed.
struct CancelCall {
  uint64_t id = 0;
  MSGPACK_DEFINE(id)
};

/// The caller has taken `bytes` of the answer.
struct CallCredit {
  uint64_t id = 0;
  uint64_t bytes = 0;
  MSGPACK_DEFINE(id, bytes)
};

// Operators.

/// An operators' request that one daemon passes on to another.
struct OperatorQuery {
  uint64_t id = 0;
  HttpRequest request;
  MSGPACK_DEFINE(id, request)
};

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
                 RelayedWrite, RelayedReply, PushDeltas>;

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::Errc)
