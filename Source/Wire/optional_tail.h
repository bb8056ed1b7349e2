#pragma once
/// \file
/// Encoding of records whose last fields are omitted while they are not used.
///
/// A record that does not use the fields keeps the encoding, and thereby the
/// digest, that it had before they were added. The record provides a static
/// `Fields(self)`, which returns a tuple of references.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace buckthorncart {

/// Packs the fields of `fields`, without the last `TailSize` unless `has_tail`.
template <size_t TailSize, typename Packer, typename... Fields>
void PackWithTail(Packer& packer, const std::tuple<Fields...>& fields,
                  bool has_tail) {
  static_assert(TailSize < sizeof...(Fields));
  const size_t count = sizeof...(Fields) - (has_tail ? 0 : TailSize);
  packer.pack_array(static_cast<uint32_t>(count));
  const auto pack_field = [&](size_t index, const auto& field) {
    if (index < count) packer.pack(field);
  };
  [&]<size_t... Index>(std::index_sequence<Index...>) {
    (pack_field(Index, std::get<Index>(fields)), ...);
  }
  (std::index_sequence_for<Fields...>{});
}

/// Unpacks the fields that `object` has. Throws `msgpack::type_error`.
template <typename... Fields>
void UnpackWithTail(const msgpack::object& object,
                    const std::tuple<Fields&...>& fields) {
  if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
  const msgpack::object_array& array = object.via.array;
  const auto unpack_field = [&array](size_t index, auto& field) {
    if (index < array.size) array.ptr[index].convert(field);
  };
  [&]<size_t... Index>(std::index_sequence<Index...>) {
    (unpack_field(Index, std::get<Index>(fields)), ...);
  }
  (std::index_sequence_for<Fields...>{});
}

}  // namespace buckthorncart
