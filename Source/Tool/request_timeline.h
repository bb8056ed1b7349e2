#pragma once
/// \file
/// What the logs of several daemons tell of one request.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Tool/log_line.h"

namespace buckthorncart {

/// Collects the lines of a request, of the requests that it called and of the
/// one that called it (their ids are ID.CHILD), with what the daemons that
/// wrote them believed before.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string id) : id_(std::move(id)) {}

  void Add(LogLine line);
  bool IsEmpty() const { return lines_.empty(); }
  /// In the order of time: for each daemon its last belief of each kind before
  /// its first line of the request, and all lines of the request.
  std::vector<LogLine> Lines() const;

 private:
  bool IsRelated(std::string_view id) const;

  std::string id_;
  std::vector<LogLine> lines_;
  std::map<std::string, std::vector<LogLine>> beliefs_;
};

}  // namespace buckthorncart
