#pragma once
/// \file
/// `show` queries about this daemon and about daemons at another location.

#include <vector>

#include "Base/address.h"
#include "Config/statement.h"
#include "Kernel/plugin.h"
#include "Plugins/Operators/query_fan_out.h"

namespace buckthorncart {

/// Serves `/v1/query`. A query with `at VM|data-centre` is forwarded to the
/// daemons at that location, so that the answer shows the configuration each of
/// them holds; daemons that did not reply are listed as missing.
class ShowQuery : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  static void AnswerLocal(Context& ctx, uint64_t request,
                          const ShowStatement& show);
  void QueryLocation(Context& ctx, const OperatorRequested& request,
                     const ShowStatement& show);
  static void AnswerFromReplies(Context& ctx, uint64_t request,
                                const std::string& location,
                                const FanOutResult& result);

  QueryFanOut fan_out_{FanOutUser::kShow};
};

}  // namespace buckthorncart
