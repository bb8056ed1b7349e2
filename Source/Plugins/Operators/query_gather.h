#pragma once
/// \file
/// One operators' query asked of several daemons.

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

/// Users of `QueryGather`; sets their messages apart.
enum class GatherOwner : uint8_t { kBurnReport = 1, kShow = 2 };

struct GatheredReply {
  uint16_t status = 0;
  std::string body;
};

/// Replies by daemon, and the daemons that gave none.
struct GatheredReplies {
  std::map<Address, GatheredReply> replies;
  std::set<Address> missing;
};

/// Sends a query to daemons, this one included, and collects their replies.
/// A daemon without a reply within `kGatherTimeout` or whose connection is
/// lost is missing, never left out.
class QueryGather {
 public:
  using Done = std::function<void(Context&, const GatheredReplies&)>;

  explicit QueryGather(GatherOwner owner) : owner_(owner) {}

  /// Calls `done` once, later.
  void Begin(Context& ctx, const std::vector<Address>& daemons,
             const HttpRequest& request, Done done);
  /// Every event must be passed on.
  void Handle(Context& ctx, const Event& event);

 private:
  struct Gathering {
    GatheredReplies result;
    /// Daemons that may still answer.
    std::set<Address> pending;
    Done done;
  };

  void NoteReply(Context& ctx, Address from, const OperatorReply& reply);
  void NoteLost(Context& ctx, Address peer);
  void End(Context& ctx, uint64_t id);

  GatherOwner owner_;
  std::map<uint64_t, Gathering> gatherings_;
  uint64_t next_ = 0;
};

/// This daemon and all that are not known to be gone.
std::vector<Address> LiveDaemons(Context& ctx);

}  // namespace buckthorncart
