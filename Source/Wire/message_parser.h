#pragma once
/// \file
/// What the readers of requests and of answers share; include it in their
/// definitions only, as the library's headers are slow to compile.

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Wire/http.h"
#include "Wire/http_limits.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {

std::string LowerCase(std::string_view text);

/// True for headers that concern one connection, and those of the framing.
bool IsHopByHop(std::string_view lower_case_name);

/// True if `list`, a comma-separated list, has the lower-case `token`.
bool HasToken(std::string_view list, std::string_view token);

/// Buffers the bytes of a connection and feeds them to the library's parser.
template <bool kIsRequest>
class MessageParser {
 public:
  using Library =
      boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;

  explicit MessageParser(const HttpLimits& limits) : limits_(limits) {}

  void Append(std::string_view bytes) { in_.append(bytes); }
  bool HasRest() const { return offset_ < in_.size(); }

  Library& Get() {
    if (!library_) {
      library_.emplace();
      library_->header_limit(limits_.head_bytes);
      library_->body_limit(limits_.body_bytes);
      library_->eager(true);
    }
    return *library_;
  }
  const Library* Current() const { return library_ ? &*library_ : nullptr; }

  ReadState Advance() {
    while (HasRest() && !Get().is_done()) {
      boost::beast::error_code ec;
      const size_t n = library_->put(
          boost::asio::buffer(in_.data() + offset_, in_.size() - offset_), ec);
      offset_ += n;
      if (ec == boost::beast::http::error::need_more) break;
      if (ec) return StateOf(ec);
      if (n == 0) break;
    }
    Compact();
    if (library_ && library_->is_done()) return ReadState::kWhole;
    const bool started = HasRest() || (library_ && library_->got_some());
    if (HasRest() && in_.size() - offset_ > limits_.head_bytes &&
        !Get().is_header_done()) {
      return ReadState::kHeadTooLarge;
    }
    return started ? ReadState::kPartial : ReadState::kIdle;
  }

  ReadState Finish() {
    if (!library_ || !library_->is_header_done()) return ReadState::kMalformed;
    boost::beast::error_code ec;
    library_->put_eof(ec);
    if (ec) return ReadState::kMalformed;
    return library_->is_done() ? ReadState::kWhole : ReadState::kMalformed;
  }

  void Reset() { library_.reset(); }

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

  void Compact() {
    if (offset_ < in_.size()) {
      in_.erase(0, offset_);
    } else {
      in_.clear();
    }
    offset_ = 0;
  }

  HttpLimits limits_;
  std::string in_;
  size_t offset_ = 0;
  std::optional<Library> library_;
};

}  // namespace buckthorncart
