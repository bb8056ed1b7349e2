#pragma once
/// \file
/// `show` queries about this daemon and about other places.

#include <vector>

#include "Base/address.h"
#include "Config/statement.h"
#include "Kernel/plugin.h"
#include "Plugins/Operators/query_gather.h"

namespace buckthorncart {

/// Serves `/v1/query`. `at VM|data-centre` is asked of the daemons there, so
/// that the answer is what they hold; those that gave none are named.
class ShowQuery : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  static void AnswerLocal(Context& ctx, uint64_t request,
                          const ShowStatement& show);
  void AskPlace(Context& ctx, const OperatorRequested& request,
                const ShowStatement& show);
  static void AnswerGathered(Context& ctx, uint64_t request,
                             const std::string& place,
                             const GatheredReplies& gathered);

  QueryGather gather_{GatherOwner::kShow};
};

}  // namespace buckthorncart
