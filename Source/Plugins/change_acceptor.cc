#include "Plugins/change_acceptor.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "Base/digest.h"
#include "Config/parser.h"
#include "Config/value_parsers.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kAcceptance, [](const KernelSettings& /*settings*/) {
      return std::make_unique<ChangeAcceptor>();
    });

constexpr size_t kMaxWaiting = 64;
constexpr size_t kWantedHolders = 2;
constexpr Duration kSettleInterval = 500ms;
constexpr std::string_view kOperationsPath = "/v1/operations/";

uint16_t StatusOf(Errc code) {
  switch (code) {
    case Errc::kSyntax:
      return 400;
    case Errc::kTooLarge:
      return 413;
    case Errc::kConflict:
    case Errc::kOperationIdReused:
    case Errc::kDuplicateObject:
    case Errc::kServiceInUse:
      return 409;
    case Errc::kPlatformUnavailable:
    case Errc::kPlatformAnswerLost:
    case Errc::kNotReady:
    case Errc::kDraining:
    case Errc::kQueueFull:
      return 503;
    default:
      return 422;
  }
}

nlohmann::ordered_json RefusedJson(const std::string& id,
                                   const Failure& failure) {
  return {{"result", "refused"},           {"operation", id},
          {"error", NameOf(failure.code)}, {"subject", failure.subject},
          {"expected", failure.expected},  {"advice", failure.advice}};
}

/// The objects that `edits` name and the services that they refer to.
std::set<std::string> ObjectsOf(const std::vector<Edit>& edits) {
  std::set<std::string> objects;
  for (const Edit& edit : edits) objects.insert(edit.ObjectName());
  return objects;
}

}  // namespace

void ChangeAcceptor::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void ChangeAcceptor::Handle(Context& ctx, const Event& event) {
  if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    const auto it = questions_.find(replied->tag);
    if (it != questions_.end()) {
      const Question question = it->second;
      questions_.erase(it);
      HandleAnswer(ctx, question, replied->reply);
    } else if (current_ && current_->tag == replied->tag) {
      current_->tag.reset();
      HandleReply(ctx, replied->reply);
    }
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* adopted = std::get_if<ConfigurationAdopted>(&event)) {
    HandleAdopted(ctx, adopted->version);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* held = std::get_if<VersionHeld>(&message->message)) {
      HandleHeld(ctx, message->from, held->version);
    }
  }
}

bool ChangeAcceptor::HandleOperator(Context& ctx,
                                    const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path == "/v1/changes" && request.http.method == "POST") {
    Submit(ctx, request);
    return true;
  }
  if (!url.path.starts_with(kOperationsPath)) return false;
  const std::string id = url.path.substr(kOperationsPath.size());
  Ask(ctx, request, id, url.Get("settle") == "yes");
  return true;
}

void ChangeAcceptor::Submit(Context& ctx, const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  Operation operation;
  operation.number = ++next_number_;
  operation.request = request.request;
  operation.id = std::string(url.Get("operation"));
  operation.since = ctx.Now();
  operation.base = ctx.Shared().held->version;
  operation.own_id = !operation.id.empty();
  if (!operation.own_id) {
    operation.id = ctx.Settings().self.ToString() + "-" +
                   std::to_string(ctx.Shared().self.incarnation) + "-" +
                   std::to_string(operation.number);
    std::replace(operation.id.begin(), operation.id.end(), ':', '-');
  }
  const auto refuse = [&](const Failure& failure) {
    counters_.Add(AcceptanceCounter::kRefused);
    ctx.AnswerJson(request.request, StatusOf(failure.code),
                   RefusedJson(operation.id, failure).dump() + "\n");
  };
  if (!IsName(operation.id)) {
    refuse({Errc::kInvalidValue, "operation " + operation.id,
            "1 to 64 of a-z A-Z 0-9 - _ .", "choose another operation id"});
    return;
  }
  if (!ctx.Shared().ready) {
    refuse({Errc::kNotReady, "daemon " + ctx.Settings().self.ToString(),
            "a daemon that holds the current configuration",
            "ask another daemon or try again"});
    return;
  }
  auto statement = ParseStatement(request.http.body);
  if (!statement) {
    refuse(statement.error());
    return;
  }
  auto* change = std::get_if<ChangeStatement>(&*statement);
  if (change == nullptr) {
    refuse({Errc::kSyntax, "show", "create | change | delete",
            "use /v1/query for show"});
    return;
  }
  const std::string_view base = url.Get("base");
  if (!base.empty()) {
    operation.base = std::strtoull(std::string(base).c_str(), nullptr, 10);
  }
  if (url.Get("dry-run") == "yes") {
    const auto result =
        ApplyEdits(ctx.Shared().held->configuration, change->edits);
    if (!result) {
      refuse(result.error());
      return;
    }
    const nlohmann::ordered_json body = {{"result", "would-accept"},
                                         {"base", ctx.Shared().held->version},
                                         {"edits", change->edits.size()}};
    ctx.AnswerJson(request.request, 200, body.dump() + "\n");
    return;
  }
  if (waiting_.size() >= kMaxWaiting) {
    refuse({Errc::kQueueFull, "changes",
            std::to_string(kMaxWaiting) + " waiting at most",
            "try again or ask another daemon"});
    return;
  }
  operation.edits = std::move(change->edits);
  operation.edits_digest = DigestOf(Encode(operation.edits));
  waiting_.push_back(std::move(operation));
  StartNext(ctx);
}

