#pragma once
/// \file
/// The event loop of a process: libwebsockets on one thread.

#include <libwebsockets.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Base/address.h"
#include "Base/result.h"
#include "Base/time.h"

namespace buckthorncart {

/// Owns the libwebsockets context. Everything runs on the thread that calls
/// `Run`.
class Loop {
 public:
  /// `fd_limit` bounds the open descriptors. The library searches a table of
  /// that size several times for each connection that opens and closes.
  explicit Loop(int fd_limit);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until `Stop`, then closes.
  void Run();
  /// Closes all connections. Callbacks may still come while this runs, so
  /// that everything that uses the loop must outlive the call.
  void Close();
  bool IsClosing() const { return closing_; }
  void Stop();
  /// Calls `task` at `at`, or as soon as possible after.
  void RunAt(Time at, std::function<void()> task);
  void RunIn(Duration delay, std::function<void()> task);
  /// Calls `handler` on the loop after SIGTERM or SIGINT.
  void OnShutdownSignal(std::function<void()> handler);
  /// Calls `handler` on the loop after SIGHUP.
  void OnReloadSignal(std::function<void()> handler);

  /// Microseconds on CLOCK_BOOTTIME.
  static Time Now();
  /// Milliseconds since the epoch.
  static uint64_t WallMilliseconds();

  lws_context* Context() const { return context_; }

  /// Creates a virtual host on `protocols` (terminated by an empty entry).
  /// Listens on `address` when it is set; fails with `kAddressInUse` when it
  /// is taken or not an address of this VM.
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
  std::multimap<Time, std::function<void()>> tasks_;
  std::function<void()> on_shutdown_;
  std::function<void()> on_reload_;
  bool stopped_ = false;
  bool closing_ = false;
};

}  // namespace buckthorncart
