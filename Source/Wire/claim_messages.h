#pragma once
/// \file
/// Messages about requests that must run at most once, and their outcomes.

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "Base/address.h"
#include "Platform/platform_messages.h"
#include "Wire/enum_adaptor.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Identifies one attempt to claim an idempotency key. Ids are never reused.
struct ClaimId {
  Address claimant;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  auto operator<=>(const ClaimId&) const = default;
  MSGPACK_DEFINE(claimant, incarnation, sequence)
};

/// Outcome of a claimed request.
enum class ClaimOutcome : uint8_t {
  /// The request is queued or running; a second report gives its outcome.
  kRunning,
  /// The request ran and its answer is complete.
  kRan,
  /// The request has not run and will not run.
  kNeverRan,
  /// The request may have run.
  kUnknown,
};

template <>
struct WireEnum<ClaimOutcome> {
  static constexpr size_t kCount =
      static_cast<size_t>(ClaimOutcome::kUnknown) + 1;
};

/// Outcome of a request. Contains the answer if that is small enough to be
/// kept.
struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  /// True if `answer` contains the answer.
  bool answer_kept = false;
  AnswerPart answer;
  MSGPACK_DEFINE(outcome, answer_kept, answer)
};

/// Asks the claimant for the outcome of its claim in the row `row_key`.
struct ClaimQuery {
  std::string row_key;
  ClaimId id;
  MSGPACK_DEFINE(row_key, id)
};

/// Reports the outcome of a claim to a daemon that sent a `ClaimQuery`.
struct ClaimReport {
  std::string row_key;
  ClaimId id;
  ClaimResult result;
  MSGPACK_DEFINE(row_key, id, result)
};

/// Asks the admitting daemon for the outcome of a call after the connection to
/// it was lost. The reply is a `CallAnswer`, `CallRefused` or `CallFailed`. If
/// the call is still running, the reply is sent when it ends.
struct OutcomeQuery {
  /// Id of the call at the daemon that sends the query.
  uint64_t id = 0;
  std::string service;
  std::string idempotency_key;
  /// Incarnation that the admitting daemon had when the call was sent to it.
  uint64_t incarnation = 0;
  MSGPACK_DEFINE(id, service, idempotency_key, incarnation)
};

/// Reports that a backend server crashed while it ran the request with this
/// fingerprint or, if `cleared` is set, that a backend server ran the request
/// without a crash.
struct CrashReport {
  uint64_t fingerprint = 0;
  Address daemon;
  bool cleared = false;
  MSGPACK_DEFINE(fingerprint, daemon, cleared)
};

/// A transaction on claim rows, sent to the daemon that relays the writes for
/// their key.
struct RelayedWrite {
  /// Unique among the writes of the sender's incarnation.
  uint64_t tag = 0;
  Transaction transaction;
  MSGPACK_DEFINE(tag, transaction)
};

/// Reply to the `RelayedWrite` with the same tag.
struct RelayedReply {
  uint64_t tag = 0;
  PlatformReply reply;
  MSGPACK_DEFINE(tag, reply)
};

}  // namespace buckthorncart
