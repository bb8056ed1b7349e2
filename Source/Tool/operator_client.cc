#include "Tool/operator_client.h"

#include <optional>

#include "Net/http_client.h"
#include "Net/loop.h"

namespace buckthorncart {
namespace {

constexpr int kFdLimit = 64;

struct Attempt {
  OperatorAnswer answer;
  BackendFault fault = BackendFault::kNone;
  bool ended = false;
};

Attempt FetchFrom(Address daemon, const HttpRequest& request,
                  Duration timeout) {
  Loop loop(kFdLimit);
  Attempt attempt;
  attempt.answer.daemon = daemon;
  HttpClient client(
      loop, [&](uint64_t /*id*/, const AnswerPart& part, BackendFault fault) {
        if (part.IsHead()) attempt.answer.status = part.status;
        attempt.answer.body += part.body;
        if (part.end == AnswerEnd::kMore) return;
        attempt.fault = fault;
        attempt.ended = true;
        loop.Stop();
      });
  if (!client.Open("operator")) {
    loop.Close();
    attempt.fault = BackendFault::kNotConnected;
    return attempt;
  }
  loop.RunIn(timeout, [&loop] { loop.Stop(); });
  client.Send(1, daemon, request);
  if (attempt.ended) {
    loop.Close();
  } else {
    loop.Run();
  }
  return attempt;
}

}  // namespace

Result<OperatorAnswer> OperatorClient::Fetch(const HttpRequest& request) const {
  std::string tried;
  for (const Address daemon : daemons_) {
    Attempt attempt = FetchFrom(daemon, request, timeout_);
    if (!attempt.ended || attempt.fault == BackendFault::kConnectionBroken) {
      return Fail(Errc::kTimeout, "daemon " + daemon.ToString(),
                  "an answer within " +
                      std::to_string(ToMilliseconds(timeout_)) + " ms",
                  "retry; a change may have been accepted");
    }
    if (attempt.fault == BackendFault::kNone) return attempt.answer;
    tried += (tried.empty() ? "" : ", ") + daemon.ToString();
  }
  return Fail(Errc::kDaemonUnreachable, tried,
              "the operators' address of a running daemon",
              "correct --daemon or start the daemon");
}

}  // namespace buckthorncart
