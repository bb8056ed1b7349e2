#pragma once
/// \file
/// A counter for each combination of a few labels.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace buckthorncart {

/// Memory is bounded: combinations beyond `kMaxCombinations` are counted
/// together.
class LabelledCounter {
 public:
  /// `labels` in the Prometheus text format, such as `route="r"`.
  void Add(const std::string& labels) {
    const auto it = values_.find(labels);
    if (it != values_.end()) {
      ++it->second;
      return;
    }
    ++values_[values_.size() < kMaxCombinations ? labels : "other=\"yes\""];
  }
  const std::map<std::string, uint64_t>& Values() const { return values_; }

 private:
  static constexpr size_t kMaxCombinations = 256;

  std::map<std::string, uint64_t> values_;
};

}  // namespace buckthorncart
