#pragma once
/// \file
/// Feeds a kernel from sockets and clocks and carries out its effects.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
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
  /// More addresses for operators' requests, such as checks of readiness.
  std::vector<Address> more_operators;
  /// Refuses callers' connections until the daemon is ready, so that callers
  /// that try one daemon after the other are not turned away by a new one.
  bool delay_callers_until_ready = false;
  HttpClientSettings backend;
};

class LoopDriver : private PeerTransportHandler {
 public:
  /// All references must outlive the driver. `wall_ms` becomes the daemon's
  /// incarnation.
  LoopDriver(Loop& loop, const DriverSettings& settings, Kernel& kernel,
             uint64_t wall_ms, const LogSink& log, HttpTranslator& translator);
  ~LoopDriver() override;

  void SetPlatform(PlatformSubmit platform);
  void SetTraceWriter(TraceWriter trace);
  /// Opens all listeners; fails with `kAddressInUse`.
  Result<void> Open();
  /// Hands the first event to the kernel.
  void Start();
  /// Hands an event to the kernel and carries out what it asks for.
  void Dispatch(Event event);
  /// The failure that ended the loop, if one did.
  const Result<void>& ExitResult() const { return exit_result_; }

 private:
  /// Turns what happens on one HTTP server into events.
  class ServerEvents;

  void OnMessage(Address from, PeerMessage message) override;
  void OnLost(Address peer) override;
  void OnBadFrame(Address peer, Errc reason) override;
  void OnDatagram(Address from, std::string_view bytes);

  void Carry(const SendPeer& effect);
  void Carry(const ClosePeerConnection& effect);
  void Carry(const SendDatagram& effect);
  void Carry(const SetTimer& effect);
  void Carry(CallPlatform effect);
  void Carry(AnswerCaller effect);
  void Carry(CallBackend effect);
  void Carry(const CancelBackendCall& effect);
  void Carry(const PauseBackendRead& effect);
  void Carry(const ResumeBackendRead& effect);
  void Carry(AnswerOperator effect);
  void Carry(const LogRecord& effect);
  void Carry(const Exit& effect);
  void OnBackendPart(uint64_t run, AnswerPart part, BackendFault fault);
  void OpenToCallers();
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
  std::unique_ptr<ServerEvents> caller_events_;
  std::unique_ptr<ServerEvents> operator_events_;
  HttpServer callers_;
  HttpServer operators_;
  HttpClient backend_;
  std::deque<Event> pending_;
  bool dispatching_ = false;
  bool exiting_ = false;
  bool open_to_callers_ = false;
  Result<void> exit_result_;
  uint64_t bad_frames_ = 0;
};

}  // namespace buckthorncart
