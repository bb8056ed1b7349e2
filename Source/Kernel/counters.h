#pragma once
/// \file
/// Counters of one plug-in, indexed by an `enum class` with a table of names.

#include <array>
#include <cstdint>
#include <string_view>

#include "Base/enum_names.h"
#include "Kernel/metrics.h"

namespace buckthorncart {

template <typename E>
class Counters : public CounterSource {
 public:
  void Add(E counter, uint64_t n = 1) {
    values_[static_cast<size_t>(counter)] += n;
  }
  uint64_t Get(E counter) const {
    return values_[static_cast<size_t>(counter)];
  }

  size_t CounterCount() const override { return values_.size(); }
  std::string_view CounterName(size_t n) const override {
    return EnumNames<E>::kNames[n];
  }
  uint64_t CounterValue(size_t n) const override { return values_[n]; }

 private:
  std::array<uint64_t, EnumSize<E>()> values_{};
};

}  // namespace buckthorncart