void ChangeAcceptor::StartNext(Context& ctx) {
  if (current_ || waiting_.empty()) return;
  current_ = std::move(waiting_.front());
  waiting_.pop_front();
  ctx.SetTimerIn(std::chrono::milliseconds(ctx.Settings().decision_timeout_ms),
                 TimerKind::kAcceptance, current_->number);
  Transact(ctx);
}

void ChangeAcceptor::Transact(Context& ctx) {
  Operation& operation = *current_;
  if (auto conflict = FindConflict(ctx)) {
    RefuseUnlessKnown(ctx, *conflict);
    return;
  }
  const Snapshot& held = *ctx.Shared().held;
  auto result = ApplyEdits(held.configuration, operation.edits);
  if (!result) {
    RefuseUnlessKnown(ctx, result.error());
    return;
  }
  const HeadRow head{held.version, held.digest};
  const HeadRow next{held.version + 1, result->Digest()};
  operation.change = {next.version, operation.id, operation.edits, next.digest,
                      ctx.WallMilliseconds()};
  Transaction transaction;
  const bool first = held.version == 0;
  transaction.conditions = {
      {kHeadKey, first ? std::nullopt : std::optional(Encode(head))},
      {OperationKey(operation.id), std::nullopt}};
  transaction.writes = {
      {kHeadKey, Encode(next)},
      {ChangeKey(next.version), Encode(operation.change)},
      {OperationKey(operation.id),
       Encode(OperationRow{next.version, operation.edits_digest})}};
  operation.phase = Phase::kTransact;
  operation.tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(transaction));
  if (operation.tag) return;
  AnswerRefused(ctx, {Errc::kQueueFull, "requests to the platform",
                      "room in the queue", "try again"});
}

std::optional<Failure> ChangeAcceptor::FindConflict(Context& ctx) const {
  const uint64_t held = ctx.Shared().held->version;
  if (current_->base >= held) return std::nullopt;
  const auto conflict = [](const std::string& subject, uint64_t version,
                           const std::string& operation) {
    return Failure{Errc::kConflict,
                   subject + " changed by version " + std::to_string(version) +
                       (operation.empty() ? "" : " by operation " + operation),
                   "objects that are unchanged since the base version",
                   "look at the new version and apply again"};
  };
  const std::set<std::string> objects = ObjectsOf(current_->edits);
  uint64_t seen = 0;
  for (const Change& change : *ctx.Shared().kept_changes) {
    if (change.version <= current_->base) continue;
    ++seen;
    for (const Edit& edit : change.edits) {
      if (!objects.contains(edit.ObjectName())) continue;
      return conflict(edit.ObjectName(), change.version, change.operation_id);
    }
  }
  // Changes that are no longer kept could have touched anything.
  if (seen != held - current_->base) return conflict("configuration", held, "");
  return std::nullopt;
}

void ChangeAcceptor::HandleReply(Context& ctx, const PlatformReply& reply) {
  switch (current_->phase) {
    case Phase::kTransact:
      HandleTransacted(ctx, reply);
      break;
    case Phase::kSettle:
      HandleSettled(ctx, reply);
      break;
    case Phase::kLookUp:
      HandleLookedUp(ctx, reply);
      break;
    case Phase::kCatchUp:
    case Phase::kHolders:
      break;
  }
}

void ChangeAcceptor::RefuseUnlessKnown(Context& ctx, const Failure& failure) {
  if (!current_->own_id) {
    AnswerRefused(ctx, failure);
    return;
  }
  current_->phase = Phase::kLookUp;
  current_->refusal = failure;
  current_->tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, ReadRows{{OperationKey(current_->id)}});
  if (!current_->tag) AnswerUndecided(ctx);
}

