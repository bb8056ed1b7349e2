#pragma once
/// \file
/// A connection of the HTTP client. Included by http_client.cc only.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "Net/http_client.h"
#include "Net/stream.h"
#include "Wire/http_answer_reader.h"
#include "Wire/http_format.h"

namespace buckthorncart {

/// Carries one request at a time; requests are not pipelined.
class HttpClient::Connection : public StreamHandler {
 public:
  Connection(HttpClient& client, Address to)
      : client_(client), to_(to), reader_(client.settings_.limits) {}

  void SetStream(Stream& stream) { stream_ = &stream; }
  Address To() const { return to_; }
  uint64_t Id() const { return id_; }
  bool IsOpen() const { return stream_ != nullptr && stream_->IsOpen(); }

  void Send(uint64_t id, const HttpRequest& request) {
    id_ = id;
    const std::string& name = client_.settings_.request_id_header;
    request_id_ = name.empty() ? "" : FindHeader(request.headers, name);
    method_ = request.method;
    discarded_bytes_ = 0;
    reader_.Begin(method_);
    stream_->Write(FormatRequestHead(request, to_.ToString()), request.body);
  }

  void SetReading(bool reading) {
    if (stream_ != nullptr) stream_->SetReading(reading);
  }

  /// Returns true if the connection has been idle briefly enough to carry
  /// another request at `now`.
  bool IsUsable(Time now, bool repeatable) const {
    const Duration idle = now - idle_since_;
    return idle < (repeatable ? idle_limit_ : kNonRepeatableIdleLimit);
  }

  /// Returns true if a request with this ID has failed on the connection.
  bool HasFailed(const std::string& request_id) const {
    if (request_id.empty()) return false;
    return std::find(failed_ids_.begin(), failed_ids_.end(),
                     std::hash<std::string>{}(request_id)) != failed_ids_.end();
  }

  /// Returns true if the peer may repeat a failed answer that names no request,
  /// so that the next one could not be told from it.
  bool MayRepeatFailure(Time now) const {
    return nameless_failure_at_ != Time{} &&
           now - nameless_failure_at_ < kMaxRepetitionDelay;
  }

  /// Closes the connection without notifying the handler.
  void Drop() {
    if (stream_ != nullptr) std::exchange(stream_, nullptr)->Abort();
    client_.Remove(*this);
  }

  /// Reports that the connection was not established in time.
  void HandleConnectTimeout() {
    const uint64_t id = id_;
    Drop();
    ReportFault(id, BackendFault::kNotConnected);
  }

  void OnBytes(std::string_view bytes) override {
    // Unsolicited data on an idle connection.
    if (id_ == 0) {
      Drop();
      return;
    }
    reader_.Append(bytes);
    Read();
  }

  void OnEnd(StreamEnd end) override {
    stream_ = nullptr;
    const uint64_t id = id_;
    if (id == 0) {
      client_.Remove(*this);
      return;
    }
    if (end == StreamEnd::kNotConnected) {
      client_.Remove(*this);
      ReportFault(id, BackendFault::kNotConnected);
      return;
    }
    const bool complete = end == StreamEnd::kFinished && reader_.HasHead() &&
                          reader_.Finish() == ReadState::kWhole &&
                          BelongsToRequest(reader_.Peek());
    if (!complete) {
      Fail();
      return;
    }
    AnswerPart part = reader_.Take();
    client_.Remove(*this);
    client_.handler_(id, std::move(part), BackendFault::kNone);
  }

 private:
  /// Idle time after which a peer that announces no keep-alive timeout may be
  /// closing the connection.
  static constexpr Duration kDefaultIdleLimit = 4s;
  /// Safety margin before the keep-alive timeout that the peer announces.
  static constexpr Duration kKeepAliveMargin = 1500ms;
  /// Idle limit for requests that must not run twice: such a request cannot be
  /// retried if the peer closes the connection while it is being sent.
  static constexpr Duration kNonRepeatableIdleLimit = 1s;
  /// Bytes of answers to earlier requests that are read for one request.
  static constexpr size_t kMaxDiscardedBytes = 4U << 20U;

  /// Time after an answer in which the peer may send it again.
  static constexpr Duration kMaxRepetitionDelay = 3s;
  /// Number of requests that have failed on a connection and are remembered.
  static constexpr size_t kMaxFailedIds = 256;
  static constexpr uint16_t kFirstFailureStatus = 400;

  bool BelongsToRequest(const Headers& headers) const {
    const std::string_view id = IdOf(headers);
    return request_id_.empty() || id.empty() || id == request_id_;
  }

