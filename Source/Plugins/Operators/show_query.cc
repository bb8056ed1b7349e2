#include "Plugins/Operators/show_query.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "Base/json_text.h"
#include "Config/parser.h"
#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"
#include "Plugins/Operators/object_json.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(PluginRank::kOperators,
                                       [](const KernelSettings& /*settings*/) {
                                         return std::make_unique<ShowQuery>();
                                       });

/// Maximum number of VMs listed in the error for an unknown location; data
/// centres are always listed in full.
constexpr size_t kMaxListedVms = 16;

std::vector<Member> AllMembers(Context& ctx) {
  std::vector<Member> members = {ctx.Shared().self};
  for (const auto& [address, member] : ctx.Shared().members) {
    members.push_back(member);
  }
  return members;
}

bool IsAtLocation(const Member& member, const std::string& location) {
  return member.data_centre == location ||
         member.address.ToString() == location ||
         member.address.IpString() == location;
}

/// Daemons at `location`. Daemons with status `gone` are returned only if there
/// are no others.
std::vector<Address> DaemonsAtLocation(const std::vector<Member>& members,
                                       const std::string& location) {
  std::vector<Address> live;
  std::vector<Address> gone;
  for (const Member& member : members) {
    if (!IsAtLocation(member, location)) continue;
    const bool is_gone = member.status == MemberStatus::kGone;
    (is_gone ? gone : live).push_back(member.address);
  }
  return live.empty() ? gone : live;
}

Failure UnknownLocation(const std::vector<Member>& members,
                        const std::string& location) {
  std::set<std::string> data_centres;
  std::vector<std::string> vms;
  for (const Member& member : members) {
    data_centres.insert(member.data_centre);
    if (vms.size() < kMaxListedVms) vms.push_back(member.address.IpString());
  }
  std::string expected;
  for (const std::string& name : data_centres) {
    expected += (expected.empty() ? "" : " | ") + name;
  }
  for (const std::string& name : vms) expected += " | " + name;
  if (vms.size() < members.size()) expected += " | …";
  return {Errc::kUnknownObject, "place " + location, expected,
          "list them: buckthorncart show daemons"};
}

}  // namespace

void ShowQuery::Attach(Context& /*ctx*/) {}

void ShowQuery::Handle(Context& ctx, const Event& event) {
  fan_out_.Handle(ctx, event);
}

bool ShowQuery::HandleOperator(Context& ctx, const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path != "/v1/query") return false;
  const auto statement = ParseStatement(request.http.body);
  if (!statement) {
    ctx.AnswerFailure(request.request, 400, statement.error());
    return true;
  }
  const auto* show = std::get_if<ShowStatement>(&*statement);
  if (show == nullptr) {
    ctx.AnswerFailure(
        request.request, 400,
        {Errc::kSyntax, "statement", "show", "send changes to /v1/changes"});
    return true;
  }
  if (const auto checked = CheckConditions(*show); !checked) {
    ctx.AnswerFailure(request.request, 400, checked.error());
  } else if (show->at.empty() || url.Get("local") == "yes") {
    AnswerLocal(ctx, request.request, *show);
  } else {
    QueryLocation(ctx, request, *show);
  }
  return true;
}

void ShowQuery::AnswerLocal(Context& ctx, uint64_t request,
                            const ShowStatement& show) {
  const Snapshot& held = *ctx.Shared().held;
  nlohmann::ordered_json body = {{"daemon", ctx.Settings().self.ToString()},
                                 {"version", held.version},
                                 {"ready", ctx.Shared().ready}};
  body[std::string(NameOf(show.subject))] =
      show.subject == ShowSubject::kDaemons
          ? ListMembers(AllMembers(ctx), show)
          : ListObjects(held.configuration, show);
  ctx.AnswerJson(request, 200, FormatJson(body) + "\n");
}

void ShowQuery::QueryLocation(Context& ctx, const OperatorRequested& request,
                              const ShowStatement& show) {
  const std::vector<Member> members = AllMembers(ctx);
  const std::vector<Address> daemons = DaemonsAtLocation(members, show.at);
  if (daemons.empty()) {
    ctx.AnswerFailure(request.request, 404, UnknownLocation(members, show.at));
    return;
  }
  fan_out_.Start(ctx, daemons,
                 {"POST", "/v1/query?local=yes", {}, request.http.body},
                 [id = request.request, location = show.at](
                     Context& callback_ctx, const FanOutResult& result) {
                   AnswerFromReplies(callback_ctx, id, location, result);
                 });
}

void ShowQuery::AnswerFromReplies(Context& ctx, uint64_t request,
                                  const std::string& location,
                                  const FanOutResult& result) {
  nlohmann::ordered_json answers = nlohmann::ordered_json::array();
  std::vector<std::string> missing;
  for (const Address daemon : result.missing) {
    missing.push_back(daemon.ToString());
  }
  for (const auto& [daemon, reply] : result.replies) {
    auto answer = ParseJson<nlohmann::ordered_json>(reply.body);
    if (answer.is_object() && !answer.contains("error")) {
      answers.push_back(std::move(answer));
    } else {
      missing.push_back(daemon.ToString());
    }
  }
  const nlohmann::ordered_json body = {{"at", location},
                                       {"daemons", std::move(answers)},
                                       {"missing", std::move(missing)}};
  ctx.AnswerJson(request, 200, FormatJson(body) + "\n");
}

}  // namespace buckthorncart
