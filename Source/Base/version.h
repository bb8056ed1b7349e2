#pragma once
/// \file
/// Version number of the programs.

#include <string_view>

namespace buckthorncart {

inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace buckthorncart
