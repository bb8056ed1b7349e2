#pragma once
/// \file
/// Timeline of one request from the logs of several daemons.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Tool/log_line.h"

namespace buckthorncart {

/// Collects the log lines of a request, of the requests that it called and of
/// the request that called it (the id of a called request is ID.CHILD), and the
/// earlier lines about the state of the daemons that logged them.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string id) : id_(std::move(id)) {}

  void Add(LogLine line);
  bool IsEmpty() const { return lines_.empty(); }
  /// All lines of the request and, for each daemon, the last line of each state
  /// event up to the daemon's first line of the request, sorted by time.
  std::vector<LogLine> Lines() const;

 private:
  /// True for the request itself, its descendants and its ancestors.
  bool IsRelated(std::string_view id) const;

  std::string id_;
  std::vector<LogLine> lines_;
  std::map<std::string, std::vector<LogLine>> state_lines_;
};

}  // namespace buckthorncart
