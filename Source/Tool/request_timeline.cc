#include "Tool/request_timeline.h"

#include <algorithm>
#include <utility>

namespace buckthorncart {
namespace {

/// Events about what a daemon believes, of which the last one counts.
constexpr std::string_view kBeliefs[] = {
    "started", "version-held",         "version-held-back", "platform-state",
    "frozen",  "configuration-source", "backend-state",     "draining"};

bool IsBelief(const LogLine& line) {
  return std::find(std::begin(kBeliefs), std::end(kBeliefs), line.event) !=
         std::end(kBeliefs);
}

bool IsPartOf(std::string_view child, std::string_view parent) {
  return child.size() > parent.size() && child.starts_with(parent) &&
         child[parent.size()] == '.';
}

/// The last line of each event before `until`.
void AddBeliefs(const std::vector<LogLine>& beliefs, uint64_t until,
                std::vector<LogLine>& timeline) {
  std::map<std::string, const LogLine*> last;
  for (const LogLine& line : beliefs) {
    if (line.time_ms <= until) last[line.event] = &line;
  }
  for (const auto& [event, line] : last) timeline.push_back(*line);
}

}  // namespace

bool RequestTimeline::IsRelated(std::string_view id) const {
  return !id.empty() && (id == id_ || IsPartOf(id, id_) || IsPartOf(id_, id));
}

void RequestTimeline::Add(LogLine line) {
  if (IsRelated(line.Field("id")) && line.event != "backend-state") {
    lines_.push_back(std::move(line));
  } else if (IsBelief(line)) {
    beliefs_[line.daemon].push_back(std::move(line));
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
    const auto it = beliefs_.find(daemon);
    if (it != beliefs_.end()) AddBeliefs(it->second, time_ms, timeline);
  }
  std::stable_sort(
      timeline.begin(), timeline.end(),
      [](const auto& a, const auto& b) { return a.time_ms < b.time_ms; });
  return timeline;
}

}  // namespace buckthorncart
