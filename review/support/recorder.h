#pragma once
/// \file
/// Time of the test and its record.

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Writes lines with the time since the start of the test to a file.
class Recorder {
 public:
  explicit Recorder(const std::string& path) : file_(path) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f s  ", SecondsOf(Clock::now()));
    file_ << time << line << '\n';
    file_.flush();
  }
  /// Writes a line that also goes to standard output.
  void Report(const std::string& line) {
    Write(line);
    std::printf("%s\n", line.c_str());
  }
  double SecondsOf(Time time) const {
    return std::chrono::duration<double>(time - started_at_).count();
  }

 private:
  const Time started_at_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
