#pragma once
/// \file
/// Runs that wait for a slot of the backend server.

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
#include "Plugins/decaying_sum.h"
#include "Plugins/request_rules.h"

namespace buckthorncart {

/// Weight of a request in the order of starts.
inline double WeightOf(uint32_t priority, RequestClass request_class) {
  constexpr int kMaxPriority = 30;
  constexpr double kBulkWeight = 1.0 / 1'024.0;
  const int doublings = static_cast<int>(std::min<uint32_t>(priority, kMaxPriority));
  const double weight = std::ldexp(1.0, -doublings);
  return request_class == RequestClass::kBulk ? weight * kBulkWeight : weight;
}

/// Orders starts by weight for each unit of expected time (Smith's rule): what
/// is urgent and short goes first, which serves the most weight when there is
/// more work than slots. A flow is the work of one route; within a flow runs
/// start in the order of their arrival. The flow that would come last keeps a
/// small share of the time, so that it slows down and never starves.
template <RequestRules Rules>
class RunQueue {
 public:
  /// A run of `flow` took `time`.
  void NoteTime(const std::string& flow, Duration time) {
    Flow& known = FlowOf(flow);
    known.expected = known.observed
                         ? known.expected + (time - known.expected) / kAverageOf
                         : time;
    known.observed = true;
  }
  /// A run of `flow` starts, from the queue or past it.
  void NoteStart(const std::string& flow, Time now) {
    Flow& known = FlowOf(flow);
    known.recent_work.Add(static_cast<double>(known.expected.count()), now);
  }

  void Push(uint64_t run, const std::string& flow, double weight) {
    Flow& known = FlowOf(flow);
    known.weight = weight;
    known.waiting.push_back(run);
  }

  /// Takes the run that starts next.
  std::optional<uint64_t> Pop() {
    Flow* first = FirstWaiting();
    if (first == nullptr) return std::nullopt;
    Flow* last = LastWaiting();
    Flow* taken = first;
    if (Rules::kShareWithBulk && last != first) {
      owed_ += Duration(static_cast<int64_t>(
          static_cast<double>(first->expected.count()) * kLeastShare));
      if (owed_ >= last->expected) {
        owed_ -= last->expected;
        taken = last;
      }
    }
    const uint64_t run = taken->waiting.front();
    taken->waiting.pop_front();
    return run;
  }

  /// Takes the newest run of the last flow out to make room for one that goes
  /// before it.
  std::optional<uint64_t> EvictFor(const std::string& flow, double weight) {
    if (!CanEvictFor(flow, weight)) return std::nullopt;
    Flow* last = LastWaiting();
    const uint64_t run = last->waiting.back();
    last->waiting.pop_back();
    return run;
  }
  bool CanEvictFor(const std::string& flow, double weight) {
    const Flow* last = LastWaiting();
    return last != nullptr && last != &FlowOf(flow) &&
           Urgency(*last) < UrgencyOf(flow, weight);
  }

  /// Expected wait of a new run of `flow` when all `slots` are in use. Runs
  /// that go before it and come later are expected at their recent rate.
  Duration WaitOf(const std::string& flow, double weight, uint32_t slots,
                  Time now) {
    const double urgency = UrgencyOf(flow, weight);
    const double all_slots = std::max(slots, 1U);
    double work = static_cast<double>(FlowOf(flow).expected.count());
    double share = 0;
    for (const auto& [name, other] : flows_) {
      const bool own = name == KeyOf(flow);
      if (!own && Urgency(other) < urgency) continue;
      work += static_cast<double>(other.expected.count()) *
              static_cast<double>(other.waiting.size());
      if (own) continue;
      const auto tau =
          static_cast<double>(other.recent_work.TimeConstant().count());
      share += other.recent_work.Get(now) / tau / all_slots;
    }
    const double left = std::max(1.0 - share, kLeastShare);
    return Duration(static_cast<int64_t>(work / all_slots / left));
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
  /// An observation counts as one part in so many.
  static constexpr int kAverageOf = 16;
  /// Expected time of a run of which nothing is known.
  static constexpr Duration kUnknownTime = 50ms;
  static constexpr Duration kRecent = 2s;
  /// Share of the time that the last flow keeps.
  static constexpr double kLeastShare = 0.1;

  struct Flow {
    double weight = 1.0;
    Duration expected = kUnknownTime;
    bool observed = false;
    DecayingSum recent_work{kRecent};
    std::deque<uint64_t> waiting;
  };

  static std::string KeyOf(const std::string& flow) {
    return Rules::kSeparateClasses ? flow : std::string();
  }
  Flow& FlowOf(const std::string& flow) { return flows_[KeyOf(flow)]; }
  static double Urgency(const Flow& flow) {
    const auto time = std::max<Duration>(flow.expected, 1ms);
    return flow.weight / static_cast<double>(time.count());
  }
  double UrgencyOf(const std::string& flow, double weight) {
    Flow& known = FlowOf(flow);
    known.weight = weight;
    return Urgency(known);
  }
  Flow* FirstWaiting() {
    Flow* best = nullptr;
    for (auto& [name, flow] : flows_) {
      if (flow.waiting.empty()) continue;
      if (best == nullptr || Urgency(flow) > Urgency(*best)) best = &flow;
    }
    return best;
  }
  Flow* LastWaiting() {
    Flow* last = nullptr;
    for (auto& [name, flow] : flows_) {
      if (flow.waiting.empty()) continue;
      if (last == nullptr || Urgency(flow) < Urgency(*last)) last = &flow;
    }
    return last;
  }

  std::map<std::string, Flow> flows_;
  /// Time that the last flow has not been given yet.
  Duration owed_{};
};

}  // namespace buckthorncart
