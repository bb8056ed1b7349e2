#include "Quota/quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "Plugins/Configuration/configuration_follower.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

/// The bound that is promised to the users.
constexpr Duration kWindow = 5s;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;

constexpr uint16_t kTooManyRequests = 429;
constexpr uint16_t kServed = 200;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

uint32_t NumberOf(Address address) { return address.ip & 0xFFFFU; }

}  // namespace

QuotaFleet::QuotaFleet(uint32_t size, uint64_t seed,
                       FakeFleet::PluginFactory plugins)
    : fleet(std::move(plugins)), seed_(seed), random_(seed) {
  std::vector<KernelSettings> all;
  for (uint32_t n = 1; n <= size; ++n) all.push_back(SettingsOf(n));
  fleet.AddAll(all);
  for (uint32_t n = 1; n <= size; ++n) {
    fleet.Announce(n, "desk", "ready", 1'000);
    fleet.Behaviours()[n].time = 5ms;
  }
  fleet.SetFilter([this](Address from, const Effect& effect) {
    return Passes(from, effect);
  });
}

KernelSettings QuotaFleet::SettingsOf(uint32_t n) const {
  constexpr uint32_t kDataCentres = 3;
  const auto letter = static_cast<char>('a' + n % kDataCentres);
  KernelSettings settings = TestSettings(n, std::string("vn-") + letter);
  settings.source = ConfigurationSource::kFollowed;
  settings.choice = ChoicePolicy::kNearest;
  settings.checks_api_keys = true;
  settings.enforces_quota = true;
  settings.is_first_start = version_ == 0;
  settings.seed = seed_ * 1'000 + n;
  return settings;
}

bool QuotaFleet::Passes(Address from, const Effect& effect) {
  if (const auto* call = std::get_if<CallBackend>(&effect))
    RecordRun(call->request);
  if (!sides_) return true;
  const uint32_t side = sides_(NumberOf(from));
  if (const auto* peer = std::get_if<SendPeer>(&effect))
    return sides_(NumberOf(peer->to)) == side;
  if (const auto* datagram = std::get_if<SendDatagram>(&effect))
    return sides_(NumberOf(datagram->to)) == side;
  return true;
}

void QuotaFleet::RecordRun(const HttpRequest& request) {
  const auto number = std::stoul(request.path.substr(1));
  requests_.at(number).runs.push_back(
      {fleet.Now(),
       std::string(FindHeader(request.headers, header::kWorkspace))});
}

Snapshot QuotaFleet::MakeSnapshot() {
  Snapshot snapshot;
  snapshot.version = ++version_;
  snapshot.reads_workspaces = true;
  snapshot.configuration.services["desk"].name = "desk";
  Route& route = snapshot.configuration.routes["all"];
  route.name = "all";
  route.path = "/";
  route.service = "desk";
  route.deduplicates_by_key = false;
  route.target_latency_ms = 600;
  for (const auto& [name, limit] : limits_) {
    Workspace& workspace = snapshot.configuration.workspaces[name];
    workspace.name = name;
    workspace.keys = {DigestOfKey("key of " + name)};
    workspace.rate_per_1000_s =
        static_cast<uint64_t>(std::llround(limit.rate_per_s * 1'000));
    workspace.burst = limit.burst;
  }
  return snapshot;
}

void QuotaFleet::Write(const Limits& limits) {
  limits_ = limits;
  fleet.Put(std::string(kFollowedRow), Encode(MakeSnapshot()));
}

void QuotaFleet::MoveKey(const std::string& from, const std::string& to) {
  Snapshot snapshot = MakeSnapshot();
  auto& workspaces = snapshot.configuration.workspaces;
  workspaces.at(to).keys.merge(workspaces.at(from).keys);
  fleet.Put(std::string(kFollowedRow), Encode(snapshot));
}

void QuotaFleet::Start(const Limits& limits) {
  fleet.StartAll();
  Write(limits);
  fleet.Advance(10s);
}

void QuotaFleet::Join(uint32_t n) {
  KernelSettings settings = SettingsOf(n);
  settings.peers = {fleet.At(fleet.Numbers().front()).Self()};
  fleet.AddAll({settings});
  fleet.Restart(n);
  fleet.Announce(n, "desk", "ready", 1'000);
  fleet.Behaviours()[n].time = 5ms;
}

Duration QuotaFleet::NextArrival(double per_second) {
  std::exponential_distribution<double> gap(per_second);
  return Duration(static_cast<int64_t>(gap(random_) * 1e6));
}

void QuotaFleet::Run(Duration duration, const Load& load) {
  struct Source {
    std::string workspace;
    uint32_t daemon = 0;
    double per_second = 0;
  };
  std::vector<Source> sources;
  std::multimap<Time, size_t> arrivals;
  const Time end = fleet.Now() + duration;
  for (const auto& [name, limit] : limits_) {
    for (const uint32_t n : fleet.Numbers()) {
      const double per_second = load(name, n);
      if (per_second <= 0) continue;
      arrivals.emplace(fleet.Now() + NextArrival(per_second), sources.size());
      sources.push_back({name, n, per_second});
    }
  }
  while (!arrivals.empty() && arrivals.begin()->first < end) {
    const auto [at, index] = *arrivals.begin();
    arrivals.erase(arrivals.begin());
    fleet.Advance(at - fleet.Now());
    const Source& source = sources[index];
    Send(source.workspace, source.daemon);
    arrivals.emplace(at + NextArrival(source.per_second), index);
  }
  fleet.Advance(end - fleet.Now());
}

void QuotaFleet::Send(const std::string& workspace, uint32_t n) {
  const auto numbers = fleet.Numbers();
  if (std::find(numbers.begin(), numbers.end(), n) == numbers.end()) return;
  const size_t number = requests_.size();
  requests_.push_back({workspace, n, 0, fleet.Now(), {}});
  const Headers headers = {
      {std::string(header::kKeyDigest),
       FormatKeyDigest(DigestOfKey("key of " + workspace))}};
  requests_[number].call =
      fleet.Call(n, {"GET", "/" + std::to_string(number), headers, ""});
}

double QuotaFleet::Excess(const std::string& workspace, const QuotaLimit& limit,
                          Time from) const {
  const double bound =
      (limit.rate_per_s * Seconds(kWindow) + limit.burst) * (1 + kOverage) +
      kSlack;
  std::vector<std::pair<Time, Time>> runs;
  for (const Request& request : requests_) {
    if (request.sent_at < from) continue;
    for (const Execution& run : request.runs) {
      if (run.workspace == workspace)
        runs.emplace_back(request.sent_at, run.at);
    }
  }
  double most = 0;
  for (size_t i = 0; i < runs.size(); ++i) {
    const Time end = runs[i].first + kWindow;
    double n = 0;
    for (size_t k = i; k < runs.size() && runs[k].first <= end; ++k) {
      if (runs[k].second <= end) ++n;
    }
    most = std::max(most, n);
  }
  return most - bound;
}

QuotaResult QuotaFleet::ResultOf(const std::string& workspace,
                                 const QuotaLimit& limit) const {
  QuotaResult result;
  const auto& answers = const_cast<FakeFleet&>(fleet).CallerAnswers();
  std::vector<Time> served;
  for (const Request& request : requests_) {
    if (request.workspace != workspace) continue;
    ++result.sent;
    const auto answer = answers.find(request.call);
    const uint16_t status =
        answer == answers.end() ? uint16_t{0} : answer->second.status;
    if (status == kServed) {
      ++result.served;
      served.push_back(request.sent_at);
    }
    if (status != kTooManyRequests) continue;
    ++result.refused;
    const auto recent = std::count_if(
        served.begin(), served.end(),
        [&request](Time at) { return at > request.sent_at - kWindow; });
    const double allowed = limit.rate_per_s * Seconds(kWindow) + limit.burst;
    if (static_cast<double>(recent) + 1 <= allowed) ++result.wrongly_refused;
  }
  return result;
}

uint64_t QuotaFleet::Counter(std::string_view name) {
  uint64_t sum = 0;
  for (const uint32_t n : fleet.Numbers()) sum += fleet.At(n).Counter(name);
  return sum;
}

}  // namespace buckthorncart
