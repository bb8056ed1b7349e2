#pragma once
/// \file
/// Connects a `Kernel` to sockets and clocks: passes their events to it and
/// executes the effects that it returns.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Kernel/effect.h"
#include "Kernel/event.h"
#include "Kernel/kernel.h"
#include "Kernel/trace.h"
#include "Net/datagram_socket.h"
#include "Net/http_client.h"
#include "Net/http_server.h"
#include "Net/http_translator.h"
#include "Net/log_sink.h"
#include "Net/loop.h"
#include "Net/peer_transport.h"
#include "Platform/platform_adapter.h"

namespace buckthorncart {

struct DriverSettings {
  Address callers;
  Address operators;
  HttpServerLimits limits;
  /// Additional listening addresses for operators' requests, such as readiness
  /// checks.
  std::vector<Address> extra_operator_addresses;
  /// Refuses callers' connections until the daemon is ready, so that callers
  /// that try several daemons in turn do not receive error answers from a
  /// daemon that is starting.
  bool delay_callers_until_ready = false;
  HttpClientSettings backend;
};

class LoopDriver : private PeerTransportHandler {
 public:
  /// All references must outlive the driver. `wall_ms` is the start time, which
  /// is used as the daemon's incarnation.
  LoopDriver(Loop& loop, const DriverSettings& settings, Kernel& kernel,
             uint64_t wall_ms, const LogSink& log, HttpTranslator& translator);
  ~LoopDriver() override;

  void SetPlatform(PlatformSubmit platform);
  void SetTraceWriter(TraceWriter trace);
  /// Opens all listening sockets. Fails with `kAddressInUse`.
  Result<void> Open();
  /// Passes the `Started` event to the kernel.
  void Start();
  /// Passes an event to the kernel and executes the resulting effects. A call
  /// from inside `Dispatch` queues the event.
  void Dispatch(Event event);
  /// Returns the failure that stopped the loop, if any.
  const Result<void>& ExitResult() const { return exit_result_; }

 private:
  /// Converts the callbacks of an HTTP server into kernel events.
  class ServerEventAdapter;

  void OnMessage(Address from, PeerMessage message) override;
  void OnConnectionLost(Address peer) override;
  void OnBadFrame(Address peer, Errc reason) override;
  void OnDatagram(Address from, std::string_view bytes);

  void Execute(const SendPeer& effect);
  void Execute(const ClosePeerConnection& effect);
  void Execute(const SendDatagram& effect);
  void Execute(const SetTimer& effect);
  void Execute(CallPlatform effect);
  void Execute(AnswerCaller effect);
  void Execute(CallBackend effect);
  void Execute(const CancelBackendCall& effect);
  void Execute(const PauseBackendRead& effect);
  void Execute(const ResumeBackendRead& effect);
  void Execute(AnswerOperator effect);
  void Execute(const LogRecord& effect);
  void Execute(const Exit& effect);
  void OnBackendPart(uint64_t run, AnswerPart part, BackendFault fault);
  /// Returns true if the client of `call` has the IP address of the local
  /// backend server.
  bool IsFromBackend(uint64_t call) const;
  void StartAcceptingCallers();
  /// Cancels the deadline of a call that has been answered completely.
  void CancelDeadline(uint64_t call);
  /// Tells the kernel the memory of callers' bodies if it has changed.
  void ReportCallerBodies();
  void StopWhenIdle(Time earliest, Time latest);
  void AddMetrics();

  Loop& loop_;
  DriverSettings settings_;
  Kernel& kernel_;
  uint64_t wall_ms_;
  const LogSink& log_;
  HttpTranslator& translator_;
  PlatformSubmit platform_;
  std::optional<TraceWriter> trace_;
  PeerTransport peers_;
  DatagramSocket datagrams_;
  std::unique_ptr<ServerEventAdapter> caller_event_adapter_;
  std::unique_ptr<ServerEventAdapter> operator_event_adapter_;
  /// Shared by both servers.
  ClientMemory client_memory_;
  uint64_t reported_body_bytes_ = 0;
  /// Timers of the deadlines of calls.
  std::unordered_map<uint64_t, Loop::TaskKey> deadlines_;
  HttpServer callers_;
  HttpServer operators_;
  HttpClient backend_client_;
  std::deque<Event> pending_events_;
  bool dispatching_ = false;
  bool exiting_ = false;
  bool accepting_callers_ = false;
  Result<void> exit_result_;
  uint64_t bad_frames_ = 0;
};

}  // namespace buckthorncart
