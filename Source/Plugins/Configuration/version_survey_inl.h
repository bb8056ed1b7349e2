#pragma once
/// \file
/// Definitions of `VersionSurvey`; include version_survey.h.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "Kernel/context.h"
#include "Kernel/url_query.h"
#include "Plugins/Configuration/version_survey.h"

namespace buckthorncart {

/// Sets surveys' probes apart from those of the failure detector.
inline constexpr uint64_t kSurveyBit = 1ULL << 62U;
/// Interval of asking a daemon again.
inline constexpr Duration kSurveyRound = 250ms;
/// Pace of probes: a fleet of full size is asked within one round.
inline constexpr Duration kSurveyStep = 20ms;
inline constexpr size_t kProbesEachStep = 64;
inline constexpr Duration kMinSurveyWait = 600ms;
inline constexpr uint64_t kMaxSurveyWaitMs = 600'000;
/// Surveys at once, which bounds the probes that operators can cause.
inline constexpr size_t kMaxSurveys = 8;

/// Value of the parameter `name`, or 0 when it is absent; nothing when it is
/// no whole number.
inline std::optional<uint64_t> NumberParameter(const Url& url,
                                               const std::string& name) {
  const std::string_view text = url.Get(name);
  if (text.empty()) return 0;
  uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::Attach(Context& /*ctx*/) {}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::Handle(Context& ctx, const Event& event) {
  if (const auto* received = std::get_if<DatagramReceived>(&event)) {
    NoteVersion(ctx, *received);
    return;
  }
  if (const auto* left = std::get_if<OperatorDisconnected>(&event)) {
    std::erase_if(surveys_, [left](const auto& item) {
      return item.second.request == left->request;
    });
    return;
  }
  const auto* timer = std::get_if<TimerFired>(&event);
  if (timer == nullptr || timer->kind != TimerKind::kInForceWait) return;
  const auto it = surveys_.find(timer->argument);
  if (it == surveys_.end()) return;
  if (ctx.Now() >= it->second.until) {
    EndIfDone(ctx, timer->argument, true);
  } else {
    Step(ctx, timer->argument);
  }
}

template <VersionSurveyRules Rules>
bool VersionSurvey<Rules>::HandleOperator(Context& ctx,
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

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::Begin(Context& ctx, const OperatorRequested& request,
                                 Kind kind) {
  constexpr uint16_t kBadRequest = 400;
  constexpr uint16_t kUnavailable = 503;
  const Url url = ParseUrl(request.http.path);
  const auto version = NumberParameter(url, "version");
  const auto wait_ms = NumberParameter(url, "wait-ms");
  for (const char* name : {"version", "wait-ms"}) {
    if (NumberParameter(url, name)) continue;
    ctx.AnswerFailure(
        request.request, kBadRequest,
        {Errc::kInvalidValue, name + ("=" + std::string(url.Get(name))),
         "a whole number", "correct the parameter"});
    return;
  }
  if (surveys_.size() >= kMaxSurveys) {
    ctx.AnswerFailure(request.request, kUnavailable,
                      {Errc::kOverloaded, "queries of the fleet",
                       std::to_string(kMaxSurveys) + " at once at most",
                       "ask again later, or another daemon"});
    return;
  }
  const uint64_t number = ++next_survey_;
  Survey& survey = surveys_[number];
  survey.kind = kind;
  survey.request = request.request;
  survey.version = *version == 0 ? ctx.Shared().held->version : *version;
  const auto wait =
      std::chrono::milliseconds(std::min(*wait_ms, kMaxSurveyWaitMs));
  survey.until = ctx.Now() + std::max<Duration>(kMinSurveyWait, wait);
  BeginRound(ctx, survey);
  Step(ctx, number);
}

template <VersionSurveyRules Rules>
bool VersionSurvey<Rules>::IsDone(const Survey& survey, Address address) const {
  const auto it = survey.reported.find(address);
  if (it == survey.reported.end()) return false;
  return survey.kind == Kind::kDaemons || it->second >= survey.version;
}

/// True if the answer has to wait for this member.
template <VersionSurveyRules Rules>
bool VersionSurvey<Rules>::IsMissing(const Survey& survey,
                                     const Member& member) const {
  const bool gone = member.status == MemberStatus::kGone;
  if (gone && (!Rules::kCountGone || survey.kind == Kind::kDaemons)) {
    return false;
  }
  return !IsDone(survey, member.address);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::BeginRound(Context& ctx, Survey& survey) {
  survey.round = ctx.Now();
  for (const auto& [address, member] : ctx.Shared().members) {
    if (IsMissing(survey, member)) survey.to_probe.push_back(address);
  }
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::Step(Context& ctx, uint64_t number) {
  Survey& survey = surveys_.at(number);
  survey.reported[ctx.Settings().self] = ctx.Shared().held->version;
  const bool round_over = ctx.Now() - survey.round >= kSurveyRound;
  if (survey.to_probe.empty() && round_over) BeginRound(ctx, survey);
  size_t n = 0;
  while (!survey.to_probe.empty()) {
    if (Rules::kPaceProbes && n++ == kProbesEachStep) break;
    ctx.SendUdp(survey.to_probe.back(),
                Probe{kSurveyBit | number,
                      {ctx.Shared().held->version, {}, /*table_digest=*/0}});
    survey.to_probe.pop_back();
  }
  ctx.SetTimerIn(survey.to_probe.empty() ? kSurveyRound : kSurveyStep,
                 TimerKind::kInForceWait, number);
  EndIfDone(ctx, number, false);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::NoteVersion(Context& ctx,
                                       const DatagramReceived& received) {
  const auto* ack = std::get_if<ProbeAck>(&received.message);
  if (ack == nullptr || (ack->sequence & kSurveyBit) == 0) return;
  const uint64_t number = ack->sequence & ~kSurveyBit;
  const auto it = surveys_.find(number);
  if (it == surveys_.end()) return;
  it->second.reported[received.from] = ack->gossip.version;
  EndIfDone(ctx, number, false);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::EndIfDone(Context& ctx, uint64_t number, bool last) {
  Survey& survey = surveys_.at(number);
  survey.reported[ctx.Settings().self] = ctx.Shared().held->version;
  const auto& members = ctx.Shared().members;
  const bool all = IsDone(survey, ctx.Settings().self) &&
                   std::none_of(members.begin(), members.end(),
                                [this, &survey](const auto& item) {
                                  return IsMissing(survey, item.second);
                                });
  if (!last && !all) return;
  if (survey.kind == Kind::kInForce) {
    AnswerInForce(ctx, survey);
  } else {
    AnswerDaemons(ctx, survey);
  }
  surveys_.erase(number);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::AnswerInForce(Context& ctx, const Survey& survey) {
  struct Count {
    size_t daemons = 0;
    size_t in_force = 0;
  };
  std::map<std::string, Count> data_centres;
  std::vector<std::string> behind;
  std::vector<std::string> unreachable;
  std::vector<std::string> gone;
  uint64_t lowest = ctx.Shared().held->version;
  Count all;
  const auto count = [&](const Member& member) {
    const bool is_gone = member.status == MemberStatus::kGone;
    const auto it = survey.reported.find(member.address);
    const bool reported = it != survey.reported.end();
    // A daemon taken as gone that answers all the same is not lost.
    if (is_gone && !reported) gone.push_back(member.address.ToString());
    if (is_gone && !reported && !Rules::kCountGone) return;
    Count& here = data_centres[member.data_centre];
    ++here.daemons;
    ++all.daemons;
    if (!reported) {
      if (!is_gone) unreachable.push_back(member.address.ToString());
      return;
    }
    lowest = std::min(lowest, it->second);
    if (it->second < survey.version) {
      behind.push_back(member.address.ToString());
      return;
    }
    ++here.in_force;
    ++all.in_force;
  };
  count(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) count(member);
  nlohmann::ordered_json places = nlohmann::ordered_json::array();
  for (const auto& [name, here] : data_centres) {
    places.push_back({{"data_centre", name},
                      {"daemons", here.daemons},
                      {"in_force", here.in_force}});
  }
  const nlohmann::ordered_json body = {
      {"version", survey.version},
      {"in_force_everywhere", all.in_force == all.daemons},
      {"in_force", all.in_force},
      {"daemons", all.daemons},
      {"lowest", lowest},
      {"behind", behind},
      {"unreachable", unreachable},
      {"gone", gone},
      {"data_centres", places}};
  ctx.AnswerJson(survey.request, 200, body.dump() + "\n");
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::AnswerDaemons(Context& ctx, const Survey& survey) {
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
