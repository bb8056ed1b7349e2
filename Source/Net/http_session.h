#pragma once
/// \file
/// A connection of the HTTP server. Included by http_server.cc only.

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "Net/answer_queue.h"
#include "Net/client_memory.h"
#include "Net/connection_eviction.h"
#include "Net/http_server.h"
#include "Net/stream.h"

namespace buckthorncart {

/// Reads requests, passes them to the handler when their turn has come, and
/// writes the answers in the order of the requests. Requests are read ahead of
/// the answers within `PipelineLimits`.
class HttpServer::Session : public StreamHandler, public ClientMemoryHolder {
 public:
  Session(HttpServer& server, Stream& stream)
      : server_(server),
        stream_(&stream),
        reader_(server.limits_.message),
        queue_(server.limits_.pipeline),
        phase_started_(Loop::Now()),
        last_transfer_(phase_started_) {}

  /// Queues a part of the answer to request `id`.
  void Answer(uint64_t id, AnswerPart part, bool close) {
    HttpExchange* exchange = queue_.Find(id);
    if (exchange == nullptr) return;
    const bool broken = part.end == AnswerEnd::kBroken;
    exchange->Add(std::move(part));
    if (broken) {
      const std::vector<uint64_t> behind = queue_.CutBehind(id);
      server_.pipeline_counts_.cancelled += behind.size();
      CountOverlapping();
      CancelAll(behind);
    } else if (close) {
      server_.pipeline_counts_.dropped += queue_.CloseAfterStarted();
    }
    WritePending();
  }

  /// Closes the connection; the owner of request `id` needs no notice.
  void Abort(uint64_t id) {
    std::vector<uint64_t> others = queue_.StartedIds();
    std::erase(others, id);
    CloseConnection(false);
    CancelAll(others);
  }

  /// Closes the connection if its idle time or the time for receiving a request
  /// has expired.
  void CloseIfExpired(Time now) {
    if (!queue_.IsEmpty()) return;
    const bool idle = !receiving_;
    const Duration limit =
        idle ? server_.limits_.idle_time : server_.limits_.request_time;
    if (now - phase_started_ >= limit) CloseConnection(true);
  }

  bool IsBusy() const { return !queue_.IsEmpty() || receiving_; }

  /// Returns the queued body bytes of the answer to request `id`.
  size_t BufferedBytes(uint64_t id) {
    const HttpExchange* exchange = queue_.Find(id);
    return exchange == nullptr ? 0 : exchange->BufferedBytes();
  }

  void OnBytes(std::string_view bytes) override {
    RecordTransfer();
    reader_.Append(bytes);
    ReadNext();
    LimitReadAhead();
    CountMemory();
  }

  void OnWritten() override {
    RecordTransfer();
    WritePending();
  }

  void GiveWay() override {
    if (stream_ == nullptr) return;
    if (receiving_ && queue_.IsEmpty() && !HasUnreadAnswers()) {
      RefuseBody();
      return;
    }
    stream_->Abort();
    OnEnd(StreamEnd::kBroken);
  }

  ConnectionActivity Activity() const {
    const bool unread = stream_ != nullptr && stream_->BufferedBytes() > 0;
    return {!queue_.IsEmpty(), receiving_, used_, unread, last_transfer_};
  }

  void OnEnd(StreamEnd /*end*/) override {
    stream_ = nullptr;
    const std::vector<uint64_t> ids = queue_.StartedIds();
    server_.Remove(*this);
    ReleaseMemory();
    CancelAll(ids);
  }

  std::vector<uint64_t> StartedIds() const { return queue_.StartedIds(); }
  Address Client() const {
    return stream_ == nullptr ? Address{} : stream_->Client();
  }

 private:
  /// Minimum number of written bytes per report to the handler.
  static constexpr size_t kMinReportedBytes = 65'536;
  /// No further part is written while the stream buffers this much or more.
  static constexpr size_t kHighWaterBytes = 65'536;
  /// Reading stops when this much has arrived that may not be parsed yet.
  static constexpr size_t kMaxReadAheadBytes = 65'536;
  /// A client that has sent more than this after a request that is being
  /// answered may lose its connection when memory is short.
  static constexpr size_t kMaxHeldAheadBytes = 16'384;
  /// Bodies from this size on are received with a large buffer, on so many
  /// connections at a time.
  static constexpr uint64_t kLargeBodyBytes = 65'536;
  static constexpr size_t kLargeReceiveBufferBytes = 131'072;
  static constexpr size_t kMaxLargeBuffers = 32;
  /// Deadlines are counted in this unit.
  static constexpr Duration kMinReportedWait = 1ms;
  /// Requests that are read in one turn, so that a client that pipelines
  /// requests without end, which are answered at once, does not keep others
  /// waiting.
  static constexpr int kMaxRequestsPerTurn = 16;

  /// Stops reading from a client that keeps sending while no further request
  /// may be read, or that does not read its answers, and resumes afterwards.
  void LimitReadAhead() {
    if (stream_ == nullptr) return;
    const bool stop = reader_.UnparsedBytes() > kMaxReadAheadBytes;
    if (std::exchange(reading_stopped_, stop) != stop)
      stream_->SetReading(!stop);
  }

