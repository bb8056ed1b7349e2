#pragma once
/// \file
/// Sends one operator query to several daemons and collects the replies.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Kernel/event.h"
#include "Wire/http.h"

namespace buckthorncart {

class Context;

/// Plug-in that owns a `QueryFanOut`. Part of each query id, so that replies
/// are matched to the plug-in that sent the query.
enum class FanOutUser : uint8_t { kBurnReport = 1, kShow = 2 };

struct DaemonReply {
  uint16_t status = 0;
  std::string body;
};

/// Replies by daemon, and the daemons that did not reply.
struct FanOutResult {
  std::map<Address, DaemonReply> replies;
  std::set<Address> missing;
};

/// Sends a query to daemons, this one included, and collects their replies.
/// A daemon that does not reply within `kReplyTimeout`, or whose connection is
/// lost, is reported in `missing` instead of being omitted.
class QueryFanOut {
 public:
  using Callback = std::function<void(Context&, const FanOutResult&)>;

  explicit QueryFanOut(FanOutUser user) : user_(user) {}

  /// Calls `callback` exactly once, after this function has returned.
  void Start(Context& ctx, const std::vector<Address>& daemons,
             const HttpRequest& request, Callback callback);
  /// The owner must forward every event to this function.
  void Handle(Context& ctx, const Event& event);

 private:
  struct PendingQuery {
    FanOutResult result;
    /// Daemons that may still reply.
    std::set<Address> awaiting;
    Callback callback;
  };

  void HandleReply(Context& ctx, Address from, const OperatorReply& reply);
  void HandleConnectionLost(Context& ctx, Address peer);
  void Finish(Context& ctx, uint64_t id);

  FanOutUser user_;
  std::map<uint64_t, PendingQuery> pending_queries_;
  uint64_t last_id_ = 0;
};

/// This daemon and all members whose status is not `gone`.
std::vector<Address> LiveDaemons(Context& ctx);

}  // namespace buckthorncart
