#pragma once
/// \file
/// Explanations of metrics.

#include <string>
#include <string_view>

namespace buckthorncart {

/// One line of help with the unit of the metric called `name` (without
/// prefix). A name without an entry of its own is explained by its words.
std::string MetricHelp(std::string_view name);

}  // namespace buckthorncart
