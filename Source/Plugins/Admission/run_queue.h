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
#include "Plugins/Requests/decaying_sum.h"
#include "Plugins/Requests/request_rules.h"

namespace buckthorncart {

/// Weight of a request in the order of starts.
inline double WeightOf(uint32_t priority, RequestClass request_class) {
  constexpr int kMaxPriority = 30;
  constexpr double kBulkWeight = 1.0 / 1'024.0;
  const int doublings =
      static_cast<int>(std::min<uint32_t>(priority, kMaxPriority));
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
    ++known.running;
  }
  /// A run of `flow` that has started has ended.
  void NoteEnd(const std::string& flow) { --FlowOf(flow).running; }

  void Push(uint64_t run, const std::string& flow, double weight) {
    Flow& known = FlowOf(flow);
    known.weight = weight;
    known.waiting.push_back(run);
  }

  /// True if a run of `flow` may take one of the slots that are free. Work that
  /// is less urgent leaves as many slots as more urgent work has needed lately.
  bool MayStart(const std::string& flow, double weight, uint32_t slots,
                Time now) {
    return MayStartAt(UrgencyOf(flow, weight), slots, now);
  }

  /// Takes the run that starts next, of `slots` in all some of which are free.
  std::optional<uint64_t> Pop(uint32_t slots, Time now) {
    Flow* first = FirstWaiting();
    if (first == nullptr) return std::nullopt;
    if (!MayStartAt(Urgency(*first), slots, now)) return std::nullopt;
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

  /// Expected wait of a new run of `flow` when it may not start at once. More
  /// urgent runs that come later are expected at their recent rate.
  Duration WaitOf(const std::string& flow, double weight, uint32_t slots,
                  Time now) {
    const double urgency = UrgencyOf(flow, weight);
    const Flow& own = FlowOf(flow);
    const double least = std::max(slots, 1U) * kLeastShare;
    double work = static_cast<double>(own.expected.count());
    for (const auto& [name, other] : flows_) {
      if (&other != &own && Urgency(other) < urgency) continue;
      work += static_cast<double>(other.expected.count()) *
              static_cast<double>(other.waiting.size());
    }
    const double left = std::max(slots - NeededAbove(urgency, now), least);
    // The share that the last flow keeps does not wait for the others.
    const double own_work = static_cast<double>(own.expected.count()) *
                            static_cast<double>(own.waiting.size() + 1);
    const double wait = std::min(work / left, own_work / least) * kWaitMargin;
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
  /// An observation counts as one part in so many.
  static constexpr int kAverageOf = 16;
  /// Expected time of a run of which nothing is known.
  static constexpr Duration kUnknownTime = 50ms;
  static constexpr Duration kRecent = 2s;
  /// Share of the time that the last flow keeps.
  static constexpr double kLeastShare = 0.1;
  /// Waits vary; a call that is accepted should keep its target.
  static constexpr double kWaitMargin = 1.25;
  /// Reserve, in standard deviations of a Poisson load.
  static constexpr double kReserveDeviations = 0.3;

  struct Flow {
    double weight = 1.0;
    Duration expected = kUnknownTime;
    bool observed = false;
    DecayingSum recent_work{kRecent};
    uint32_t running = 0;
    std::deque<uint64_t> waiting;
  };

  /// Slots that work more urgent than `urgency` needs at its recent rate.
  double NeededAbove(double urgency, Time now) const {
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
    const double least = std::max(slots * kLeastShare, 1.0);
    return running < std::max(slots - NeededAbove(urgency, now), least);
  }
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
