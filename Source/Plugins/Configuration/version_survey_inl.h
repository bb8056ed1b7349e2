#pragma once
/// \file
/// Definitions of `VersionSurvey`; include version_survey.h.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "Base/json_text.h"
#include "Kernel/context.h"
#include "Kernel/url_query.h"
#include "Plugins/Configuration/version_survey.h"

namespace buckthorncart {

/// Distinguishes the probes of surveys from those of the failure detector.
inline constexpr uint64_t kSurveyBit = 1ULL << 62U;
/// Interval between two probes of the same daemon.
inline constexpr Duration kSurveyRoundInterval = 250ms;
/// Interval between batches of probes. A fleet of the maximum size is probed
/// within one round.
inline constexpr Duration kSurveyBatchInterval = 20ms;
inline constexpr size_t kProbesPerBatch = 64;
inline constexpr Duration kMinSurveyWait = 600ms;
inline constexpr uint64_t kMaxSurveyWaitMs = 600'000;
/// Maximum number of concurrent surveys, which limits the probes that operators
/// can cause.
inline constexpr size_t kMaxSurveys = 8;

/// Returns the value of the parameter `name`, 0 if it is absent, or nothing if
/// it is not a whole number.
inline std::optional<uint64_t> ParseNumberParameter(const Url& url,
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
    RecordReply(ctx, *received);
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
  if (ctx.Now() >= it->second.deadline) {
    FinishIfDone(ctx, timer->argument, true);
  } else {
    ProbeNext(ctx, timer->argument);
  }
}

template <VersionSurveyRules Rules>
bool VersionSurvey<Rules>::HandleOperator(Context& ctx,
                                          const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path == "/v1/in-force") {
    StartSurvey(ctx, request, Kind::kInForce);
    return true;
  }
  if (url.path == "/v1/daemons") {
    StartSurvey(ctx, request, Kind::kDaemons);
    return true;
  }
  return false;
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::StartSurvey(Context& ctx,
                                       const OperatorRequested& request,
                                       Kind kind) {
  constexpr uint16_t kBadRequest = 400;
  constexpr uint16_t kUnavailable = 503;
  const Url url = ParseUrl(request.http.path);
  const auto version = ParseNumberParameter(url, "version");
  const auto wait_ms = ParseNumberParameter(url, "wait-ms");
  for (const char* name : {"version", "wait-ms"}) {
    if (ParseNumberParameter(url, name)) continue;
    ctx.AnswerFailure(
        request.request, kBadRequest,
        {Errc::kInvalidValue, name + ("=" + std::string(url.Get(name))),
         "a whole number", "correct the parameter"});
    return;
  }
  if (surveys_.size() >= kMaxSurveys) {
    ctx.AnswerFailure(request.request, kUnavailable,
                      {Errc::kOverloaded, "fleet queries",
                       std::to_string(kMaxSurveys) + " or fewer at a time",
                       "try again later or use another daemon"});
    return;
  }
  const uint64_t number = ++next_survey_;
  Survey& survey = surveys_[number];
  survey.kind = kind;
  survey.request = request.request;
  survey.version = *version == 0 ? ctx.Shared().held->version : *version;
  const auto wait =
      std::chrono::milliseconds(std::min(*wait_ms, kMaxSurveyWaitMs));
  survey.deadline = ctx.Now() + std::max<Duration>(kMinSurveyWait, wait);
  BeginRound(ctx, survey);
  ProbeNext(ctx, number);
}

template <VersionSurveyRules Rules>
bool VersionSurvey<Rules>::IsSatisfied(const Survey& survey,
                                       Address address) const {
  const auto it = survey.reported.find(address);
  if (it == survey.reported.end()) return false;
  return survey.kind == Kind::kDaemons || it->second >= survey.version;
}

/// Returns true if the answer has to wait for this member.
template <VersionSurveyRules Rules>
bool VersionSurvey<Rules>::IsPending(const Survey& survey,
                                     const Member& member) const {
  const bool gone = member.status == MemberStatus::kGone;
  if (gone && (!Rules::kCountGoneDaemons || survey.kind == Kind::kDaemons)) {
    return false;
  }
  return !IsSatisfied(survey, member.address);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::BeginRound(Context& ctx, Survey& survey) {
  survey.round_started_at = ctx.Now();
  for (const auto& [address, member] : ctx.Shared().members) {
    if (IsPending(survey, member)) survey.to_probe.push_back(address);
  }
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::ProbeNext(Context& ctx, uint64_t number) {
  Survey& survey = surveys_.at(number);
  survey.reported[ctx.Settings().self] = ctx.Shared().held->version;
  const bool round_ended =
      ctx.Now() - survey.round_started_at >= kSurveyRoundInterval;
  if (survey.to_probe.empty() && round_ended) BeginRound(ctx, survey);
  size_t n = 0;
  while (!survey.to_probe.empty()) {
    if (Rules::kPaceProbes && n++ == kProbesPerBatch) break;
    ctx.SendUdp(survey.to_probe.back(),
                Probe{kSurveyBit | number,
                      {ctx.Shared().held->version, {}, /*table_digest=*/0}});
    survey.to_probe.pop_back();
  }
  ctx.SetTimerIn(
      survey.to_probe.empty() ? kSurveyRoundInterval : kSurveyBatchInterval,
      TimerKind::kInForceWait, number);
  FinishIfDone(ctx, number, false);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::RecordReply(Context& ctx,
                                       const DatagramReceived& received) {
  const auto* ack = std::get_if<ProbeAck>(&received.message);
  if (ack == nullptr || (ack->sequence & kSurveyBit) == 0) return;
  const uint64_t number = ack->sequence & ~kSurveyBit;
  const auto it = surveys_.find(number);
  if (it == surveys_.end()) return;
  it->second.reported[received.from] = ack->gossip.version;
  FinishIfDone(ctx, number, false);
}

template <VersionSurveyRules Rules>
void VersionSurvey<Rules>::FinishIfDone(Context& ctx, uint64_t number,
                                        bool timed_out) {
  Survey& survey = surveys_.at(number);
  survey.reported[ctx.Settings().self] = ctx.Shared().held->version;
  const auto& members = ctx.Shared().members;
  const bool complete = IsSatisfied(survey, ctx.Settings().self) &&
                        std::none_of(members.begin(), members.end(),
                                     [this, &survey](const auto& item) {
                                       return IsPending(survey, item.second);
                                     });
  if (!timed_out && !complete) return;
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
  Count total;
  const auto count = [&](const Member& member) {
    const bool is_gone = member.status == MemberStatus::kGone;
    const auto it = survey.reported.find(member.address);
    const bool reported = it != survey.reported.end();
    // A daemon that membership considers gone but that replies is counted as
    // reachable.
    if (is_gone && !reported) gone.push_back(member.address.ToString());
    if (is_gone && !reported && !Rules::kCountGoneDaemons) return;
    Count& counts = data_centres[member.data_centre];
    ++counts.daemons;
    ++total.daemons;
    if (!reported) {
      if (!is_gone) unreachable.push_back(member.address.ToString());
      return;
    }
    lowest = std::min(lowest, it->second);
    if (it->second < survey.version) {
      behind.push_back(member.address.ToString());
      return;
    }
    ++counts.in_force;
    ++total.in_force;
  };
  count(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) count(member);
  nlohmann::ordered_json data_centre_list = nlohmann::ordered_json::array();
  for (const auto& [name, counts] : data_centres) {
    data_centre_list.push_back({{"data_centre", name},
                                {"daemons", counts.daemons},
                                {"in_force", counts.in_force}});
  }
  const nlohmann::ordered_json body = {
      {"version", survey.version},
      {"in_force_everywhere", total.in_force == total.daemons},
      {"in_force", total.in_force},
      {"daemons", total.daemons},
      {"lowest", lowest},
      {"behind", behind},
      {"unreachable", unreachable},
      {"gone", gone},
      {"data_centres", data_centre_list}};
  ctx.AnswerJson(survey.request, 200, FormatJson(body) + "\n");
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
                 FormatJson(nlohmann::ordered_json{{"daemons", list}}) + "\n");
}

}  // namespace buckthorncart
