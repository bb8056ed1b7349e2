#pragma once
/// \file
/// Asks the local backend server whether it is leaving.

#include <cstdint>
#include <optional>

#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Wire/member.h"

namespace buckthorncart {

class Context;

enum class HealthCheckCounter : uint8_t { kChecks, kConfirmed };

template <>
struct EnumNames<HealthCheckCounter> {
  static constexpr std::string_view kNames[] = {
      "health_checks_total", "health_checks_confirmed_total"};
};

/// After all daemons have been restarted at once, nobody may know whether a
/// backend server that announces itself has been told that it may leave. Its
/// own health check can tell: it answers 200 only while it is not leaving. Any
/// other answer proves nothing, and the announcement waits as without the
/// check.
class HealthCheck : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void Send(Context& ctx);
  void HandleAnswer(Context& ctx, const BackendAnswered& answered);

  /// The start that is to be confirmed; not set if there is none.
  std::optional<BackendAnnouncement> unconfirmed_;
  /// Run of the check that has not been answered; 0 if there is none.
  uint64_t run_ = 0;
  uint64_t checks_ = 0;
  Time sent_at_{};
  Counters<HealthCheckCounter> counters_;
};

}  // namespace buckthorncart