void ChangeAcceptor::HandleLookedUp(Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    AnswerUndecided(ctx);
    return;
  }
  const auto row = reply.rows.find(OperationKey(current_->id));
  if (row == reply.rows.end()) {
    AnswerRefused(ctx, current_->refusal);
    return;
  }
  HandleOperationRow(ctx, row->second);
}

void ChangeAcceptor::HandleTransacted(Context& ctx,
                                      const PlatformReply& reply) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      BeginHolders(ctx);
      break;
    case PlatformStatus::kConditionFailed:
      HandleConditionFailed(ctx, reply);
      break;
    case PlatformStatus::kUnavailable:
      AnswerRefused(ctx, {Errc::kPlatformUnavailable, "platform",
                          "an available table service",
                          "nothing was changed; apply again later"});
      break;
    case PlatformStatus::kUnknown:
      counters_.Add(AcceptanceCounter::kAnswersLost);
      Settle(ctx);
      break;
  }
}

void ChangeAcceptor::HandleConditionFailed(Context& ctx,
                                           const PlatformReply& reply) {
  const auto row = reply.rows.find(OperationKey(current_->id));
  if (row != reply.rows.end()) {
    HandleOperationRow(ctx, row->second);
    return;
  }
  const auto head = reply.rows.find(kHeadKey);
  if (head == reply.rows.end()) {
    AnswerRefused(ctx, {Errc::kInvalidConfiguration, "row head",
                        "a head row on the platform",
                        "check that the platform kept its data"});
    return;
  }
  const auto decoded = Decode<HeadRow>(head->second);
  counters_.Add(AcceptanceCounter::kRebased);
  current_->phase = Phase::kCatchUp;
  current_->awaited_version = decoded ? decoded->version : 0;
  ctx.Raise(HeadObserved{head->second});
  HandleAdopted(ctx, ctx.Shared().held->version);
}

void ChangeAcceptor::HandleOperationRow(Context& ctx, const std::string& row) {
  const auto outcome = Decode<OperationRow>(row);
  const std::string subject = "operation " + current_->id;
  if (!outcome || outcome->edits_digest != current_->edits_digest) {
    AnswerRefused(ctx, {Errc::kOperationIdReused, subject,
                        "an id that no other change has used",
                        "choose another operation id"});
    return;
  }
  if (outcome->version == 0) {
    AnswerRefused(ctx, {Errc::kPlatformAnswerLost, subject,
                        "an operation that has not been withdrawn",
                        "nothing was changed; apply with a new operation id"});
    return;
  }
  current_->change.version = outcome->version;
  ctx.Raise(HeadObserved{Encode(HeadRow{outcome->version, 0})});
  BeginHolders(ctx);
}

void ChangeAcceptor::Settle(Context& ctx) {
  current_->phase = Phase::kSettle;
  const std::string key = OperationKey(current_->id);
  current_->tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator,
      Transaction{{{key, std::nullopt}},
                  {{key, Encode(OperationRow{0, current_->edits_digest})}}});
}

void ChangeAcceptor::HandleSettled(Context& ctx, const PlatformReply& reply) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      AnswerRefused(ctx, {Errc::kPlatformAnswerLost, "platform",
                          "an answer to the transaction",
                          "nothing was changed; apply again"});
      break;
    case PlatformStatus::kConditionFailed:
      HandleConditionFailed(ctx, reply);
      break;
    case PlatformStatus::kUnavailable:
    case PlatformStatus::kUnknown:
      ctx.SetTimerIn(kSettleInterval, TimerKind::kAcceptanceRetry,
                     current_->number);
      break;
  }
}

void ChangeAcceptor::HandleTimer(Context& ctx, const TimerFired& timer) {
  if (!current_ || timer.argument != current_->number) return;
  if (timer.kind == TimerKind::kAcceptance) {
    if (current_->phase != Phase::kHolders) AnswerUndecided(ctx);
  } else if (timer.kind == TimerKind::kAcceptanceRetry) {
    if (current_->phase == Phase::kSettle && !current_->tag) Settle(ctx);
  } else if (timer.kind == TimerKind::kHoldersTimeout) {
    if (current_->phase == Phase::kHolders) AnswerAccepted(ctx);
  }
}

void ChangeAcceptor::HandleAdopted(Context& ctx, uint64_t version) {
  if (!current_ || current_->phase != Phase::kCatchUp) return;
  if (version >= current_->awaited_version) Transact(ctx);
}

