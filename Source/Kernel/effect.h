#pragma once
/// \file
/// Effects: actions that the kernel requests from its driver.

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/event.h"
#include "Platform/platform_messages.h"
#include "Wire/datagrams.h"
#include "Wire/http.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// Sends `message` over the connection to `to`, which is opened if there is
/// none.
struct SendPeer {
  Address to;
  PeerMessage message;
};

/// Closes the connection to `peer`; the next message opens a new one.
struct ClosePeerConnection {
  Address peer;
};

struct SendDatagram {
  Address to;
  Datagram message;
};

/// Timers cannot be cancelled; the plug-in that set a timer ignores it when it
/// is obsolete.
struct SetTimer {
  Time expires_at;
  TimerKind kind = TimerKind::kTick;
  uint64_t argument = 0;
};

struct CallPlatform {
  uint64_t tag = 0;
  PlatformRequest request;
};

struct AnswerCaller {
  uint64_t call = 0;
  AnswerPart part;
  /// Closes the caller's connection after the answer.
  bool close = false;
};

struct CallBackend {
  uint64_t run = 0;
  Address backend;
  HttpRequest request;
  /// If false, the request does not use a connection that has already carried
  /// another request.
  bool repeatable = true;
};

/// Closes the connection that `run` uses.
struct CancelBackendCall {
  uint64_t run = 0;
};

/// Stops reading the answer to `run` from the backend server until
/// `ResumeBackendRead`.
struct PauseBackendRead {
  uint64_t run = 0;
};

struct ResumeBackendRead {
  uint64_t run = 0;
};

struct AnswerOperator {
  uint64_t request = 0;
  uint16_t status = 200;
  std::string content_type;
  std::string body;
};

/// Kinds of log records.
enum class LogTopic : uint8_t {
  kStarted,
  kFloorKnown,
  kVersionHeld,
  kVersionHeldBack,
  kMemberStatus,
  kBackendState,
  kPlatformState,
  kOperation,
  kFrozen,
  kDraining,
  kDrained,
  kCrashGuard,
  kPeerFault,
  kEjected,
  kReloaded,
  /// A caller got an answer from a backend server.
  kCallServed,
  /// A caller got any other answer.
  kCallFailed,
  /// A daemon has refused a call to its backend server.
  kCallRefused,
  /// A run ended without a successful answer.
  kRunFailed,
  /// The source of versions of the configuration has changed.
  kConfigurationSource,
  /// An announcement of a backend server is invalid and was ignored.
  kAnnouncementRejected,
  /// The workspaces or their keys have changed.
  kWorkspaces,
  /// What has been learned about the backend server has changed.
  kCapacityLearned,
  /// The state of a staged roll-out, or its decider, has changed.
  kRollout,
  /// A caller was refused because its workspace has reached its limit.
  kQuotaRefused,
  /// The shares of the quota that this daemon owns have changed.
  kQuotaShares,
};

template <>
struct EnumNames<LogTopic> {
  static constexpr std::string_view kNames[] = {"started",
                                                "floor-known",
                                                "version-held",
                                                "version-held-back",
                                                "member-status",
                                                "backend-state",
                                                "platform-state",
                                                "operation",
                                                "frozen",
                                                "draining",
                                                "drained",
                                                "crash-guard",
                                                "peer-fault",
                                                "ejected",
                                                "reloaded",
                                                "call-served",
                                                "call-failed",
                                                "call-refused",
                                                "run-failed",
                                                "configuration-source",
                                                "announcement-rejected",
                                                "workspaces",
                                                "capacity-learned",
                                                "rollout",
                                                "quota-refused",
                                                "quota-shares"};
};

enum class LogLevel : uint8_t { kInfo, kWarning };

struct LogRecord {
  LogTopic topic = LogTopic::kStarted;
  std::vector<std::pair<std::string, std::string>> fields;
  LogLevel level = LogLevel::kInfo;
};

/// Ends the process with exit status 0.
struct Exit {};

using Effect = std::variant<SendPeer, ClosePeerConnection, SendDatagram,
                            SetTimer, CallPlatform, AnswerCaller, CallBackend,
                            CancelBackendCall, AnswerOperator, LogRecord, Exit,
                            PauseBackendRead, ResumeBackendRead>;

}  // namespace buckthorncart
