#include "Net/loop.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "Net/http_server.h"

namespace buckthorncart {
namespace {

constexpr int kFdLimit = 64;
constexpr unsigned kLimitSeconds = 10;
constexpr int kRounds = 200;

/// Runs `body` in a process of its own that may last `kLimitSeconds`, and
/// returns whether it came to its end.
template <typename Body>
bool Ends(Body body) {
  const pid_t child = fork();
  if (child == 0) {
    alarm(kLimitSeconds);
    body();
    _exit(0);
  }
  int status = 0;
  waitpid(child, &status, 0);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

TEST_CASE("loop: a stop from a timer ends a loop whose sockets are silent") {
  CHECK(Ends([] {
    // A timer that is due as the library begins to wait runs within that wait.
    for (int i = 0; i < kRounds; ++i) {
      Loop loop(kFdLimit);
      loop.RunIn(Duration(1), [&loop] {
        loop.RunIn(Duration(1), [&loop] { loop.Stop(); });
      });
      loop.Run();
    }
  }));
}

TEST_CASE("loop: a signal ends a loop whose sockets are silent") {
  CHECK(Ends([] {
    Loop loop(kFdLimit);
    loop.OnShutdownSignal(
        [&loop] { loop.RunIn(20ms, [&loop] { loop.Stop(); }); });
    loop.RunIn(20ms, [] { std::raise(SIGTERM); });
    loop.Run();
  }));
}

}  // namespace
}  // namespace buckthorncart
