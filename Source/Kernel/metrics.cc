#include "Kernel/metrics.h"

#include <sstream>

#include "Kernel/labelled_counter.h"
#include "Kernel/latency_histogram.h"
#include "Kernel/metric_help.h"

namespace buckthorncart {
namespace {

constexpr std::string_view kPrefix = "buckthorncart_";

void WriteHelpAndType(std::ostringstream& out, std::string_view name,
                      std::string_view type) {
  out << "# HELP " << kPrefix << name << ' ' << MetricHelp(name) << '\n'
      << "# TYPE " << kPrefix << name << ' ' << type << '\n';
}

template <typename Value>
void WriteMetric(std::ostringstream& out, std::string_view name,
                 std::string_view type, Value value) {
  WriteHelpAndType(out, name, type);
  out << kPrefix << name << ' ' << value << '\n';
}

void WriteHistogram(std::ostringstream& out, std::string_view name,
                    const LatencyHistogram& histogram) {
  WriteHelpAndType(out, name, "histogram");
  histogram.VisitCumulative([&](double upper, uint64_t cumulative) {
    out << kPrefix << name << "_bucket{le=\"" << upper << "\"} " << cumulative
        << '\n';
  });
  out << kPrefix << name << "_bucket{le=\"+Inf\"} " << histogram.Count() << '\n'
      << kPrefix << name << "_sum " << histogram.Sum() << '\n'
      << kPrefix << name << "_count " << histogram.Count() << '\n';
}

void WriteLabelled(std::ostringstream& out, std::string_view name,
                   const LabelledCounter& counter) {
  WriteHelpAndType(out, name, "counter");
  for (const auto& [labels, value] : counter.Values()) {
    out << kPrefix << name << '{' << labels << "} " << value << '\n';
  }
}

}  // namespace

std::string Metrics::PrometheusText() const {
  std::ostringstream out;
  for (const CounterSource* source : sources_) {
    for (size_t i = 0; i < source->CounterCount(); ++i) {
      WriteMetric(out, source->CounterName(i), "counter",
                  source->CounterValue(i));
    }
  }
  for (const auto& [name, read] : counters_) {
    WriteMetric(out, name, "counter", read());
  }
  for (const auto& [name, read] : gauges_) {
    WriteMetric(out, name, "gauge", read());
  }
  for (const auto& [name, counter] : labelled_) {
    WriteLabelled(out, name, *counter);
  }
  for (const auto& [name, histogram] : histograms_) {
    WriteHistogram(out, name, *histogram);
  }
  return out.str();
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