  void RecordTransfer() {
    ++transfers_;
    last_transfer_ = Loop::Now();
  }

  bool HasUnreadAnswers() const {
    return stream_->BufferedBytes() >= kHighWaterBytes;
  }

  void ReadNext() {
    // A handler that answers synchronously re-enters this function; the outer
    // call then continues with the next request.
    if (std::exchange(in_read_loop_, true)) return;
    ReadRequests();
    in_read_loop_ = false;
  }

  void ReadRequests() {
    int requests = 0;
    while (stream_ != nullptr && queue_.MayRead() && !HasUnreadAnswers()) {
      if (requests++ == kMaxRequestsPerTurn) {
        ContinueLater();
        return;
      }
      const ReadState state = reader_.Advance();
      if (state == ReadState::kIdle) {
        receiving_ = false;
        return;
      }
      if (!std::exchange(receiving_, true)) phase_started_ = Loop::Now();
      const bool readable =
          state == ReadState::kPartial || state == ReadState::kWhole;
      if (readable && !CountMemory()) {
        RefuseBody();
        return;
      }
      // The connection itself may have given way.
      if (stream_ == nullptr || !queue_.MayRead()) return;
      if (state == ReadState::kPartial) {
        WriteContinue();
        return;
      }
      if (state == ReadState::kWhole) {
        QueueRequest();
      } else {
        reader_.Discard();
        AnswerLast(server_.handler_.MakeErrorAnswer(state));
      }
    }
  }

