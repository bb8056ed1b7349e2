#include "Net/loop_driver.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "Kernel/failure_json.h"
#include "Plugins/Requests/call_failure.h"
#include "Wire/codec.h"
#include "Wire/frame_reader.h"

namespace buckthorncart {
namespace {

/// Request IDs of callers start at the process start time in milliseconds,
/// shifted left by this number of bits, so that a later process never reuses
/// them.
constexpr unsigned kRequestSequenceBits = 20;
/// Maximum time for callers to read the last answers before the process exits.
constexpr Duration kMaxExitDelay = 60s;
constexpr Duration kIdleCheckInterval = 20ms;
/// Minimum delay of the exit, within which the connections that were accepted
/// last send their requests.
constexpr Duration kMinExitDelay = 200ms;
/// Largest request on the operators' interface. Larger ones could not be
/// forwarded to another daemon.
constexpr uint64_t kMaxOperatorBodyBytes = kMaxFrameBytes;

/// Connections of operators: one for this many of callers, and at least the
/// given number.
constexpr size_t kCallersPerOperator = 4;
constexpr size_t kMinOperators = 64;

HttpServerLimits OperatorLimits(HttpServerLimits limits) {
  limits.message.body_bytes =
      std::min(limits.message.body_bytes, kMaxOperatorBodyBytes);
  limits.pipeline.requests = 1;
  limits.connections = std::min(
      limits.connections,
      std::max(limits.connections / kCallersPerOperator, kMinOperators));
  return limits;
}

/// True if the route of a caller's request says that it is repeatable. While
/// the daemon drains, none is started behind another, since the connection
/// closes after the last one that has been.
bool MayOverlap(const SharedState& state, const HttpRequest& request) {
  if (!state.ready || state.draining) return false;
  const Route* route = state.held->configuration.FindRoute(
      FindHeader(request.headers, header::kHost), request.path);
  return route != nullptr && route->repeatable;
}

}  // namespace

class LoopDriver::ServerEventAdapter : public HttpServerHandler {
 public:
  using MakeRequestEvent =
      std::function<Event(uint64_t id, HttpRequest request, Duration waited)>;
  using MakeDisconnectEvent = std::function<Event(uint64_t id)>;
  using OverlapRule = std::function<bool(const HttpRequest& request)>;

  ServerEventAdapter(LoopDriver& driver, MakeRequestEvent make_request_event,
                     MakeDisconnectEvent make_disconnect_event,
                     OverlapRule may_overlap)
      : driver_(driver),
        make_request_event_(std::move(make_request_event)),
        make_disconnect_event_(std::move(make_disconnect_event)),
        may_overlap_(std::move(may_overlap)) {}

  void OnRequest(uint64_t id, HttpRequest request) override {
    OnDelayedRequest(id, std::move(request), Duration::zero());
  }
  void OnDelayedRequest(uint64_t id, HttpRequest request,
                        Duration waited) override {
    driver_.Dispatch(make_request_event_(id, std::move(request), waited));
  }
  bool MayOverlap(const HttpRequest& request) override {
    return may_overlap_(request);
  }
  void OnClientDisconnected(uint64_t id) override {
    driver_.Dispatch(make_disconnect_event_(id));
  }
  void OnAnswerBytesWritten(uint64_t id, uint64_t bytes) override {
    driver_.Dispatch(AnswerBytesWritten{id, bytes});
  }
  AnswerPart MakeErrorAnswer(ReadState fault) override {
    const Errc reason = fault == ReadState::kBodyTooLarge
                            ? Errc::kBodyTooLarge
                            : Errc::kMalformedFrame;
    AnswerPart part = MakeFailureAnswer(reason, Outcome::kNotRun);
    part.status = HttpStatusOf(fault);
    return part;
  }
  AnswerPart MakeOverloadAnswer() override {
    /// Time in which a large upload has usually been passed on.
    constexpr Duration kRetryAfter = 500ms;
    return MakeFailureAnswer(Errc::kOverloaded, Outcome::kNotRun, kRetryAfter);
  }

