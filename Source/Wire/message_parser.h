#pragma once
/// \file
/// Shared code of the request and answer readers. Include this file in their
/// .cc files only, because the headers of Boost.Beast are slow to compile.

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Wire/http.h"
#include "Wire/http_limits.h"
#include "Wire/http_request_reader.h"
#include "Wire/received_body.h"

namespace buckthorncart {

std::string LowerCase(std::string_view text);

/// Returns true for hop-by-hop headers and headers that delimit the body.
bool IsHopByHop(std::string_view lower_case_name);

/// Returns true if the comma-separated `list` contains the lower-case `token`.
bool HasToken(std::string_view list, std::string_view token);

/// Buffers the bytes of a connection and passes them to the Boost.Beast parser.
template <bool kIsRequest>
class MessageParser {
 public:
  using BeastParser = boost::beast::http::parser<kIsRequest, ReceivedBody>;

  explicit MessageParser(const HttpLimits& limits) : limits_(limits) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// Returns true if the buffer contains bytes that have not been parsed.
  bool HasRest() const { return RestBytes() > 0; }
  size_t RestBytes() const { return buffer_.size() - offset_; }
  /// Returns the memory that the body of the current message takes.
  size_t BodyMemory() const {
    if (!parser_) return 0;
    const size_t size = parser_->get().body().size();
    const size_t capacity = parser_->get().body().capacity();
    // The unused part of a large block is never touched and takes no memory.
    // Small blocks leave others behind that the allocator keeps.
    return capacity >= kMinLargeBytes ? size : 2 * size;
  }
  /// Returns the memory of the buffer and of the head, without the body.
  size_t BufferBytes() const { return buffer_.capacity() + head_bytes_; }
  /// Drops the current message and everything that has been added.
  void Discard() {
    Reset();
    buffer_ = std::string();
    offset_ = 0;
  }

  /// Returns the parser of the current message, created if necessary.
  BeastParser& Get() {
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(limits_.head_bytes);
      parser_->body_limit(limits_.body_bytes);
      parser_->eager(true);
    }
    return *parser_;
  }
  /// Returns the parser of the current message, or null if there is none yet.
  const BeastParser* Current() const { return parser_ ? &*parser_ : nullptr; }

  /// Parses the buffered bytes, up to the end of the current message.
  ReadState Advance() {
    while (HasRest() && !Get().is_done()) {
      boost::beast::error_code ec;
      GrowBody();
      const bool in_head = !parser_->is_header_done();
      const size_t n =
          parser_->put(boost::asio::buffer(buffer_.data() + offset_,
                                           buffer_.size() - offset_),
                       ec);
      offset_ += n;
      if (in_head) CountHead(n);
      if (in_head && HasUnknownCoding()) return ReadState::kMalformed;
      if (ec == boost::beast::http::error::need_more) break;
      if (ec) return StateOf(ec);
      if (n == 0) break;
    }
    Compact();
    if (parser_ && parser_->is_done()) return ReadState::kWhole;
    const bool started = HasRest() || (parser_ && parser_->got_some());
    if (RestBytes() > limits_.head_bytes) {
      // After the head, only the size of a chunk or the trailer can be
      // incomplete in the buffer.
      return Get().is_header_done() ? ReadState::kMalformed
                                    : ReadState::kHeadTooLarge;
    }
    return started ? ReadState::kPartial : ReadState::kIdle;
  }

  /// Handles the end of the stream.
  ReadState Finish() {
    if (!parser_ || !parser_->is_header_done()) return ReadState::kMalformed;
    boost::beast::error_code ec;
    parser_->put_eof(ec);
    if (ec) return ReadState::kMalformed;
    return parser_->is_done() ? ReadState::kWhole : ReadState::kMalformed;
  }

  /// Begins the next message. Buffered bytes are kept.
  void Reset() {
    parser_.reset();
    head_bytes_ = 0;
  }

