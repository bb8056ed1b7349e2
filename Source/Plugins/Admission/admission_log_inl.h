#pragma once
/// \file
/// Log records of `Admission`; included by admission.h.

#include <string>

#include "Kernel/context.h"
#include "Plugins/Admission/admission.h"

namespace buckthorncart {

template <RequestRules Rules>
void Admission<Rules>::LogRefusal(Context& ctx, Address from, const Call& call,
                                  Errc reason, Duration wait) {
  const Duration age = ctx.Now() - last_announcement_;
  ctx.Log(LogTopic::kCallRefused,
          {{"id",
            std::string(FindHeader(call.request.headers, header::kRequestId))},
           {"route", call.route},
           {"from", from.ToString()},
           {"reason", std::string(NameOf(reason))},
           {"wait_ms", std::to_string(ToMilliseconds(wait))},
           {"max_wait_ms", std::to_string(call.max_wait_ms)},
           {"target_ms", std::to_string(call.target_ms)},
           {"left_ms", std::to_string(call.remaining_ms)},
           {"slots",
            std::to_string(slots_in_use_) + "/" + std::to_string(Slots(ctx))},
           {"queue", std::to_string(queue_.Size())},
           {"backend", std::string(NameOf(backend_.state))},
           {"backend_age_ms", std::to_string(ToMilliseconds(age))}});
}

template <RequestRules Rules>
void Admission<Rules>::LogFailedRun(Context& ctx, const Run& run,
                                    std::string_view fault, uint16_t status) {
  ctx.Log(
      LogTopic::kRunFailed,
      {{"id",
        std::string(FindHeader(run.call.request.headers, header::kRequestId))},
       {"route", run.call.route},
       {"from", run.key.first.ToString()},
       {"fault", std::string(fault)},
       {"status", std::to_string(status)},
       {"waited_ms",
        std::to_string(ToMilliseconds(run.started_at - run.queued_at))},
       {"ran_ms", std::to_string(ToMilliseconds(ctx.Now() - run.started_at))},
       {"backend_id", backend_.id},
       {"backend", std::string(NameOf(backend_.state))}});
}

}  // namespace buckthorncart
