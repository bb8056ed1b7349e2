#pragma once
/// \file
/// Rows `claim/SERVICE/KEY` of the platform's table.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "Base/error.h"
#include "Wire/claim_messages.h"

namespace buckthorncart {

inline constexpr std::string_view kClaimPrefix = "claim/";
inline constexpr size_t kMaxIdempotencyKeyBytes = 255;
/// Largest answer that is stored with its claim, headers included.
inline constexpr size_t kMaxKeptAnswerBytes = 16'384;

/// Claim on one key. `result.outcome` is `kRunning` until the outcome is known.
struct ClaimRow {
  ClaimId id;
  /// Digest of method, path and body.
  uint64_t fingerprint = 0;
  /// Wall-clock time of the claim, milliseconds since the epoch.
  uint64_t wall_ms = 0;
  ClaimResult result{ClaimOutcome::kRunning, false, {}};
  MSGPACK_DEFINE(id, fingerprint, wall_ms, result)
};

/// Key of the row that claims `idempotency_key` for a service.
std::string ClaimRowKey(const std::string& service,
                        const std::string& idempotency_key);

/// True for 1 to 255 printable ASCII characters.
bool IsIdempotencyKey(std::string_view key);

/// Number of bytes that an answer occupies in a row.
size_t AnswerBytes(const AnswerPart& answer);

}  // namespace buckthorncart
