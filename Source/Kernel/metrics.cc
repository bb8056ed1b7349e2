#include "Kernel/metrics.h"

#include <sstream>

namespace buckthorncart {
namespace {

constexpr std::string_view kPrefix = "buckthorncart_";

}  // namespace

std::string Metrics::PrometheusText() const {
  std::ostringstream page;
  for (const CounterSource* source : sources_) {
    for (size_t i = 0; i < source->CounterCount(); ++i) {
      page << "# TYPE " << kPrefix << source->CounterName(i) << " counter\n"
           << kPrefix << source->CounterName(i) << ' '
           << source->CounterValue(i) << '\n';
    }
  }
  for (const auto& [name, read] : gauges_) {
    page << "# TYPE " << kPrefix << name << " gauge\n"
         << kPrefix << name << ' ' << read() << '\n';
  }
  return page.str();
}

uint64_t Metrics::CounterByName(std::string_view name) const {
  for (const CounterSource* source : sources_) {
    for (size_t i = 0; i < source->CounterCount(); ++i) {
      if (source->CounterName(i) == name) return source->CounterValue(i);
    }
  }
  return 0;
}

}  // namespace buckthorncart
