#pragma once
/// \file
/// Body of a received HTTP message for the parser of Boost.Beast.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthorncart {

/// Collects a body in a string, as `string_body` of the library does, but
/// reserves an announced length only up to a limit. That length may be any
/// number, and the memory for it is requested before a byte has arrived.
struct ReceivedBody {
  /// The largest body of a request. It is reserved at once, since growing in
  /// steps holds a part of it twice.
  static constexpr uint64_t kMaxReservedBytes = 64U << 20U;

  using value_type = std::string;  // NOLINT(readability-identifier-naming)

  static uint64_t size(const value_type& body) { return body.size(); }

  /// The parser calls `init`, `put` for each piece, and `finish`.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(  // NOLINT(readability-identifier-naming)
        const boost::optional<uint64_t>& length, boost::beast::error_code& ec) {
      if (length && *length <= kMaxReservedBytes)
        body_.reserve(static_cast<size_t>(*length));
      ec = {};
    }

    template <typename Buffers>
    size_t put(  // NOLINT(readability-identifier-naming)
        const Buffers& buffers, boost::beast::error_code& ec) {
      ec = {};
      size_t n = 0;
      for (const auto piece : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(piece.data()), piece.size());
        n += piece.size();
      }
      return n;
    }

    void finish(  // NOLINT(readability-identifier-naming)
        boost::beast::error_code& ec) {
      ec = {};
    }

   private:
    value_type& body_;
  };
};

}  // namespace buckthorncart
