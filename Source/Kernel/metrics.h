#pragma once
/// \file
/// Registry of the daemon's metrics.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthorncart {

class LabelledCounter;
class LatencyHistogram;

/// A family of monotonic counters.
class CounterSource {
 public:
  virtual ~CounterSource() = default;
  virtual size_t CounterCount() const = 0;
  /// Name without the `buckthorncart_` prefix; ends in `_total`.
  virtual std::string_view CounterName(size_t n) const = 0;
  virtual uint64_t CounterValue(size_t n) const = 0;
};

/// Registry of counters, gauges and histograms, which it writes in the
/// Prometheus text format.
class Metrics {
 public:
  void Add(const CounterSource* source) { sources_.push_back(source); }
  /// `read` is called whenever the metrics are written.
  void AddGauge(std::string name, std::function<double()> read) {
    gauges_.emplace_back(std::move(name), std::move(read));
  }
  /// Adds a counter whose value is stored elsewhere; the name ends in `_total`.
  void AddCounter(std::string name, std::function<uint64_t()> read) {
    counters_.emplace_back(std::move(name), std::move(read));
  }
  /// `name` is the name of a duration in seconds.
  void AddHistogram(std::string name, const LatencyHistogram* histogram) {
    histograms_.emplace_back(std::move(name), histogram);
  }
  /// `name` ends in `_total`.
  void AddLabelled(std::string name, const LabelledCounter* counter) {
    labelled_.emplace_back(std::move(name), counter);
  }
  std::string PrometheusText() const;
  /// Value of the counter called `name`, 0 when there is none.
  uint64_t CounterByName(std::string_view name) const;

 private:
  std::vector<const CounterSource*> sources_;
  std::vector<std::pair<std::string, std::function<uint64_t()>>> counters_;
  std::vector<std::pair<std::string, std::function<double()>>> gauges_;
  std::vector<std::pair<std::string, const LatencyHistogram*>> histograms_;
  std::vector<std::pair<std::string, const LabelledCounter*>> labelled_;
};

}  // namespace buckthorncart
