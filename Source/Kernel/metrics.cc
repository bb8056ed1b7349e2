#include "Kernel/metrics.h"

#include <sstream>

#include "Kernel/labelled_counter.h"
#include "Kernel/latency_histogram.h"
#include "Kernel/metric_help.h"

namespace buckthorncart {
namespace {

constexpr std::string_view kPrefix = "buckthorncart_";

void WriteHead(std::ostringstream& page, std::string_view name,
               std::string_view type) {
  page << "# HELP " << kPrefix << name << ' ' << MetricHelp(name) << '\n'
       << "# TYPE " << kPrefix << name << ' ' << type << '\n';
}

template <typename Value>
void WriteMetric(std::ostringstream& page, std::string_view name,
                 std::string_view type, Value value) {
  WriteHead(page, name, type);
  page << kPrefix << name << ' ' << value << '\n';
}

void WriteHistogram(std::ostringstream& page, std::string_view name,
                    const LatencyHistogram& histogram) {
  WriteHead(page, name, "histogram");
  histogram.VisitCumulative([&](double upper, uint64_t below) {
    page << kPrefix << name << "_bucket{le=\"" << upper << "\"} " << below
         << '\n';
  });
  page << kPrefix << name << "_bucket{le=\"+Inf\"} " << histogram.Count()
       << '\n'
       << kPrefix << name << "_sum " << histogram.Sum() << '\n'
       << kPrefix << name << "_count " << histogram.Count() << '\n';
}

void WriteLabelled(std::ostringstream& page, std::string_view name,
                   const LabelledCounter& counter) {
  WriteHead(page, name, "counter");
  for (const auto& [labels, value] : counter.Values()) {
    page << kPrefix << name << '{' << labels << "} " << value << '\n';
  }
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
  for (const auto& [name, counter] : labelled_) {
    WriteLabelled(page, name, *counter);
  }
  for (const auto& [name, histogram] : histograms_) {
    WriteHistogram(page, name, *histogram);
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
