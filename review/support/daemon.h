#pragma once
/// \file
/// A daemon of the project as a separate process.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <thread>
#include <utility>

#include "recorder.h"

namespace review {

class Daemon {
 public:
  /// `program` is the command of the deploy file; `settings` is the text of its
  /// settings file, which is written to `directory`.
  Daemon(Recorder& recorder, std::string name, std::string program,
         std::string directory, const std::string& settings)
      : recorder_(recorder),
        name_(std::move(name)),
        program_(std::move(program)),
        directory_(std::move(directory)) {
    std::ofstream(SettingsPath()) << settings;
  }
  ~Daemon() { Kill(); }

  void Start() {
    pid_ = fork();
    if (pid_ == 0) Execute();
    recorder_.Report(name_ + " started, process " + std::to_string(pid_));
  }

  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }

  /// Kills the process and waits for its end.
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, 0), nullptr, 0);
    recorder_.Report(name_ + " killed");
  }

  /// Resident memory of the process in bytes; 0 if it does not run.
  size_t ResidentBytes() const {
    if (pid_ <= 0) return 0;
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
  }

  /// Returns true if the process has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    recorder_.Report(name_ + " ended by itself, " +
                     (WIFSIGNALED(status)
                          ? "signal " + std::to_string(WTERMSIG(status))
                          : "status " + std::to_string(WEXITSTATUS(status))));
    return true;
  }

  bool WaitForEnd(Milliseconds timeout) {
    const Time end = Clock::now() + timeout;
    while (!HasEnded()) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(10ms);
    }
    return true;
  }

 private:
  std::string SettingsPath() const {
    return directory_ + "/" + name_ + ".conf";
  }

  [[noreturn]] void Execute() const {
    // The daemon ends with the test, also if the test is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = directory_ + "/" + name_ + ".log";
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    const std::string variable = "BUCKTHORNCART_NODE_FILE=" + SettingsPath();
    const char* const arguments[] = {program_.c_str(), nullptr};
    const char* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin",
                                       "LANG=C.UTF-8", nullptr};
    execve(program_.c_str(), const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }

  Recorder& recorder_;
  std::string name_;
  std::string program_;
  std::string directory_;
  pid_t pid_ = 0;
};

}  // namespace review
