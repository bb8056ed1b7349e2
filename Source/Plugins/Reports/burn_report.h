#pragma once
/// \file
/// Plug-in that reports the burn rate of service-level objectives.

#include <string>

#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Operators/query_fan_out.h"
#include "Plugins/Reports/burn_json.h"

namespace buckthorncart {

enum class BurnCounter : uint8_t { kCalls, kFailures, kSlow, kExcluded };

template <>
struct EnumNames<BurnCounter> {
  static constexpr std::string_view kNames[] = {
      "objective_calls_total", "objective_failures_total",
      "objective_slow_calls_total", "objective_excluded_calls_total"};
};

/// Serves `/v1/report/burn`: sums the counts of all live daemons and lists the
/// daemons that did not reply as missing. With `local=yes` it returns the
/// counts of this daemon only.
template <typename Policy = RollingWindow>
class BurnReporter : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  void RecordCall(Context& ctx, const CallEnded& ended);
  void QueryDaemons(Context& ctx, uint64_t request, const std::string& service);
  static void AnswerFromReplies(Context& ctx, uint64_t request,
                                const std::string& service,
                                const FanOutResult& result);

  ServiceObjectives<Policy> objectives_;
  QueryFanOut fan_out_{FanOutUser::kBurnReport};
  Counters<BurnCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Reports/burn_report_inl.h"