  /// Sends `100 Continue` if the client waits for it. It would be taken for the
  /// answer to an earlier request while there is one.
  void WriteContinue() {
    if (!queue_.IsEmpty() || !reader_.TakeContinue()) return;
    stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void QueueRequest() {
    const bool closes = !reader_.KeepsAlive();
    const RequestMemory memory = MemoryOfRequest(reader_);
    receiving_ = false;
    used_ = true;
    queue_.Add(HttpExchange(reader_.Take(), Loop::Now(), memory));
    if (closes) queue_.CloseAfterLast();
    CountMemory();
    StartRequests();
  }

  /// Passes the requests whose turn has come to the handler.
  void StartRequests() {
    while (stream_ != nullptr) {
      HttpExchange* next = queue_.FirstWaiting();
      if (next == nullptr) return;
      const bool overlaps = MayOverlap(next->Request());
      if (!queue_.MayStartNext(overlaps)) return;
      Dispatch(*next, overlaps);
    }
  }

  bool MayOverlap(const HttpRequest& request) const {
    const PipelineLimits& limits = server_.limits_.pipeline;
    return limits.requests > 1 && server_.overlapping_ < limits.overlapping &&
           server_.handler_.MayOverlap(request);
  }

  void Dispatch(HttpExchange& exchange, bool overlaps) {
    const uint64_t id = ++server_.next_id_;
    server_.sessions_by_request_[id] = this;
    const Duration waited = Loop::Now() - exchange.ReadAt();
    const bool is_front = &exchange == &queue_.Front();
    if (!is_front) ++server_.pipeline_counts_.overlapped;
    // The handler may answer at once and thereby remove the exchange.
    HttpRequest request = exchange.Start(id, overlaps);
    CountOverlapping();
    if (waited >= kMinReportedWait) {
      ++server_.pipeline_counts_.waited;
      server_.handler_.OnDelayedRequest(id, std::move(request), waited);
    } else {
      server_.handler_.OnRequest(id, std::move(request));
    }
  }

  /// Continues with the next requests after other connections have been served.
  void ContinueLater() {
    if (std::exchange(continues_later_, true)) return;
    HttpServer& server = server_;
    server.loop_.RunIn(Duration::zero(), [&server, session = this] {
      if (server.sessions_.contains(session)) session->Continue();
    });
  }

  void Continue() {
    continues_later_ = false;
    ReadNext();
    LimitReadAhead();
    CountMemory();
  }

  /// Counts the requests that run behind the first one in the server's total.
  void CountOverlapping() {
    const size_t count = queue_.OverlappingCount();
    server_.overlapping_ += count - std::exchange(overlapping_, count);
  }

  /// Reports what the connection holds. Returns false if the body of the
  /// current request does not fit in memory.
  bool CountMemory() {
    if (stream_ == nullptr) return true;
    const uint64_t queued_body_bytes = queue_.BodyBytes();
    const uint64_t announced_bytes = reader_.AnnouncedBodyBytes();
    ClientUsage usage;
    usage.body_bytes = queued_body_bytes + reader_.BodyMemory();
    if (announced_bytes > 0)
      usage.announced_bytes = queued_body_bytes + announced_bytes;
    usage.buffer_bytes =
        reader_.BufferBytes() + queue_.BufferBytes() + stream_->HeldBytes();
    usage.receiving = receiving_ && queue_.IsEmpty();
    usage.lagging =
        stream_->BufferedBytes() > 0 || HeldAheadBytes() > kMaxHeldAheadBytes;
    usage.transfers = transfers_;
    AdaptReceiveBuffer(usage.body_bytes);
    return server_.memory_.Record(*this, usage, last_transfer_);
  }

  /// Lets the system receive more for a large body, on a few connections at a
  /// time, so that it does not take long over a distant link.
  void AdaptReceiveBuffer(uint64_t body_bytes) {
    const size_t usual = server_.limits_.receive_buffer_bytes;
    const bool is_large = body_bytes >= kLargeBodyBytes;
    if (usual == 0 || is_large == has_large_buffer_) return;
    if (is_large && server_.large_buffers_ >= kMaxLargeBuffers) return;
    SetLargeBuffer(is_large);
    stream_->SetReceiveBuffer(
        is_large ? std::max(usual, kLargeReceiveBufferBytes) : usual);
  }

  void SetLargeBuffer(bool is_large) {
    if (std::exchange(has_large_buffer_, is_large) == is_large) return;
    if (is_large) {
      ++server_.large_buffers_;
    } else {
      --server_.large_buffers_;
    }
  }

  /// Bytes that the client has sent after requests that are being answered.
  uint64_t HeldAheadBytes() const {
    const uint64_t body_bytes = queue_.IsEmpty() ? 0 : reader_.BodyMemory();
    return reader_.UnparsedBytes() + body_bytes;
  }

  void RefuseBody() {
    ++server_.refused_bodies_;
    reader_.Discard();
    AnswerLast(server_.handler_.MakeOverloadAnswer());
  }

  /// Answers a request that cannot be read, after which the connection closes.
  void AnswerLast(AnswerPart answer) {
    receiving_ = false;
    used_ = true;
    queue_.Add(HttpExchange(std::move(answer)));
    queue_.CloseAfterLast();
    WritePending();
  }

  void WritePending() {
    // The handler may answer while an answer is being finished; the outer call
    // then continues with that part.
    if (std::exchange(in_write_loop_, true)) return;
    WriteAnswers();
    in_write_loop_ = false;
    ReportWrittenBytes();
    ReadNext();
    LimitReadAhead();
    CountMemory();
  }

  void WriteAnswers() {
    while (stream_ != nullptr && !queue_.IsEmpty() &&
           queue_.Front().HasPart() &&
           stream_->BufferedBytes() < kHighWaterBytes) {
      HttpExchange& front = queue_.Front();
      if (front.IsBrokenNext()) {
        CloseConnection(false);
        return;
      }
      const std::string bytes = front.FormatNext(queue_.ClosesAfterFront());
      const bool is_written = front.IsWritten();
      if (!bytes.empty()) stream_->Write(bytes);
      if (stream_ != nullptr && is_written) FinishAnswer();
    }
  }

  void ReportWrittenBytes() {
    if (stream_ == nullptr || queue_.IsEmpty()) return;
    HttpExchange& front = queue_.Front();
    const size_t bytes = front.TakeWrittenBytes(kMinReportedBytes);
    if (bytes > 0) server_.handler_.OnAnswerBytesWritten(front.Id(), bytes);
  }

  void FinishAnswer() {
    server_.sessions_by_request_.erase(queue_.Front().Id());
    queue_.PopFront();
    CountOverlapping();
    phase_started_ = Loop::Now();
    if (queue_.IsFinished()) {
      CloseConnection(true);
      return;
    }
    StartRequests();
  }

  /// Tells the handler that the answers to these requests are not wanted any
  /// more.
  void CancelAll(const std::vector<uint64_t>& ids) {
    for (const uint64_t id : ids) server_.sessions_by_request_.erase(id);
    for (const uint64_t id : ids) server_.handler_.OnClientDisconnected(id);
  }

  /// Closes the connection without notifying the handler: after pending output
  /// has been written if `graceful`, otherwise immediately.
  void CloseConnection(bool graceful) {
    if (stream_ == nullptr) return;
    Stream* stream = std::exchange(stream_, nullptr);
    if (graceful && server_.MayLinger()) {
      stream->Close();
    } else {
      stream->Abort();
    }
    server_.Remove(*this);
    ReleaseMemory();
  }

  /// The session itself is destroyed later, from the loop.
  void ReleaseMemory() {
    reader_.Discard();
    queue_.Clear();
    CountOverlapping();
    SetLargeBuffer(false);
  }

  HttpServer& server_;
  Stream* stream_;
  HttpRequestReader reader_;
  AnswerQueue queue_;
  /// Time at which the current request began to arrive or the previous answer
  /// was completed.
  Time phase_started_;
  /// Time and number of transfers to or from the client.
  Time last_transfer_;
  uint64_t transfers_ = 0;
  /// Requests that run behind the first one.
  size_t overlapping_ = 0;
  /// At least one request has been received.
  bool used_ = false;
  /// True while a request has been received in part.
  bool receiving_ = false;
  bool in_read_loop_ = false;
  bool in_write_loop_ = false;
  bool reading_stopped_ = false;
  bool has_large_buffer_ = false;
  /// `Continue` will be called from the loop.
  bool continues_later_ = false;
};

}  // namespace buckthorncart
