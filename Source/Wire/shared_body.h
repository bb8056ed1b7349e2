#pragma once
/// \file
/// Body of a request, shared by all copies of the request.

#include <memory>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace buckthorncart {

/// Immutable text with copies that cost no memory, so that a large body is held
/// once however many plug-ins keep the request. Converts from and to the usual
/// text types.
class SharedBody {
 public:
  SharedBody() = default;
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedBody(std::string text)
      : text_(text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(text))) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedBody(const char* text) : SharedBody(std::string(text)) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator std::string_view() const { return Text(); }

  const std::string& Text() const {
    static const std::string empty_text;
    return text_ == nullptr ? empty_text : *text_;
  }
  size_t size() const { return Text().size(); }
  bool empty() const { return text_ == nullptr; }

  bool operator==(std::string_view other) const { return Text() == other; }

  /// Encodes the body as a text.
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(Text());
  }
  void msgpack_unpack(const msgpack::object& object) {
    *this = SharedBody(object.as<std::string>());
  }

 private:
  /// Null if the text is empty.
  std::shared_ptr<const std::string> text_;
};

}  // namespace buckthorncart
