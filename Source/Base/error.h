#pragma once
/// \file
/// Error codes, and the failure type that adds a description to them.

#include <string>
#include <string_view>
#include <system_error>

#include "Base/enum_names.h"

namespace buckthorncart {

/// Error codes of all operations. The names in the table below are part of the
/// HTTP interface.
enum class Errc {
  kOk,
  // Settings and command line.
  kInvalidSetting,
  kAddressInUse,
  kUnreadableTrace,
  // Operators' language and configuration.
  kSyntax,
  kUnknownObject,
  kDuplicateObject,
  kUnknownService,
  kServiceInUse,
  kInvalidValue,
  kConflict,
  kTooLarge,
  kOperationIdReused,
  kUnknownOperation,
  kVersionNotReached,
  // Platform.
  kPlatformUnavailable,
  kPlatformAnswerLost,
  kPlatformConditionFailed,
  kQueueFull,
  // Wire.
  kFrameTooLarge,
  kMalformedFrame,
  kStaleVersion,
  kVersionGap,
  kDigestMismatch,
  kInvalidConfiguration,
  // Requests.
  kUnknownRoute,
  kMissingIdempotencyKey,
  kDeadlineExpired,
  kInvalidDeadline,
  kBodyTooLarge,
  kNoBackendServer,
  kNotReady,
  kDraining,
  kOverloaded,
  kRetryBudgetSpent,
  kBackendServerFailed,
  kConnectionLost,
  kCrashGuard,
  kClaimUndecided,
  kCancelled,
  kNotFound,
  kMethodNotAllowed,
  kTimeout,
  kDaemonUnreachable,
  kInvalidIdempotencyKey,
  kIdempotencyKeyReused,
  kAnswerNotKept,
  kUnknownKey,
  kQuotaExceeded,
};

template <>
struct EnumNames<Errc> {
  static constexpr std::string_view kNames[] = {
      "ok",
      "invalid-setting",
      "address-in-use",
      "unreadable-trace",
      "syntax",
      "unknown-object",
      "duplicate-object",
      "unknown-service",
      "service-in-use",
      "invalid-value",
      "conflict",
      "too-large",
      "operation-id-reused",
      "unknown-operation",
      "version-not-reached",
      "platform-unavailable",
      "platform-answer-lost",
      "platform-condition-failed",
      "queue-full",
      "frame-too-large",
      "malformed-frame",
      "stale-version",
      "version-gap",
      "digest-mismatch",
      "invalid-configuration",
      "unknown-route",
      "missing-idempotency-key",
      "deadline-expired",
      "invalid-deadline",
      "body-too-large",
      "no-backend-server",
      "not-ready",
      "draining",
      "overloaded",
      "retry-budget-spent",
      "backend-server-failed",
      "connection-lost",
      "crash-guard",
      "claim-undecided",
      "cancelled",
      "not-found",
      "method-not-allowed",
      "timeout",
      "daemon-unreachable",
      "invalid-idempotency-key",
      "idempotency-key-reused",
      "answer-not-kept",
      "unknown-key",
      "quota-exceeded",
  };
};

/// Returns the error category of `Errc`, whose messages are the names above.
const std::error_category& ErrorCategory();

/// Converts an `Errc` to a `std::error_code`. The standard library finds this
/// function by argument-dependent lookup, so its name is fixed.
std::error_code make_error_code(
    Errc code);  // NOLINT(readability-identifier-naming)

/// Describes a failed operation. The texts may be empty; `code` is never `kOk`.
struct Failure {
  Errc code = Errc::kOk;
  /// Object, setting or position in a text that the failure is about.
  std::string subject;
  /// Valid values or forms of the subject.
  std::string expected;
  /// What the user can do about the failure.
  std::string advice;

  /// Returns a line for users: `code: subject; expected …; advice`.
  std::string Describe() const;
};

}  // namespace buckthorncart

template <>
struct std::is_error_code_enum<buckthorncart::Errc> : std::true_type {};
