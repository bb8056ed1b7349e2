#pragma once
/// \file
/// Help texts of metrics.

#include <string>
#include <string_view>

namespace buckthorncart {

/// Returns one line of help with the unit of the metric called `name` (without
/// prefix). The help for a name without an entry of its own is derived from the
/// words of the name.
std::string MetricHelp(std::string_view name);

}  // namespace buckthorncart