  std::string_view IdOf(const Headers& headers) const {
    const std::string& name = client_.settings_.request_id_header;
    return name.empty() ? std::string_view{} : FindHeader(headers, name);
  }

  /// Records whether `answer` is a failed one that the peer, which names
  /// requests otherwise, has not named.
  void CheckId(const AnswerPart& answer) {
    if (request_id_.empty()) return;
    if (!IdOf(answer.headers).empty()) {
      client_.peers_with_ids_.insert(to_);
    } else if (answer.status >= kFirstFailureStatus &&
               client_.peers_with_ids_.contains(to_)) {
      nameless_failure_at_ = Loop::Now();
    }
  }

  void RememberFailed() {
    if (request_id_.empty()) return;
    failed_ids_.push_back(std::hash<std::string>{}(request_id_));
    if (failed_ids_.size() > kMaxFailedIds) failed_ids_.pop_front();
  }

  void Read() {
    while (stream_ != nullptr && id_ != 0) {
      const ReadState state = reader_.Advance();
      if (state == ReadState::kIdle) return;
      if (state != ReadState::kPartial && state != ReadState::kWhole) {
        Fail();
        return;
      }
      if (reader_.HasHead() && !BelongsToRequest(reader_.Peek())) {
        if (!DiscardAnswer(state)) return;
        continue;
      }
      if (state == ReadState::kPartial) {
        DeliverAvailable();
        return;
      }
      DeliverFinal();
    }
  }

  /// Discards what has been read of an answer that belongs to an earlier
  /// request. Returns true if the next answer may follow.
  bool DiscardAnswer(ReadState state) {
    discarded_bytes_ += reader_.TakeBody().size();
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      Fail();
      return false;
    }
    if (state == ReadState::kPartial) return false;
    if (!reader_.KeepsAlive()) {
      Fail();
      return false;
    }
    reader_.Begin(method_);
    return true;
  }

  void DeliverAvailable() {
    if (!reader_.HasHead()) return;
    const size_t max_buffered_bytes =
        client_.settings_.max_buffered_answer_bytes;
    if (!head_delivered_ && max_buffered_bytes > 0 &&
        reader_.BodyBytes() < max_buffered_bytes)
      return;
    if (head_delivered_ && reader_.BodyBytes() == 0) return;
    head_delivered_ = true;
    client_.handler_(id_, reader_.Take(), BackendFault::kNone);
  }

  void DeliverFinal() {
    AnswerPart part = reader_.Take();
    const uint64_t id = id_;
    if (part.status >= kFirstFailureStatus) RememberFailed();
    CheckId(part);
    // If the answer is complete before the request has been sent completely,
    // the rest of the request is still to be written, and the connection cannot
    // be reused.
    const bool reusable = reader_.KeepsAlive() && !reader_.HasRest() &&
                          stream_->BufferedBytes() == 0;
    if (reusable) {
      MarkIdle();
    } else {
      Drop();
    }
    client_.handler_(id, std::move(part), BackendFault::kNone);
  }

  void MarkIdle() {
    const unsigned seconds = reader_.KeepAliveSeconds();
    if (seconds > 0) {
      idle_limit_ =
          std::max<Duration>(std::chrono::seconds(seconds) - kKeepAliveMargin,
                             kNonRepeatableIdleLimit);
    }
    client_.connections_by_request_.erase(id_);
    id_ = 0;
    head_delivered_ = false;
    idle_since_ = Loop::Now();
    client_.AddIdle(*this);
  }

  void Fail() {
    const uint64_t id = id_;
    Drop();
    ReportFault(id, BackendFault::kConnectionBroken);
  }

  void ReportFault(uint64_t id, BackendFault fault) {
    if (id == 0) return;
    AnswerPart part;
    part.end = AnswerEnd::kBroken;
    client_.handler_(id, std::move(part), fault);
  }

  HttpClient& client_;
  Address to_;
  Stream* stream_ = nullptr;
  HttpAnswerReader reader_;
  /// ID of the current request; 0 while idle.
  uint64_t id_ = 0;
  std::string request_id_;
  std::string method_;
  bool head_delivered_ = false;
  size_t discarded_bytes_ = 0;
  Time nameless_failure_at_{};
  /// Hashes of the IDs of requests that have failed on this connection.
  std::deque<size_t> failed_ids_;
  Time idle_since_{};
  Duration idle_limit_ = kDefaultIdleLimit;
};

}  // namespace buckthorncart
