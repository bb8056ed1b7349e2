#pragma once
/// \file
/// One connection of an HTTP server; include it in http_server.cc only.

#include <cstdio>
#include <deque>
#include <utility>

#include "Net/http_server.h"
#include "Net/stream.h"
#include "Wire/http_format.h"

namespace buckthorncart {

/// Reads one request at a time and writes its answer; the next one waits.
class HttpServer::Session : public StreamHandler {
 public:
  Session(HttpServer& server, Stream& stream)
      : server_(server),
        stream_(&stream),
        reader_(server.limits_.message),
        since_(Loop::Now()) {}

  /// Adds a part of the answer to the current request.
  void Answer(AnswerPart part, bool close) {
    close_ = close_ || close;
    buffered_ += part.body.size();
    parts_.push_back(std::move(part));
    Pump();
  }

  void Abort() { End(false); }

  /// Closes a connection that has been idle or slow for too long.
  void CheckTime(Time now) {
    if (dispatched_) return;
    const bool idle = !reading_;
    const Duration limit =
        idle ? server_.limits_.idle_time : server_.limits_.request_time;
    if (now - since_ >= limit) End(true);
  }

  bool IsBusy() const { return dispatched_ || reading_; }
  size_t BufferedBytes() const { return buffered_; }

  void OnBytes(std::string_view bytes) override {
    reader_.Append(bytes);
    ReadNext();
  }

  void OnWritten() override { Pump(); }

  void OnEnd(StreamEnd /*end*/) override {
    stream_ = nullptr;
    const bool left = dispatched_;
    const uint64_t id = id_;
    server_.Remove(*this);
    if (left) server_.handler_.OnClientDisconnected(id);
  }

  uint64_t Id() const { return id_; }

 private:
  /// Written bytes are reported in pieces of at least this size.
  static constexpr size_t kReportBytes = 65'536;
  /// The next part waits while the stream holds more than this.
  static constexpr size_t kHighWaterBytes = 65'536;

  static bool HasBody(uint16_t status) {
    constexpr uint16_t kNoContent = 204;
    constexpr uint16_t kNotModified = 304;
    return status != kNoContent && status != kNotModified;
  }

  void ReadNext() {
    // An answer that comes from inside goes on with the loop below it.
    if (std::exchange(in_read_, true)) return;
    ReadRequests();
    in_read_ = false;
  }

  void ReadRequests() {
    while (stream_ != nullptr && !dispatched_) {
      const ReadState state = reader_.Advance();
      if (state == ReadState::kIdle) {
        reading_ = false;
        return;
      }
      if (!std::exchange(reading_, true)) since_ = Loop::Now();
      if (state == ReadState::kPartial) {
        if (reader_.TakeContinue()) {
          stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
      }
      if (state == ReadState::kWhole) {
        Dispatch();
      } else {
        Refuse(state);
      }
    }
  }

  void Dispatch() {
    Begin();
    close_ = !reader_.KeepsAlive();
    HttpRequest request = reader_.Take();
    to_head_ = request.method == "HEAD";
    server_.handler_.OnRequest(id_, std::move(request));
  }

  void Refuse(ReadState fault) {
    Begin();
    Answer(server_.handler_.MakeRefusal(fault), true);
  }

  void Begin() {
    id_ = ++server_.next_id_;
    server_.by_id_[id_] = this;
    dispatched_ = true;
    reading_ = false;
    to_head_ = false;
  }

  void Pump() {
    while (stream_ != nullptr && !parts_.empty() &&
           stream_->BufferedBytes() < kHighWaterBytes) {
      const AnswerPart part = std::move(parts_.front());
      parts_.pop_front();
      buffered_ -= part.body.size();
      drained_ += part.body.size();
      if (part.end == AnswerEnd::kBroken) {
        End(false);
        return;
      }
      WritePart(part);
      if (part.end == AnswerEnd::kComplete) {
        FinishAnswer();
        return;
      }
    }
    if (dispatched_ && drained_ >= kReportBytes) {
      server_.handler_.OnDrained(id_, std::exchange(drained_, 0));
    }
  }

  void WritePart(const AnswerPart& part) {
    std::string out;
    if (part.IsHead()) out = MakeHead(part);
    const size_t n = to_head_ ? 0 : part.body.size();
    out.reserve(out.size() + n + 32);
    const bool chunked = framing_ == AnswerFraming::kChunked;
    if (chunked && n > 0) {
      char size[32];
      out.append(size, static_cast<size_t>(
                           std::snprintf(size, sizeof(size), "%zx\r\n", n)));
    }
    if (framing_ != AnswerFraming::kNone) out.append(part.body, 0, n);
    if (chunked && n > 0) out.append("\r\n");
    if (chunked && part.end == AnswerEnd::kComplete) out.append("0\r\n\r\n");
    if (!out.empty()) stream_->Write(out);
  }

  std::string MakeHead(const AnswerPart& part) {
    const std::string_view given = FindHeader(part.headers, "content-length");
    const bool whole = part.end == AnswerEnd::kComplete;
    size_t length = part.body.size();
    const bool use_given = !given.empty() && (!whole || to_head_);
    if (use_given)
      length = std::strtoull(std::string(given).c_str(), nullptr, 10);
    framing_ = AnswerFraming::kLength;
    if (!HasBody(part.status)) {
      framing_ = AnswerFraming::kNone;
    } else if (!whole && given.empty() && !to_head_) {
      framing_ = AnswerFraming::kChunked;
    }
    return FormatAnswerHead(part, framing_, length, close_);
  }

  void FinishAnswer() {
    server_.by_id_.erase(id_);
    dispatched_ = false;
    drained_ = 0;
    since_ = Loop::Now();
    if (close_) {
      End(true);
      return;
    }
    ReadNext();
  }

  /// Ends the connection, in order or at once. Nobody is told.
  void End(bool in_order) {
    if (stream_ == nullptr) return;
    Stream* stream = std::exchange(stream_, nullptr);
    if (in_order) {
      stream->Close();
    } else {
      stream->Abort();
    }
    server_.Remove(*this);
  }

  HttpServer& server_;
  Stream* stream_;
  HttpRequestReader reader_;
  uint64_t id_ = 0;
  /// When the current request began to arrive, or the last one ended.
  Time since_;
  /// Part of a request has arrived.
  bool reading_ = false;
  /// A whole request is being answered.
  bool dispatched_ = false;
  bool to_head_ = false;
  bool close_ = false;
  bool in_read_ = false;
  AnswerFraming framing_ = AnswerFraming::kLength;
  std::deque<AnswerPart> parts_;
  size_t buffered_ = 0;
  /// Bytes handed on since they were last reported.
  size_t drained_ = 0;
};

}  // namespace buckthorncart
