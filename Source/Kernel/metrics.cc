#include "Kernel/metrics.h"

#include <sstream>

#include "Kernel/metric_help.h"

namespace buckthorncart {
namespace {

constexpr std::string_view kPrefix = "buckthorncart_";

template <typename Value>
void WriteMetric(std::ostringstream& page, std::string_view name,
                 std::string_view type, Value value) {
  page << "# HELP " << kPrefix << name << ' ' << MetricHelp(name) << '\n'
       << "# TYPE " << kPrefix << name << ' ' << type << '\n'
       << kPrefix << name << ' ' << value << '\n';
}

}  // namespace

std::string Metrics::PrometheusText() const {
  std::ostringstream page;
  for (const CounterSource* source : sources_) {
    for (size_t i = 0; i < source->CounterCount(); ++i) {
      WriteMetric(page, source->CounterName(i), "counter",
                  source->CounterValue(i));
    }
  }
  for (const auto& [name, read] : counters_) {
    WriteMetric(page, name, "counter", read());
  }
  for (const auto& [name, read] : gauges_) {
    WriteMetric(page, name, "gauge", read());
  }
  return page.str();
}

uint64_t Metrics::CounterByName(std::string_view name) const {
  for (const CounterSource* source : sources_) {
    for (size_t i = 0; i < source->CounterCount(); ++i) {
      if (source->CounterName(i) == name) return source->CounterValue(i);
    }
  }
  for (const auto& [counter, read] : counters_) {
    if (counter == name) return read();
  }
  return 0;
}

}  // namespace buckthorncart