 private:
  LoopDriver& driver_;
  MakeRequestEvent make_request_event_;
  MakeDisconnectEvent make_disconnect_event_;
  OverlapRule may_overlap_;
};

LoopDriver::LoopDriver(Loop& loop, const DriverSettings& settings,
                       Kernel& kernel, uint64_t wall_ms, const LogSink& log,
                       HttpTranslator& translator)
    : loop_(loop),
      settings_(settings),
      kernel_(kernel),
      wall_ms_(wall_ms),
      log_(log),
      translator_(translator),
      peers_(loop, kernel.GetContext().Settings().self, wall_ms, *this),
      datagrams_(loop,
                 [this](Address from, std::string_view bytes) {
                   OnDatagram(from, bytes);
                 }),
      caller_event_adapter_(std::make_unique<ServerEventAdapter>(
          *this,
          [this](uint64_t id, HttpRequest request, Duration waited) -> Event {
            translator_.TranslateCallerRequest(request);
            return CallerRequested{id, std::move(request),
                                   static_cast<uint64_t>(waited.count()),
                                   IsFromBackend(id)};
          },
          [](uint64_t id) -> Event { return CallerDisconnected{id}; },
          [this](const HttpRequest& request) {
            return MayOverlap(kernel_.GetContext().Shared(), request);
          })),
      operator_event_adapter_(std::make_unique<ServerEventAdapter>(
          *this,
          [this](uint64_t id, HttpRequest request,
                 Duration /*waited*/) -> Event {
            translator_.TranslateOperatorRequest(request);
            return OperatorRequested{id, std::move(request)};
          },
          [](uint64_t id) -> Event { return OperatorDisconnected{id}; },
          [](const HttpRequest& /*request*/) { return false; })),
      client_memory_(settings.limits.memory),
      callers_(loop, settings.limits, *caller_event_adapter_,
               wall_ms << kRequestSequenceBits, &client_memory_),
      operators_(loop, OperatorLimits(settings.limits),
                 *operator_event_adapter_, 0, &client_memory_),
      backend_client_(
          loop,
          [this](uint64_t run, AnswerPart part, BackendFault fault) {
            OnBackendPart(run, std::move(part), fault);
          },
          settings.backend) {
  AddMetrics();
}

LoopDriver::~LoopDriver() = default;

void LoopDriver::AddMetrics() {
  Metrics& metrics = kernel_.GetContext().AllMetrics();
  metrics.AddGauge("peer_connections", [this] {
    return static_cast<double>(peers_.ConnectionCount());
  });
  metrics.AddCounter("peer_sent_bytes_total",
                     [this] { return peers_.SentBytes(); });
  metrics.AddCounter("peer_received_bytes_total",
                     [this] { return peers_.ReceivedBytes(); });
  metrics.AddCounter("control_sent_bytes_total", [this] {
    return peers_.ControlSentBytes() + datagrams_.SentBytes();
  });
  metrics.AddCounter("datagram_sent_bytes_total",
                     [this] { return datagrams_.SentBytes(); });
  metrics.AddCounter("datagram_received_bytes_total",
                     [this] { return datagrams_.ReceivedBytes(); });
  metrics.AddCounter("backend_connections_total",
                     [this] { return backend_client_.ConnectionsOpened(); });
  metrics.AddGauge("caller_body_bytes", [this] {
    return static_cast<double>(client_memory_.BodyBytes());
  });
  metrics.AddGauge("client_buffer_bytes", [this] {
    return static_cast<double>(client_memory_.BufferBytes());
  });
  metrics.AddCounter("caller_bodies_refused_total", [this] {
    return callers_.RefusedBodies() + operators_.RefusedBodies();
  });
  metrics.AddCounter("client_connections_gave_way_total",
                     [this] { return client_memory_.GaveWay(); });
  metrics.AddCounter("client_connections_evicted_total", [this] {
    return callers_.EvictedConnections() + operators_.EvictedConnections();
  });
  metrics.AddCounter("caller_requests_overlapped_total",
                     [this] { return callers_.Pipelined().overlapped; });
  metrics.AddCounter("caller_requests_waited_total",
                     [this] { return callers_.Pipelined().waited; });
  metrics.AddCounter("caller_requests_dropped_total",
                     [this] { return callers_.Pipelined().dropped; });
  metrics.AddCounter("caller_requests_cancelled_total",
                     [this] { return callers_.Pipelined().cancelled; });
  metrics.AddCounter("log_lines_dropped_total", LogSink::DroppedLines);
  metrics.AddCounter("bad_frames_total", [this] { return bad_frames_; });
}

void LoopDriver::SetPlatform(PlatformSubmit platform) {
  platform_ = std::move(platform);
}

void LoopDriver::SetTraceWriter(TraceWriter trace) {
  trace_ = std::move(trace);
}

Result<void> LoopDriver::Open() {
  const Address self = kernel_.GetContext().Settings().self;
  Result<void> opened = peers_.Listen();
  if (opened) opened = datagrams_.Bind(self);
  if (opened) opened = callers_.Bind("callers", settings_.callers);
  if (opened && !settings_.delay_callers_until_ready) {
    accepting_callers_ = true;
    opened = callers_.StartListening();
  }
  if (opened) opened = operators_.Listen("operators", settings_.operators);
  for (const Address address : settings_.extra_operator_addresses) {
    if (opened) opened = operators_.Listen("operators", address);
  }
  if (opened) opened = backend_client_.Open("backend-server");
  return opened;
}

void LoopDriver::Start() { Dispatch(Started{wall_ms_}); }

void LoopDriver::Dispatch(Event event) {
  if (loop_.IsClosing()) return;
  pending_events_.push_back(std::move(event));
  if (std::exchange(dispatching_, true)) return;
  while (!pending_events_.empty()) {
    const Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    const Time now = Loop::Now();
    std::vector<Effect> effects = kernel_.Handle(now, next);
    if (trace_) trace_->Append(now, next, effects);
    for (Effect& effect : effects) {
      std::visit(
          [this](auto& typed_effect) { Execute(std::move(typed_effect)); },
          effect);
    }
  }
  dispatching_ = false;
  client_memory_.SetPeerBodyBytes(
      kernel_.GetContext().Shared().peer_body_bytes);
  if (!accepting_callers_ && kernel_.GetContext().Shared().ready)
    StartAcceptingCallers();
}

bool LoopDriver::IsFromBackend(uint64_t call) const {
  const Address backend = kernel_.GetContext().Settings().backend;
  return callers_.ClientOf(call).ip == backend.ip;
}

void LoopDriver::StartAcceptingCallers() {
  accepting_callers_ = true;
  exit_result_ = callers_.StartListening();
  if (!exit_result_) loop_.Stop();
}

void LoopDriver::ReportCallerBodies() {
  const uint64_t bytes = client_memory_.BodyBytes();
  if (std::exchange(reported_body_bytes_, bytes) == bytes) return;
  Dispatch(CallerBodiesChanged{bytes});
}

void LoopDriver::OnMessage(Address from, PeerMessage message) {
  const auto* call = std::get_if<Call>(&message);
  if (call != nullptr && call->withheld_bytes > 0) ReportCallerBodies();
  Dispatch(PeerMessageReceived{from, std::move(message)});
}

void LoopDriver::OnConnectionLost(Address peer) {
  Dispatch(PeerConnectionLost{peer});
}

void LoopDriver::OnBadFrame(Address peer, Errc reason) {
  ++bad_frames_;
  log_.Write({LogTopic::kPeerFault,
              {{"peer", peer.IsSet() ? peer.ToString() : "unknown"},
               {"reason", std::string(NameOf(reason))}},
              LogLevel::kWarning});
}

void LoopDriver::OnDatagram(Address from, std::string_view bytes) {
  auto message = Decode<Datagram>(bytes);
  if (!message) {
    OnBadFrame(from, message.error().code);
    return;
  }
  Dispatch(DatagramReceived{from, std::move(*message)});
}

void LoopDriver::Execute(const SendPeer& effect) {
  peers_.Send(effect.to, effect.message);
}

void LoopDriver::Execute(const ClosePeerConnection& effect) {
  peers_.Reset(effect.peer);
}

void LoopDriver::Execute(const SendDatagram& effect) {
  datagrams_.Send(effect.to, Encode(effect.message));
}

void LoopDriver::Execute(const SetTimer& effect) {
  const Loop::TaskKey key = loop_.RunAt(
      effect.expires_at, [this, kind = effect.kind, n = effect.argument] {
        if (kind == TimerKind::kCallDeadline) deadlines_.erase(n);
        Dispatch(TimerFired{kind, n});
      });
  if (effect.kind == TimerKind::kCallDeadline)
    deadlines_[effect.argument] = key;
}

void LoopDriver::CancelDeadline(uint64_t call) {
  const auto it = deadlines_.find(call);
  if (it == deadlines_.end()) return;
  loop_.Cancel(it->second);
  deadlines_.erase(it);
}

void LoopDriver::Execute(CallPlatform effect) {
  platform_(effect.tag, std::move(effect.request));
}

void LoopDriver::OnBackendPart(uint64_t run, AnswerPart part,
                               BackendFault fault) {
  if (fault == BackendFault::kNone)
    fault = translator_.TranslateBackendAnswer(part);
  Dispatch(BackendAnswered{run, std::move(part), fault});
}

void LoopDriver::Execute(AnswerCaller effect) {
  // Otherwise the timers of ended calls add up at a high rate of requests.
  if (effect.part.end != AnswerEnd::kMore) CancelDeadline(effect.call);
  translator_.TranslateCallerAnswer(effect.part);
  callers_.Answer(effect.call, std::move(effect.part), effect.close);
}

void LoopDriver::Execute(CallBackend effect) {
  translator_.TranslateBackendRequest(effect.request);
  backend_client_.Send(effect.run, effect.backend, effect.request,
                       effect.repeatable);
}

void LoopDriver::Execute(const CancelBackendCall& effect) {
  backend_client_.Cancel(effect.run);
}

void LoopDriver::Execute(const PauseBackendRead& effect) {
  backend_client_.SetReading(effect.run, false);
}

void LoopDriver::Execute(const ResumeBackendRead& effect) {
  backend_client_.SetReading(effect.run, true);
}

void LoopDriver::Execute(AnswerOperator effect) {
  AnswerPart part;
  part.status = effect.status;
  part.headers = {{"content-type", std::move(effect.content_type)}};
  part.body = std::move(effect.body);
  part.end = AnswerEnd::kComplete;
  operators_.Answer(effect.request, std::move(part), false);
}

void LoopDriver::Execute(const LogRecord& effect) { log_.Write(effect); }

void LoopDriver::Execute(const Exit& /*effect*/) {
  if (std::exchange(exiting_, true)) return;
  callers_.StopListening();
  const Time now = Loop::Now();
  StopWhenIdle(now + kMinExitDelay, now + kMaxExitDelay);
}

void LoopDriver::StopWhenIdle(Time earliest, Time latest) {
  const Time now = Loop::Now();
  // Peers wait for the answers of calls that have run here.
  const bool idle = callers_.IsIdle() && !peers_.HasUnsentBytes();
  if (now >= latest || (idle && now >= earliest)) {
    loop_.Stop();
    return;
  }
  loop_.RunIn(kIdleCheckInterval,
              [this, earliest, latest] { StopWhenIdle(earliest, latest); });
}

}  // namespace buckthorncart