  /// Returns the end-to-end headers of the current message.
  Headers TakeHeaders() {
    const auto& fields = Get().get();
    const auto connection =
        LowerCase(ToView(fields[boost::beast::http::field::connection]));
    Headers headers;
    for (const auto& field : fields) {
      std::string name = LowerCase(ToView(field.name_string()));
      if (IsHopByHop(name) || HasToken(connection, name)) continue;
      headers.push_back({std::move(name), std::string(ToView(field.value()))});
    }
    return headers;
  }

  static std::string_view ToView(boost::beast::string_view text) {
    return {text.data(), text.size()};
  }

 private:
  static ReadState StateOf(const boost::beast::error_code& ec) {
    if (ec == boost::beast::http::error::header_limit) {
      return ReadState::kHeadTooLarge;
    }
    if (ec == boost::beast::http::error::body_limit) {
      return ReadState::kBodyTooLarge;
    }
    return ReadState::kMalformed;
  }

  /// Returns true if the body has a transfer coding other than `chunked`. Where
  /// such a body ends is not known, or its coding would be lost on the way
  /// (RFC 9112, 6.1 and 6.3).
  bool HasUnknownCoding() const {
    if (!parser_->is_header_done()) return false;
    const auto& message = parser_->get();
    const auto codings =
        message.equal_range(boost::beast::http::field::transfer_encoding);
    if (codings.first == codings.second) return false;
    constexpr unsigned kHttp11 = 11;
    const bool is_single = std::next(codings.first) == codings.second;
    return !is_single || message.version() < kHttp11 ||
           LowerCase(ToView(codings.first->value())) != "chunked";
  }

  /// Counts `n` further bytes of the head, and its fields once it is complete.
  void CountHead(size_t n) {
    head_bytes_ = std::min<size_t>(head_bytes_ + n, limits_.head_bytes);
    if (!parser_->is_header_done()) return;
    const auto& fields = parser_->get();
    head_bytes_ += kFieldBytes * static_cast<size_t>(std::distance(
                                     fields.begin(), fields.end()));
  }

  /// Removes the parsed bytes from the buffer. They are only removed once they
  /// are half of it, so that many small messages are not moved each time.
  void Compact() {
    if (!HasRest()) {
      // An idle connection keeps no large buffer.
      if (buffer_.capacity() > kKeptCapacityBytes) buffer_ = std::string();
      buffer_.clear();
    } else if (offset_ < buffer_.size() / 2) {
      return;
    } else {
      // Copied, so that a few bytes do not keep a large block.
      buffer_ = std::string(buffer_, offset_);
    }
    offset_ = 0;
  }

  /// Enlarges a body in few large steps, before its next bytes are parsed.
  /// Doubling would hold up to three times its size while it is copied. The
  /// unused part of a large block is never touched and takes no memory. An
  /// announced body of usual size has been reserved by `ReceivedBody`.
  void GrowBody() {
    if (!Get().is_header_done()) return;
    std::string& body = parser_->get().body();
    const size_t needed = body.size() + RestBytes();
    if (needed <= body.capacity() || needed < kFirstGrownBytes) return;
    const uint64_t step = std::max<uint64_t>(needed * kGrowth, kMinLargeBytes);
    // The rest of the buffer may be longer than what is allowed of the body.
    if (body.size() > limits_.body_bytes) return;
    const uint64_t most =
        Get().content_length().value_or(limits_.body_bytes + kMinLargeBytes);
    body.reserve(static_cast<size_t>(std::min<uint64_t>(step, most)));
  }

  static constexpr size_t kKeptCapacityBytes = 4'096;
  /// Memory of a header field besides its text.
  static constexpr size_t kFieldBytes = 96;
  /// Blocks from this size on are returned to the system when they are freed
  /// (`ReturnFreeMemory`).
  static constexpr size_t kMinLargeBytes = 262'144;
  /// Smaller bodies grow by doubling.
  static constexpr size_t kFirstGrownBytes = 16'384;
  static constexpr uint64_t kGrowth = 8;

  HttpLimits limits_;
  std::string buffer_;
  size_t offset_ = 0;
  size_t head_bytes_ = 0;
  std::optional<BeastParser> parser_;
};

}  // namespace buckthorncart
