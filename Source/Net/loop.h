#pragma once
/// \file
/// Single-threaded event loop of a process, based on libwebsockets.

#include <libwebsockets.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Base/address.h"
#include "Base/result.h"
#include "Base/time.h"

namespace buckthorncart {

/// Owns the libwebsockets context. All callbacks run on the thread that calls
/// `Run`.
class Loop {
 public:
  /// `fd_limit` limits the number of open descriptors. The library searches a
  /// table of that size several times for each connection that is opened and
  /// closed.
  explicit Loop(int fd_limit);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until `Stop` is called, then calls `Close`.
  void Run();
  /// Closes all connections. Callbacks may be invoked during this call, so that
  /// every object that uses the loop must outlive it.
  void Close();
  bool IsClosing() const { return closing_; }
  void Stop();
  /// Identifies a task that has been added.
  using TaskKey = std::pair<Time, uint64_t>;

  /// Calls `task` at `due`, or as soon as possible afterwards.
  TaskKey RunAt(Time due, std::function<void()> task);
  /// Removes a task unless it has run or is about to run.
  void Cancel(const TaskKey& key) { tasks_.erase(key); }
  void RunIn(Duration delay, std::function<void()> task);
  /// Calls `handler` on the loop after SIGTERM or SIGINT.
  void OnShutdownSignal(std::function<void()> handler);
  /// Calls `handler` on the loop after SIGHUP.
  void OnReloadSignal(std::function<void()> handler);

  /// Returns the time of CLOCK_BOOTTIME in microseconds.
  static Time Now();
  /// Returns the wall-clock time in milliseconds since the Unix epoch.
  static uint64_t WallMilliseconds();

  lws_context* Context() const { return context_; }

  /// Creates a virtual host with `protocols` (terminated by an empty entry).
  /// Listens on `address` if it is set; fails with `kAddressInUse` if it is in
  /// use or not an address of this VM.
  Result<lws_vhost*> AddVhost(const std::string& name, Address address,
                              const lws_protocols* protocols, bool raw);

 private:
  static void OnTimer(lws_sorted_usec_list_t* sul);
  void RunDueTasks();
  void ScheduleNext();

  struct Timer {
    lws_sorted_usec_list_t sul{};
    Loop* loop = nullptr;
  };

  lws_context* context_ = nullptr;
  Timer timer_;
  /// In the order of their times, then in that of their addition.
  std::map<TaskKey, std::function<void()>> tasks_;
  uint64_t last_task_ = 0;
  std::function<void()> on_shutdown_;
  std::function<void()> on_reload_;
  bool stopped_ = false;
  bool closing_ = false;
};

}  // namespace buckthorncart