void ChangeAcceptor::BeginHolders(Context& ctx) {
  current_->phase = Phase::kHolders;
  if (current_->change.digest != 0) {
    ctx.Raise(PeerMessageReceived{ctx.Settings().self,
                                  PushChanges{{current_->change}}});
  }
  ctx.SetTimerIn(std::chrono::milliseconds(ctx.Settings().holders_timeout_ms),
                 TimerKind::kHoldersTimeout, current_->number);
  if (OtherDataCentres(ctx).empty()) AnswerAccepted(ctx);
}

void ChangeAcceptor::HandleHeld(Context& ctx, Address from, uint64_t version) {
  if (!current_ || current_->phase != Phase::kHolders) return;
  if (version < current_->change.version) return;
  const auto it = ctx.Shared().members.find(from);
  if (it == ctx.Shared().members.end()) return;
  if (it->second.data_centre == ctx.Settings().data_centre) return;
  current_->holders.insert(it->second.data_centre);
  const size_t wanted = std::min(kWantedHolders, OtherDataCentres(ctx).size());
  if (current_->holders.size() >= wanted) AnswerAccepted(ctx);
}

std::set<std::string> ChangeAcceptor::OtherDataCentres(Context& ctx) const {
  std::set<std::string> names;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone) continue;
    names.insert(member.data_centre);
  }
  names.erase(ctx.Settings().data_centre);
  return names;
}

void ChangeAcceptor::AnswerAccepted(Context& ctx) {
  counters_.Add(AcceptanceCounter::kAccepted);
  std::set<std::string> missing = OtherDataCentres(ctx);
  for (const std::string& holder : current_->holders) missing.erase(holder);
  const bool enough = current_->holders.size() >= kWantedHolders;
  nlohmann::ordered_json body = {{"result", "accepted"},
                                 {"operation", current_->id},
                                 {"version", current_->change.version},
                                 {"holders", current_->holders}};
  if (!enough && !missing.empty()) body["missing"] = missing;
  ctx.AnswerJson(current_->request, 200, body.dump() + "\n");
  Finish(ctx);
}

void ChangeAcceptor::AnswerRefused(Context& ctx, const Failure& failure) {
  counters_.Add(AcceptanceCounter::kRefused);
  ctx.AnswerJson(current_->request, StatusOf(failure.code),
                 RefusedJson(current_->id, failure).dump() + "\n");
  Finish(ctx);
}

void ChangeAcceptor::AnswerUndecided(Context& ctx) {
  counters_.Add(AcceptanceCounter::kUndecided);
  const nlohmann::ordered_json body = {
      {"result", "undecided"},
      {"operation", current_->id},
      {"advice", "buckthorncart operation " + current_->id + " --settle"}};
  ctx.AnswerJson(current_->request, 202, body.dump() + "\n");
  Finish(ctx);
}

void ChangeAcceptor::Finish(Context& ctx) {
  current_.reset();
  StartNext(ctx);
}

void ChangeAcceptor::Ask(Context& ctx, const OperatorRequested& request,
                         const std::string& id, bool settle) {
  const std::string key = OperationKey(id);
  PlatformRequest question = ReadRows{{key}};
  if (settle) {
    question =
        Transaction{{{key, std::nullopt}}, {{key, Encode(OperationRow{0, 0})}}};
  }
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(question));
  if (tag) {
    questions_[*tag] = {request.request, id, settle};
    return;
  }
  ctx.AnswerFailure(request.request, StatusOf(Errc::kQueueFull),
                    {Errc::kQueueFull, "requests to the platform",
                     "room in the queue", "try again"});
}

void ChangeAcceptor::HandleAnswer(Context& ctx, const Question& question,
                                  const PlatformReply& reply) {
  const auto row = reply.rows.find(OperationKey(question.id));
  nlohmann::ordered_json body = {{"operation", question.id}};
  if (row != reply.rows.end()) {
    const auto outcome = Decode<OperationRow>(row->second);
    const uint64_t version = outcome ? outcome->version : 0;
    body["result"] = version == 0 ? "withdrawn" : "accepted";
    if (version != 0) body["version"] = version;
    ctx.AnswerJson(question.request, 200, body.dump() + "\n");
    return;
  }
  if (reply.status != PlatformStatus::kOk) {
    ctx.AnswerFailure(question.request, StatusOf(Errc::kPlatformUnavailable),
                      {Errc::kPlatformUnavailable, "operation " + question.id,
                       "an available table service", "ask again later"});
    return;
  }
  if (question.settle) {
    body["result"] = "withdrawn";
    ctx.AnswerJson(question.request, 200, body.dump() + "\n");
    return;
  }
  ctx.AnswerFailure(question.request, 404,
                    {Errc::kUnknownOperation, "operation " + question.id,
                     "the id of an accepted operation",
                     "add --settle to withdraw it for good"});
}

}  // namespace buckthorncart
