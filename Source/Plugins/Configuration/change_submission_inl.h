#pragma once
/// \file
/// Definitions of `ChangeAcceptor` that parse and queue operations; include
/// change_acceptor.h.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "Base/digest.h"
#include "Base/json_text.h"
#include "Config/parser.h"
#include "Config/value_parsers.h"
#include "Kernel/context.h"
#include "Kernel/url_query.h"
#include "Plugins/Configuration/change_acceptor.h"
#include "Plugins/Configuration/operation_answers.h"
#include "Wire/codec.h"

namespace buckthorncart {

inline constexpr size_t kMaxQueuedOperations = 64;

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Submit(Context& ctx,
                                   const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  Operation operation = NewOperation(ctx, request, url);
  const auto failure = ParseAndCheck(ctx, request, url, operation);
  if (failure) {
    counters_.Add(AcceptanceCounter::kRefused);
    ctx.AnswerJson(request.request, OperationStatus(failure->code),
                   FormatJson(RefusedJson(operation.id, *failure)) + "\n");
    return;
  }
  const Duration timeout =
      std::chrono::milliseconds(ctx.Settings().decision_timeout_ms);
  operation.deadline = ctx.Now() + timeout;
  ctx.SetTimerIn(timeout, TimerKind::kAcceptance, operation.number);
  queue_.push_back(std::move(operation));
  StartNext(ctx);
}

template <AcceptanceRules Rules>
typename ChangeAcceptor<Rules>::Operation ChangeAcceptor<Rules>::NewOperation(
    Context& ctx, const OperatorRequested& request, const Url& url) {
  Operation operation;
  operation.number = ++next_number_;
  operation.request = request.request;
  operation.id = std::string(url.Get("operation"));
  operation.base = ctx.Shared().held->version;
  operation.has_client_id = !operation.id.empty();
  if (operation.has_client_id) return operation;
  operation.id = ctx.Settings().self.ToString() + "-" +
                 std::to_string(ctx.Shared().self.incarnation) + "-" +
                 std::to_string(operation.number);
  std::replace(operation.id.begin(), operation.id.end(), ':', '-');
  return operation;
}

template <AcceptanceRules Rules>
std::optional<Failure> ChangeAcceptor<Rules>::ParseAndCheck(
    Context& ctx, const OperatorRequested& request, const Url& url,
    Operation& operation) {
  if (!IsName(operation.id)) {
    return Failure{Errc::kInvalidValue, "operation " + operation.id,
                   "1 to 64 of a-z A-Z 0-9 - _ .",
                   "choose another operation id"};
  }
  if (url.query.contains("dry-run")) {
    return Failure{Errc::kInvalidValue, "dry-run", "POST /v1/preview",
                   "send the statements there; nothing was changed"};
  }
  if (Rules::kRequireReady && !ctx.Shared().ready) {
    return Failure{Errc::kNotReady, "daemon " + ctx.Settings().self.ToString(),
                   "a daemon that holds the current configuration",
                   "use another daemon or try again"};
  }
  auto statement = ParseStatement(request.http.body);
  if (!statement) return statement.error();
  auto* change = std::get_if<ChangeStatement>(&*statement);
  if (change == nullptr) {
    return Failure{Errc::kSyntax, "show", "create | change | delete",
                   "use /v1/query for show"};
  }
  operation.edits = std::move(change->edits);
  operation.edits_digest = DigestOf(Encode(operation.edits));
  if (auto failure = ParseBase(ctx, url, operation)) return failure;
  if (queue_.size() < kMaxQueuedOperations) return std::nullopt;
  return Failure{
      Errc::kQueueFull, "changes",
      std::to_string(kMaxQueuedOperations) + " or fewer in the queue",
      "try again or use another daemon"};
}

template <AcceptanceRules Rules>
std::optional<Failure> ChangeAcceptor<Rules>::ParseBase(Context& ctx,
                                                        const Url& url,
                                                        Operation& operation) {
  const std::string_view text = url.Get("base");
  if (text.empty()) return std::nullopt;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, operation.base);
  if (ec != std::errc() || stop != end) {
    return Failure{Errc::kInvalidValue, "base " + std::string(text),
                   "a version number", "correct the base"};
  }
  const uint64_t held = ctx.Shared().held->version;
  if (operation.base <= held) return std::nullopt;
  return Failure{
      Errc::kVersionNotReached, "base " + std::string(text),
      "a version up to " + std::to_string(held) + ", which this daemon holds",
      "correct the base, try again or use another daemon"};
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::StartNext(Context& ctx) {
  if (current_) return;
  while (!queue_.empty() && queue_.front().deadline <= ctx.Now()) {
    Expire(ctx, queue_.front().number);
  }
  if (queue_.empty()) return;
  if (Rules::kRequireReady && !ctx.Shared().ready) return;
  current_ = std::move(queue_.front());
  queue_.pop_front();
  Transact(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Expire(Context& ctx, uint64_t number) {
  const auto it = std::find_if(
      queue_.begin(), queue_.end(),
      [number](const Operation& waiting) { return waiting.number == number; });
  if (it == queue_.end()) return;
  const Operation operation = std::move(*it);
  queue_.erase(it);
  if (operation.has_client_id) {
    // Another daemon may have accepted an earlier submission of this id.
    counters_.Add(AcceptanceCounter::kUndecided);
    ctx.AnswerJson(operation.request, 202,
                   FormatJson(UndecidedJson(operation.id)) + "\n");
    return;
  }
  counters_.Add(AcceptanceCounter::kRefused);
  const Failure failure{Errc::kTimeout, "operation " + operation.id,
                        "processing to start within the decision timeout",
                        "nothing was changed; apply again"};
  ctx.AnswerJson(operation.request, OperationStatus(failure.code),
                 FormatJson(RefusedJson(operation.id, failure)) + "\n");
}

}  // namespace buckthorncart
