#include "Plugins/Operators/show_query.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

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

/// VMs listed by a refusal; data centres are listed in full.
constexpr size_t kMaxListedVms = 16;

std::vector<Member> AllMembers(Context& ctx) {
  std::vector<Member> members = {ctx.Shared().self};
  for (const auto& [address, member] : ctx.Shared().members) {
    members.push_back(member);
  }
  return members;
}

bool IsAt(const Member& member, const std::string& place) {
  return member.data_centre == place || member.address.ToString() == place ||
         member.address.IpString() == place;
}

/// Daemons at `place`; those known to be gone only where there is no other.
std::vector<Address> DaemonsAt(const std::vector<Member>& members,
                               const std::string& place) {
  std::vector<Address> live;
  std::vector<Address> gone;
  for (const Member& member : members) {
    if (!IsAt(member, place)) continue;
    const bool is_gone = member.status == MemberStatus::kGone;
    (is_gone ? gone : live).push_back(member.address);
  }
  return live.empty() ? gone : live;
}

Failure UnknownPlace(const std::vector<Member>& members,
                     const std::string& place) {
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
  return {Errc::kUnknownObject, "place " + place, expected,
          "list them: buckthorncart show daemons"};
}

}  // namespace

void ShowQuery::Attach(Context& /*ctx*/) {}

void ShowQuery::Handle(Context& ctx, const Event& event) {
  gather_.Handle(ctx, event);
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
    AskPlace(ctx, request, *show);
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
  ctx.AnswerJson(request, 200, body.dump() + "\n");
}

void ShowQuery::AskPlace(Context& ctx, const OperatorRequested& request,
                         const ShowStatement& show) {
  const std::vector<Member> members = AllMembers(ctx);
  const std::vector<Address> daemons = DaemonsAt(members, show.at);
  if (daemons.empty()) {
    ctx.AnswerFailure(request.request, 404, UnknownPlace(members, show.at));
    return;
  }
  gather_.Begin(ctx, daemons,
                {"POST", "/v1/query?local=yes", {}, request.http.body},
                [id = request.request, place = show.at](
                    Context& later, const GatheredReplies& gathered) {
                  AnswerGathered(later, id, place, gathered);
                });
}

void ShowQuery::AnswerGathered(Context& ctx, uint64_t request,
                               const std::string& place,
                               const GatheredReplies& gathered) {
  nlohmann::ordered_json answers = nlohmann::ordered_json::array();
  std::vector<std::string> missing;
  for (const Address daemon : gathered.missing) {
    missing.push_back(daemon.ToString());
  }
  for (const auto& [daemon, reply] : gathered.replies) {
    auto answer = nlohmann::ordered_json::parse(reply.body, nullptr, false);
    if (answer.is_object() && !answer.contains("error")) {
      answers.push_back(std::move(answer));
    } else {
      missing.push_back(daemon.ToString());
    }
  }
  const nlohmann::ordered_json body = {{"at", place},
                                       {"daemons", std::move(answers)},
                                       {"missing", std::move(missing)}};
  ctx.AnswerJson(request, 200, body.dump() + "\n");
}

}  // namespace buckthorncart
