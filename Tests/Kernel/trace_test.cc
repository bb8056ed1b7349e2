#include "Kernel/trace.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "Support/fake_daemon.h"

namespace buckthorncart {
namespace {

/// Replays a trace. Returns the index of the first event whose effects differ
/// from the recorded ones, or nothing.
std::optional<size_t> FirstDifference(const Trace& trace) {
  Kernel kernel(trace.settings, StandardPlugins(trace.settings));
  for (size_t i = 0; i < trace.records.size(); ++i) {
    const TraceRecord& record = trace.records[i];
    const auto effects = kernel.Handle(Time(record.time_us), record.event);
    if (DigestOfEffects(effects) != record.effects_digest) return i;
  }
  return std::nullopt;
}

/// Path of a file in the directory for temporary files, unique to this process.
std::string TracePath() {
  static const std::string path =
      std::filesystem::temp_directory_path() /
      ("buckthorncart-" + std::to_string(getpid()) + ".trace");
  return path;
}

Trace RecordShortTrace() {
  const std::string path = TracePath();
  const KernelSettings settings = TestSettings(1, "nl-west-a");
  auto writer = TraceWriter::Open(path, settings);
  REQUIRE(writer);
  Kernel kernel(settings, StandardPlugins(settings));
  const std::pair<Time, Event> events[] = {
      {1s, Started{1'700'000'000'000}},
      {2s, OperatorRequested{1, {"GET", "/ready", {}, ""}}},
      {3s, CallerRequested{2, {"GET", "/proofs", {}, ""}}}};
  for (const auto& [at, event] : events) {
    writer->Append(at, event, kernel.Handle(at, event));
  }
  auto trace = ReadTrace(path);
  REQUIRE(trace);
  return *trace;
}

TEST_CASE("trace: a replay produces the recorded effects") {
  const Trace trace = RecordShortTrace();
  CHECK(trace.records.size() == 3);
  CHECK(!FirstDifference(trace));
}

TEST_CASE("trace: a replay of other events differs") {
  Trace trace = RecordShortTrace();
  std::swap(trace.records[1].event, trace.records[2].event);
  CHECK(FirstDifference(trace));
}

TEST_CASE("trace: a missing or truncated file fails as unreadable-trace") {
  CHECK(ReadTrace("no-such.trace").error().code == Errc::kUnreadableTrace);
  RecordShortTrace();
  std::ifstream in(TracePath(), std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(in)), {});
  std::ofstream(TracePath(), std::ios::binary)
      << bytes.substr(0, bytes.size() - 5);
  const auto truncated = ReadTrace(TracePath());
  REQUIRE(!truncated);
  CHECK(truncated.error().code == Errc::kUnreadableTrace);
  std::filesystem::remove(TracePath());
}

TEST_CASE("trace: the recorded whole path ends with version 1 in force") {
  const auto trace = ReadTrace(TRACE_DIRECTORY "/whole_path.trace");
  REQUIRE(trace);
  Kernel kernel(trace->settings, StandardPlugins(trace->settings));
  uint64_t answered_ran = 0;
  uint64_t highest = 0;
  for (const TraceRecord& record : trace->records) {
    kernel.Handle(Time(record.time_us), record.event);
    const uint64_t version = kernel.GetContext().Shared().held->version;
    CHECK(version >= highest);
    highest = version;
  }
  const Metrics& metrics = kernel.GetContext().AllMetrics();
  answered_ran = metrics.CounterByName("calls_ran_total");
  CHECK(highest == 1);
  CHECK(answered_ran == metrics.CounterByName("calls_total"));
  CHECK(answered_ran > 0);
}

}  // namespace
}  // namespace buckthorncart
