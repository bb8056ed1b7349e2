#pragma once
/// \file
/// Messages about the outcome of requests that may run at most once.

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "Base/address.h"
#include "Platform/platform_messages.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Names one attempt to claim a key; never used twice.
struct ClaimId {
  Address claimant;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  auto operator<=>(const ClaimId&) const = default;
  MSGPACK_DEFINE(claimant, incarnation, sequence)
};

/// What became of a claimed request.
enum class ClaimOutcome : uint8_t {
  /// It waits or runs; the outcome follows in a second report.
  kRunning,
  /// It ran and its answer was whole.
  kRan,
  /// It has not run and never will.
  kNeverRan,
  /// It may have run.
  kUnknown,
};

/// The outcome of a request, with its answer if that was small enough.
struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  bool answer_kept = false;
  AnswerPart answer;
  MSGPACK_DEFINE(outcome, answer_kept, answer)
};

/// Asks the claimant what became of its claim on the row `row_key`.
struct ClaimQuery {
  std::string row_key;
  ClaimId id;
  MSGPACK_DEFINE(row_key, id)
};

struct ClaimReport {
  std::string row_key;
  ClaimId id;
  ClaimResult result;
  MSGPACK_DEFINE(row_key, id, result)
};

/// Asks the admitting daemon, after a connection was lost, what became of a
/// call. Answered by `CallAnswer`, `CallRefused` or `CallFailed`; a call that
/// still runs is answered when it ends.
struct OutcomeQuery {
  /// Id of the call at the asking daemon.
  uint64_t id = 0;
  std::string service;
  std::string idempotency_key;
  /// Incarnation of the admitting daemon that the call was sent to.
  uint64_t incarnation = 0;
  MSGPACK_DEFINE(id, service, idempotency_key, incarnation)
};

/// A backend server died while it ran the request with this fingerprint, or
/// (`cleared`) a backend server has run it and lives.
struct CrashReport {
  uint64_t fingerprint = 0;
  Address daemon;
  bool cleared = false;
  MSGPACK_DEFINE(fingerprint, daemon, cleared)
};

/// A transaction on claim rows for the relay of their key.
struct RelayedWrite {
  /// Unique among the writes of the sender's incarnation.
  uint64_t tag = 0;
  Transaction transaction;
  MSGPACK_DEFINE(tag, transaction)
};

struct RelayedReply {
  uint64_t tag = 0;
  PlatformReply reply;
  MSGPACK_DEFINE(tag, reply)
};

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::ClaimOutcome)
