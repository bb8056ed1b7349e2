/// \file
/// `choice_bench`, which measures the CPU time of routing and load balancing
/// per call for several numbers of daemons and routes.

#include <ctime>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "Kernel/kernel.h"
#include "Plugins/Requests/call_router.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kServicesAtScale = 130;
constexpr uint32_t kMembersAtScale = 770;
constexpr uint32_t kRoutesAtScale = 500;
constexpr uint32_t kCalls = 20'000;
constexpr uint16_t kPeerPort = 7400;
constexpr uint32_t kLoopback = 127U << 24U;

/// Publishes a fixed fleet; replaces the membership and configuration plug-ins.
class StaticFleet : public Plugin {
 public:
  StaticFleet(uint32_t members, uint32_t services, uint32_t routes)
      : members_(members), services_(services), routes_(routes) {}
  void Attach(Context& /*ctx*/) override {}
  void Handle(Context& ctx, const Event& event) override {
    if (!std::holds_alternative<Started>(event)) return;
    auto snapshot = std::make_shared<Snapshot>();
    for (uint32_t i = 0; i < routes_; ++i) {
      Route route;
      route.name = "route-" + std::to_string(i);
      route.path = "/" + route.name;
      route.service = ServiceName(i % services_);
      snapshot->configuration.routes[route.name] = route;
    }
    ctx.Shared().held = snapshot;
    ctx.Shared().ready = true;
    for (uint32_t i = 0; i < members_; ++i) {
      Member member;
      member.address = {kLoopback + 2 + i, kPeerPort};
      member.data_centre = ctx.Settings().data_centre;
      member.incarnation = 1;
      member.backend = {
          ServiceName(i % services_), BackendState::kReady, 4, {}};
      ctx.Shared().members[member.address] = member;
      ctx.Raise(MemberChanged{member.address});
    }
  }

 private:
  static std::string ServiceName(uint32_t n) {
    return "service-" + std::to_string(n);
  }
  uint32_t members_;
  uint32_t services_;
  uint32_t routes_;
};

/// CPU time of this thread, seconds.
double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(now.tv_sec) +
         kNanosecond * static_cast<double>(now.tv_nsec);
}

/// CPU time of the kernel per call, from request to answer, microseconds.
double MicrosecondsPerCall(uint32_t members, uint32_t services,
                           uint32_t routes) {
  KernelSettings settings;
  settings.self = {kLoopback + 1, kPeerPort};
  settings.data_centre = "nl-west-a";
  std::vector<std::unique_ptr<Plugin>> plugins;
  plugins.push_back(std::make_unique<StaticFleet>(members, services, routes));
  plugins.push_back(
      std::make_unique<CallRouter<TwoRandomChoices, StandardRequestRules>>(
          settings));
  Kernel kernel(settings, std::move(plugins));
  Time now = 1h;
  kernel.Handle(now, Started{1});
  uint64_t answered = 0;
  const double start = ProcessorSeconds();
  for (uint32_t i = 1; i <= kCalls; ++i) {
    now += 1ms;
    const std::string path = "/route-" + std::to_string(i % routes) + "/7";
    for (const Effect& effect :
         kernel.Handle(now, CallerRequested{i, {"GET", path, {}, ""}})) {
      const auto* sent = std::get_if<SendPeer>(&effect);
      if (sent == nullptr) continue;
      CallAnswer answer;
      answer.id = i;
      answer.part.status = 200;
      answer.part.end = AnswerEnd::kComplete;
      kernel.Handle(now, PeerMessageReceived{sent->to, answer});
      ++answered;
    }
  }
  const double spent = ProcessorSeconds() - start;
  if (answered != kCalls) std::cerr << "choice_bench: calls were refused\n";
  constexpr double kMicroseconds = 1e6;
  return spent * kMicroseconds / kCalls;
}

int Run() {
  const double small = MicrosecondsPerCall(6, 1, 1);
  const double members =
      MicrosecondsPerCall(kMembersAtScale, kServicesAtScale, kServicesAtScale);
  const double routes = MicrosecondsPerCall(6, 1, kRoutesAtScale);
  const double both =
      MicrosecondsPerCall(kMembersAtScale, kServicesAtScale, kRoutesAtScale);
  std::cout << "us/call: 6 members, 1 route " << small << "; "
            << kMembersAtScale << " members, " << kServicesAtScale << " routes "
            << members << "; 6 members, " << kRoutesAtScale << " routes "
            << routes << "; " << kMembersAtScale << " members, "
            << kRoutesAtScale << " routes " << both << '\n';
  return 0;
}

}  // namespace
}  // namespace buckthorncart

int main() { return buckthorncart::Run(); }
