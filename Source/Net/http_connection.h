#pragma once
/// \file
/// One connection of an HTTP client; include it in http_client.cc only.

#include <algorithm>
#include <utility>

#include "Net/http_client.h"
#include "Net/stream.h"
#include "Wire/http_answer_reader.h"
#include "Wire/http_format.h"

namespace buckthorncart {

/// Carries one request at a time.
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
    reader_.Begin(method_);
    stream_->Write(FormatRequest(request, to_.ToString()));
  }

  void SetReading(bool reading) {
    if (stream_ != nullptr) stream_->SetReading(reading);
  }

  /// True if a request may be sent at `now`.
  bool IsUsable(Time now, bool repeatable) const {
    const Duration idle = now - idle_since_;
    return idle < (repeatable ? idle_limit_ : kUnrepeatableIdleLimit);
  }

  /// Ends the connection without a word to the handler.
  void Drop() {
    if (stream_ != nullptr) std::exchange(stream_, nullptr)->Abort();
    client_.Remove(*this);
  }

  /// The connection did not open in time.
  void GiveUpOpening() {
    const uint64_t id = id_;
    Drop();
    Report(id, BackendFault::kNotConnected);
  }

  void OnBytes(std::string_view bytes) override {
    // Bytes that no request waits for.
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
      Report(id, BackendFault::kNotConnected);
      return;
    }
    const bool whole = end == StreamEnd::kFinished && reader_.HasHead() &&
                       reader_.Finish() == ReadState::kWhole &&
                       IsOwnAnswer(reader_.Peek());
    if (!whole) {
      Fail();
      return;
    }
    AnswerPart part = reader_.Take();
    client_.Remove(*this);
    client_.handler_(id, std::move(part), BackendFault::kNone);
  }

 private:
  /// Idle time after which a peer that names none may be closing.
  static constexpr Duration kDefaultIdleLimit = 4s;
  /// Safety margin before the time that the peer names.
  static constexpr Duration kIdleMargin = 1500ms;
  /// A request that must not run twice is lost if it crosses a close.
  static constexpr Duration kUnrepeatableIdleLimit = 1s;

  bool IsOwnAnswer(const Headers& headers) const {
    if (request_id_.empty()) return true;
    const std::string_view named =
        FindHeader(headers, client_.settings_.request_id_header);
    return named.empty() || named == request_id_;
  }

  void Read() {
    while (stream_ != nullptr && id_ != 0) {
      const ReadState state = reader_.Advance();
      if (state == ReadState::kIdle) return;
      if (state != ReadState::kPartial && state != ReadState::kWhole) {
        Fail();
        return;
      }
      if (reader_.HasHead() && !IsOwnAnswer(reader_.Peek())) {
        if (state == ReadState::kPartial) return;
        SkipAnswer();
        continue;
      }
      if (state == ReadState::kPartial) {
        DeliverSome();
        return;
      }
      DeliverLast();
    }
  }

  /// Drops a whole answer that belongs to an earlier request.
  void SkipAnswer() {
    if (!reader_.KeepsAlive()) {
      Fail();
      return;
    }
    reader_.Begin(method_);
  }

  void DeliverSome() {
    if (!reader_.HasHead()) return;
    const size_t held = client_.settings_.whole_answer_bytes;
    if (!head_delivered_ && held > 0 && reader_.BodyBytes() < held) return;
    if (head_delivered_ && reader_.BodyBytes() == 0) return;
    head_delivered_ = true;
    client_.handler_(id_, reader_.Take(), BackendFault::kNone);
  }

  void DeliverLast() {
    AnswerPart part = reader_.Take();
    const uint64_t id = id_;
    // An answer that comes before the whole request has left leaves bytes on
    // the connection that belong to no other request.
    const bool reusable = reader_.KeepsAlive() && !reader_.HasRest() &&
                          stream_->BufferedBytes() == 0;
    if (reusable) {
      SetIdle();
    } else {
      Drop();
    }
    client_.handler_(id, std::move(part), BackendFault::kNone);
  }

  void SetIdle() {
    const unsigned seconds = reader_.KeepAliveSeconds();
    if (seconds > 0) {
      idle_limit_ = std::max<Duration>(
          std::chrono::seconds(seconds) - kIdleMargin, kUnrepeatableIdleLimit);
    }
    client_.by_id_.erase(id_);
    id_ = 0;
    head_delivered_ = false;
    idle_since_ = Loop::Now();
    client_.KeepIdle(*this);
  }

  void Fail() {
    const uint64_t id = id_;
    Drop();
    Report(id, BackendFault::kConnectionBroken);
  }

  void Report(uint64_t id, BackendFault fault) {
    if (id == 0) return;
    AnswerPart part;
    part.end = AnswerEnd::kBroken;
    client_.handler_(id, std::move(part), fault);
  }

  HttpClient& client_;
  Address to_;
  Stream* stream_ = nullptr;
  HttpAnswerReader reader_;
  /// Request that is being carried; 0 while idle.
  uint64_t id_ = 0;
  std::string request_id_;
  std::string method_;
  bool head_delivered_ = false;
  Time idle_since_{};
  Duration idle_limit_ = kDefaultIdleLimit;
};

}  // namespace buckthorncart
