#pragma once
/// \file
/// Queue of runs that wait for a slot of the local backend server.

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/time.h"
#include "Config/objects.h"
#include "Plugins/Requests/decaying_sum.h"
#include "Plugins/Requests/request_rules.h"

namespace buckthorncart {

/// Scheduling weight of a request. Each priority level halves it, and bulk
/// requests weigh 1/1024 of interactive ones.
inline double WeightOf(uint32_t priority, RequestClass request_class) {
  constexpr int kMaxPriority = 30;
  constexpr double kBulkWeight = 1.0 / 1'024.0;
  const int halvings =
      static_cast<int>(std::min<uint32_t>(priority, kMaxPriority));
  const double weight = std::ldexp(1.0, -halvings);
  return request_class == RequestClass::kBulk ? weight * kBulkWeight : weight;
}

/// Schedules runs by weight per unit of expected run time (Smith's rule): short
/// runs of high weight start first, which maximises the total weight served
/// when there is more work than slots. A flow is the work of one route; within
/// a flow runs start in order of arrival. The least urgent flow keeps a small
/// share of the time, so that it is slowed down but never starves.
template <RequestRules Rules>
class RunQueue {
 public:
  /// Records that a run of `flow_name` took `time`.
  void RecordRunTime(const std::string& flow_name, Duration time) {
    Flow& flow = GetFlow(flow_name);
    flow.expected_time =
        flow.has_run_time ? flow.expected_time +
                                (time - flow.expected_time) / kSmoothingDivisor
                          : time;
    flow.has_run_time = true;
  }
  /// Records the start of a run of `flow_name`, whether or not it was queued.
  void RecordStart(const std::string& flow_name, Time now) {
    Flow& flow = GetFlow(flow_name);
    flow.recent_work.Add(static_cast<double>(flow.expected_time.count()), now);
    ++flow.running;
  }
  /// Records the end of a run of `flow_name` that was started.
  void RecordEnd(const std::string& flow_name) { --GetFlow(flow_name).running; }

  void Push(uint64_t run, const std::string& flow_name, double weight) {
    Flow& flow = GetFlow(flow_name);
    flow.weight = weight;
    flow.waiting.push_back(run);
  }

  /// Returns true if a run of `flow_name` may use one of the free slots. Less
  /// urgent work leaves as many slots unused as more urgent work has needed
  /// recently.
  bool MayStart(const std::string& flow_name, double weight, uint32_t slots,
                Time now) {
    return MayStartAt(UpdateUrgency(flow_name, weight), slots, now);
  }

  /// Removes and returns the run that starts next. `slots` is the total number
  /// of slots, at least one of which is free.
  std::optional<uint64_t> Pop(uint32_t slots, Time now) {
    Flow* most_urgent = MostUrgentWaiting();
    if (most_urgent == nullptr) return std::nullopt;
    if (!MayStartAt(Urgency(*most_urgent), slots, now)) return std::nullopt;
    Flow* least_urgent = LeastUrgentWaiting();
    Flow* selected = most_urgent;
    if (Rules::kShareWithBulk && least_urgent != most_urgent) {
      least_urgent_credit_ += Duration(static_cast<int64_t>(
          static_cast<double>(most_urgent->expected_time.count()) * kMinShare));
      if (least_urgent_credit_ >= least_urgent->expected_time) {
        least_urgent_credit_ -= least_urgent->expected_time;
        selected = least_urgent;
      }
    }
    const uint64_t run = selected->waiting.front();
    selected->waiting.pop_front();
    return run;
  }

  /// Removes and returns the newest run of the least urgent flow, to make room
  /// for a run of `flow_name`, if that is more urgent.
  std::optional<uint64_t> EvictFor(const std::string& flow_name,
                                   double weight) {
    if (!CanEvictFor(flow_name, weight)) return std::nullopt;
    Flow* least_urgent = LeastUrgentWaiting();
    const uint64_t run = least_urgent->waiting.back();
    least_urgent->waiting.pop_back();
    return run;
  }
  bool CanEvictFor(const std::string& flow_name, double weight) {
    const Flow* least_urgent = LeastUrgentWaiting();
    return least_urgent != nullptr && least_urgent != &GetFlow(flow_name) &&
           Urgency(*least_urgent) < UpdateUrgency(flow_name, weight);
  }

