#pragma once
/// \file
/// msgpack adaptors for enums in messages from other parties.
///
/// An enum takes part by a specialisation of `WireEnum`. A value outside its
/// enumerators is malformed, so that no other code meets one.

#include <concepts>
#include <cstddef>
#include <msgpack.hpp>
#include <type_traits>

#include "Base/enum_names.h"

namespace buckthorncart {

/// Specialise with `kCount`, the number of enumerators, which are contiguous
/// from zero.
template <typename E>
struct WireEnum;

/// Base of `WireEnum` for an enum that has a table of names.
template <typename E>
struct NamedWireEnum {
  static constexpr size_t kCount = EnumSize<E>();
};

template <typename E>
concept IsWireEnum = std::is_enum_v<E> && requires {
  { WireEnum<E>::kCount } -> std::convertible_to<size_t>;
};

}  // namespace buckthorncart

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <buckthorncart::IsWireEnum E>
  struct pack<E> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, E value) const {
      return out.pack(static_cast<std::underlying_type_t<E>>(value));
    }
  };

  template <buckthorncart::IsWireEnum E>
  struct convert<E> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      E& value) const {
      const auto n = object.as<std::underlying_type_t<E>>();
      if (n < 0 || static_cast<size_t>(n) >= buckthorncart::WireEnum<E>::kCount)
        throw msgpack::type_error();
      value = static_cast<E>(n);
      return object;
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack
