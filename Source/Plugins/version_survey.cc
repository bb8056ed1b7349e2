#include "Plugins/version_survey.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kOperators, [](const KernelSettings& /*settings*/) {
      return std::make_unique<VersionSurvey>();
    });

/// Sets surveys' probes apart from those of the failure detector.
constexpr uint64_t kSurveyBit = 1ULL << 62U;
constexpr Duration kProbeInterval = 250ms;
constexpr Duration kMinWait = 600ms;
constexpr uint64_t kMaxWaitMs = 600'000;

uint64_t ParseNumber(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace

void VersionSurvey::Attach(Context& /*ctx*/) {}

void VersionSurvey::Handle(Context& ctx, const Event& event) {
  if (const auto* received = std::get_if<DatagramReceived>(&event)) {
    NoteVersion(ctx, *received);
    return;
  }
  const auto* timer = std::get_if<TimerFired>(&event);
  if (timer == nullptr || timer->kind != TimerKind::kInForceWait) return;
  const auto it = surveys_.find(timer->argument);
  if (it == surveys_.end()) return;
  if (ctx.Now() >= it->second.until) {
    EndIfDone(ctx, timer->argument, true);
  } else {
    ProbeAll(ctx, timer->argument);
  }
}

bool VersionSurvey::HandleOperator(Context& ctx,
                                   const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path == "/v1/in-force") {
    Begin(ctx, request, Kind::kInForce);
    return true;
  }
  if (url.path == "/v1/daemons") {
    Begin(ctx, request, Kind::kDaemons);
    return true;
  }
  return false;
}

void VersionSurvey::Begin(Context& ctx, const OperatorRequested& request,
                          Kind kind) {
  const Url url = ParseUrl(request.http.path);
  const uint64_t number = ++next_survey_;
  Survey& survey = surveys_[number];
  survey.kind = kind;
  survey.request = request.request;
  survey.version = ParseNumber(url.Get("version"));
  if (survey.version == 0) survey.version = ctx.Shared().held->version;
  const uint64_t wait_ms =
      std::min(ParseNumber(url.Get("wait-ms")), kMaxWaitMs);
  survey.until = ctx.Now() + std::max<Duration>(
                                 kMinWait, std::chrono::milliseconds(wait_ms));
  ProbeAll(ctx, number);
}

std::vector<Address> VersionSurvey::Expected(Context& ctx) const {
  std::vector<Address> expected;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kGone) expected.push_back(address);
  }
  return expected;
}

void VersionSurvey::ProbeAll(Context& ctx, uint64_t number) {
  Survey& survey = surveys_.at(number);
  survey.reported[ctx.Settings().self] = ctx.Shared().held->version;
  for (const Address address : Expected(ctx)) {
    const auto it = survey.reported.find(address);
    const bool done =
        it != survey.reported.end() &&
        (survey.kind == Kind::kDaemons || it->second >= survey.version);
    if (done) continue;
    ctx.SendUdp(address,
                Probe{kSurveyBit | number, {ctx.Shared().held->version, {}}});
  }
  ctx.SetTimerIn(kProbeInterval, TimerKind::kInForceWait, number);
  EndIfDone(ctx, number, false);
}

void VersionSurvey::NoteVersion(Context& ctx,
                                const DatagramReceived& received) {
  const auto* ack = std::get_if<ProbeAck>(&received.message);
  if (ack == nullptr || (ack->sequence & kSurveyBit) == 0) return;
  const uint64_t number = ack->sequence & ~kSurveyBit;
  const auto it = surveys_.find(number);
  if (it == surveys_.end()) return;
  it->second.reported[received.from] = ack->gossip.version;
  EndIfDone(ctx, number, false);
}

void VersionSurvey::EndIfDone(Context& ctx, uint64_t number, bool last) {
  const Survey& survey = surveys_.at(number);
  const std::vector<Address> expected = Expected(ctx);
  const bool all =
      std::all_of(expected.begin(), expected.end(), [&survey](Address address) {
        const auto it = survey.reported.find(address);
        return it != survey.reported.end() &&
               (survey.kind == Kind::kDaemons || it->second >= survey.version);
      });
  const bool self_done = survey.kind == Kind::kDaemons ||
                         ctx.Shared().held->version >= survey.version;
  if (!last && !(all && self_done)) return;
  if (survey.kind == Kind::kInForce) {
    AnswerInForce(ctx, survey);
  } else {
    AnswerDaemons(ctx, survey);
  }
  surveys_.erase(number);
}

void VersionSurvey::AnswerInForce(Context& ctx, const Survey& survey) {
  std::vector<std::string> behind;
  std::vector<std::string> unreachable;
  uint64_t lowest = ctx.Shared().held->version;
  size_t in_force = lowest >= survey.version ? 1 : 0;
  if (in_force == 0) behind.push_back(ctx.Settings().self.ToString());
  const std::vector<Address> expected = Expected(ctx);
  for (const Address address : expected) {
    const auto it = survey.reported.find(address);
    if (it == survey.reported.end()) {
      unreachable.push_back(address.ToString());
      continue;
    }
    lowest = std::min(lowest, it->second);
    if (it->second >= survey.version) {
      ++in_force;
    } else {
      behind.push_back(address.ToString());
    }
  }
  std::vector<std::string> gone;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone)
      gone.push_back(address.ToString());
  }
  const size_t daemons = expected.size() + 1;
  const nlohmann::ordered_json body = {
      {"version", survey.version},
      {"in_force_everywhere", in_force == daemons},
      {"in_force", in_force},
      {"daemons", daemons},
      {"lowest", lowest},
      {"behind", behind},
      {"unreachable", unreachable},
      {"gone", gone}};
  ctx.AnswerJson(survey.request, 200, body.dump() + "\n");
}

void VersionSurvey::AnswerDaemons(Context& ctx, const Survey& survey) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  const auto add = [&](const Member& member) {
    nlohmann::ordered_json row = {
        {"address", member.address.ToString()},
        {"data_centre", member.data_centre},
        {"status", NameOf(member.status)},
        {"service", member.backend.service},
        {"backend_server", NameOf(member.backend.state)},
        {"slots", member.backend.slots}};
    const auto it = survey.reported.find(member.address);
    if (it == survey.reported.end()) {
      row["version"] = nullptr;
    } else {
      row["version"] = it->second;
    }
    list.push_back(std::move(row));
  };
  add(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) add(member);
  ctx.AnswerJson(survey.request, 200,
                 nlohmann::ordered_json{{"daemons", list}}.dump() + "\n");
}

}  // namespace buckthorncart
