#pragma once
/// \file
/// msgpack adaptors for `std::variant`, which is encoded as the array
/// `[index, record]`. Include this file before any `MSGPACK_DEFINE` of a field
/// of such a type.

#include <msgpack.hpp>
#include <utility>
#include <variant>

namespace buckthorncart::internal {

template <typename Variant, size_t... I>
void ConvertAlternative(uint32_t index, const msgpack::object& object,
                        Variant& value, std::index_sequence<I...> /*unused*/) {
  const bool is_known_index =
      ((index == I && (object.convert(value.template emplace<I>()), true)) ||
       ...);
  if (!is_known_index) throw msgpack::type_error();
}

}  // namespace buckthorncart::internal

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... T>
  struct pack<std::variant<T...>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const std::variant<T...>& value) const {
      out.pack_array(2);
      out.pack(static_cast<uint32_t>(value.index()));
      std::visit([&out](const auto& record) { out.pack(record); }, value);
      return out;
    }
  };

  template <typename... T>
  struct convert<std::variant<T...>> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      std::variant<T...>& value) const {
      if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
        throw msgpack::type_error();
      }
      const auto index = object.via.array.ptr[0].as<uint32_t>();
      buckthorncart::internal::ConvertAlternative(
          index, object.via.array.ptr[1], value,
          std::make_index_sequence<sizeof...(T)>());
      return object;
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack
