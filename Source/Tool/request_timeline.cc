#include "Tool/request_timeline.h"

#include <algorithm>
#include <utility>

namespace buckthorncart {
namespace {

/// Events that report the state of a daemon; the last one of each is current.
constexpr std::string_view kStateEvents[] = {
    "started", "version-held",         "version-held-back", "platform-state",
    "frozen",  "configuration-source", "backend-state",     "draining"};

bool IsStateLine(const LogLine& line) {
  return std::find(std::begin(kStateEvents), std::end(kStateEvents),
                   line.event) != std::end(kStateEvents);
}

bool IsDescendantOf(std::string_view id, std::string_view ancestor) {
  return id.size() > ancestor.size() && id.starts_with(ancestor) &&
         id[ancestor.size()] == '.';
}

/// Adds the last line of each event up to `until` to `timeline`.
void AddLastStates(const std::vector<LogLine>& state_lines, uint64_t until,
                   std::vector<LogLine>& timeline) {
  std::map<std::string, const LogLine*> last;
  for (const LogLine& line : state_lines) {
    if (line.time_ms <= until) last[line.event] = &line;
  }
  for (const auto& [event, line] : last) timeline.push_back(*line);
}

}  // namespace

bool RequestTimeline::IsRelated(std::string_view id) const {
  return !id.empty() &&
         (id == id_ || IsDescendantOf(id, id_) || IsDescendantOf(id_, id));
}

void RequestTimeline::Add(LogLine line) {
  if (IsRelated(line.Field("id")) && line.event != "backend-state") {
    lines_.push_back(std::move(line));
  } else if (IsStateLine(line)) {
    state_lines_[line.daemon].push_back(std::move(line));
  }
}

std::vector<LogLine> RequestTimeline::Lines() const {
  std::map<std::string, uint64_t> first;
  for (const LogLine& line : lines_) {
    const auto [it, added] = first.emplace(line.daemon, line.time_ms);
    if (!added) it->second = std::min(it->second, line.time_ms);
  }
  std::vector<LogLine> timeline = lines_;
  for (const auto& [daemon, time_ms] : first) {
    const auto it = state_lines_.find(daemon);
    if (it != state_lines_.end()) AddLastStates(it->second, time_ms, timeline);
  }
  std::stable_sort(
      timeline.begin(), timeline.end(),
      [](const auto& a, const auto& b) { return a.time_ms < b.time_ms; });
  return timeline;
}

}  // namespace buckthorncart