  /// Returns the expected wait of a new run of `flow_name` that may not start
  /// at once. More urgent runs are assumed to keep arriving at their recent
  /// rate.
  Duration ExpectedWait(const std::string& flow_name, double weight,
                        uint32_t slots, Time now) {
    const double urgency = UpdateUrgency(flow_name, weight);
    const Flow& own = GetFlow(flow_name);
    const double min_slots = std::max(slots, 1U) * kMinShare;
    double work = static_cast<double>(own.expected_time.count());
    for (const auto& [name, other] : flows_) {
      if (&other != &own && Urgency(other) < urgency) continue;
      work += static_cast<double>(other.expected_time.count()) *
              static_cast<double>(other.waiting.size());
    }
    const double available =
        std::max(slots - SlotsNeededAbove(urgency, now), min_slots);
    // The minimum share of the least urgent flow does not wait for other flows.
    const double own_work = static_cast<double>(own.expected_time.count()) *
                            static_cast<double>(own.waiting.size() + 1);
    const double wait =
        std::min(work / available, own_work / min_slots) * kWaitMargin;
    return Duration(static_cast<int64_t>(wait));
  }

  void Erase(uint64_t run) {
    for (auto& [name, flow] : flows_) std::erase(flow.waiting, run);
  }
  size_t Size() const {
    size_t n = 0;
    for (const auto& [name, flow] : flows_) n += flow.waiting.size();
    return n;
  }
  std::vector<uint64_t> All() const {
    std::vector<uint64_t> runs;
    for (const auto& [name, flow] : flows_) {
      runs.insert(runs.end(), flow.waiting.begin(), flow.waiting.end());
    }
    return runs;
  }

 private:
  /// Each observation contributes 1/16 to the moving average of run times.
  static constexpr int kSmoothingDivisor = 16;
  /// Expected time of a run until one has been observed.
  static constexpr Duration kDefaultRunTime = 50ms;
  static constexpr Duration kRecentWorkTimeConstant = 2s;
  /// Share of the time that is kept for the least urgent flow.
  static constexpr double kMinShare = 0.1;
  /// Factor on expected waits. Waits vary, and an accepted call should meet its
  /// target.
  static constexpr double kWaitMargin = 1.25;
  /// Slots reserved in addition to the mean need of more urgent work, in
  /// standard deviations of a Poisson load.
  static constexpr double kReserveDeviations = 0.3;

  struct Flow {
    double weight = 1.0;
    Duration expected_time = kDefaultRunTime;
    bool has_run_time = false;
    DecayingSum recent_work{kRecentWorkTimeConstant};
    uint32_t running = 0;
    std::deque<uint64_t> waiting;
  };

  /// Returns the number of slots that work more urgent than `urgency` needs at
  /// its recent rate.
  double SlotsNeededAbove(double urgency, Time now) const {
    double slots = 0;
    for (const auto& [name, other] : flows_) {
      if (Urgency(other) <= urgency) continue;
      const auto tau =
          static_cast<double>(other.recent_work.TimeConstant().count());
      slots += other.recent_work.Get(now) / tau;
    }
    return slots + kReserveDeviations * std::sqrt(slots);
  }
  bool MayStartAt(double urgency, uint32_t slots, Time now) const {
    if (!Rules::kReserveSlots) return true;
    uint32_t running = 0;
    for (const auto& [name, other] : flows_) {
      if (Urgency(other) <= urgency) running += other.running;
    }
    const double min_slots = std::max(slots * kMinShare, 1.0);
    return running <
           std::max(slots - SlotsNeededAbove(urgency, now), min_slots);
  }
  static std::string FlowKey(const std::string& flow_name) {
    return Rules::kSeparateClasses ? flow_name : std::string();
  }
  Flow& GetFlow(const std::string& flow_name) {
    return flows_[FlowKey(flow_name)];
  }
  static double Urgency(const Flow& flow) {
    const auto time = std::max<Duration>(flow.expected_time, 1ms);
    return flow.weight / static_cast<double>(time.count());
  }
  /// Sets the weight of a flow and returns its urgency.
  double UpdateUrgency(const std::string& flow_name, double weight) {
    Flow& flow = GetFlow(flow_name);
    flow.weight = weight;
    return Urgency(flow);
  }
  Flow* MostUrgentWaiting() {
    Flow* most_urgent = nullptr;
    for (auto& [name, flow] : flows_) {
      if (flow.waiting.empty()) continue;
      if (most_urgent == nullptr || Urgency(flow) > Urgency(*most_urgent))
        most_urgent = &flow;
    }
    return most_urgent;
  }
  Flow* LeastUrgentWaiting() {
    Flow* least_urgent = nullptr;
    for (auto& [name, flow] : flows_) {
      if (flow.waiting.empty()) continue;
      if (least_urgent == nullptr || Urgency(flow) < Urgency(*least_urgent))
        least_urgent = &flow;
    }
    return least_urgent;
  }

  std::map<std::string, Flow> flows_;
  /// Run time granted to the least urgent flow by its minimum share and not yet
  /// used.
  Duration least_urgent_credit_{};
};

}  // namespace buckthorncart
