#include "Plugins/Configuration/spreading_policy.h"

#include <algorithm>
#include <set>
#include <string>

#include "Base/digest.h"
#include "Plugins/Configuration/spreading_tree.h"

namespace buckthorncart {
namespace {

bool IsLive(const Member& member) {
  return member.status != MemberStatus::kGone;
}

/// Key of the rendezvous hash that orders the members of a data centre. It is
/// the same for all versions, so that few connections carry all changes.
constexpr uint64_t kTreeKey = 0x74726565;

uint64_t TreeWeight(Address address) {
  return RendezvousWeight(kTreeKey, AddressHash{}(address));
}

/// Returns the members of `data_centre` that are not gone, including this
/// daemon if it is in that data centre. The root of the tree comes first.
std::vector<TreeNode> TreeOrder(Context& ctx, const std::string& data_centre) {
  std::vector<TreeNode> order;
  const auto add = [&](const Member& member) {
    if (!IsLive(member) || member.data_centre != data_centre) return;
    order.push_back({TreeWeight(member.address), member.address,
                     member.status == MemberStatus::kAlive});
  };
  add(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) add(member);
  std::sort(
      order.begin(), order.end(),
      [](const TreeNode& a, const TreeNode& b) { return a.weight > b.weight; });
  return order;
}

std::vector<SpreadTarget> ChooseTargets(Context& ctx, Address from,
                                        bool push_to_local,
                                        bool push_to_remote) {
  std::vector<SpreadTarget> targets;
  for (const Address to :
       Neighbours(ctx, from, ctx.Settings().spreading_fanout)) {
    targets.push_back({to, push_to_local});
  }
  if (from != ctx.Settings().self) return targets;
  for (const Address to : RemoteRelays(ctx)) {
    targets.push_back({to, push_to_remote});
  }
  return targets;
}

/// Returns the index of the last node at the top of the tree that this daemon
/// notifies if it didn't receive the version from its parent.
size_t LastTopIndex(Context& ctx, const std::vector<TreeNode>& order,
                    size_t index, Address from, size_t fanout) {
  if (from == ctx.Settings().self) return order.front().alive ? 0 : fanout;
  const auto it = ctx.Shared().members.find(from);
  const bool same_data_centre =
      it != ctx.Shared().members.end() &&
      it->second.data_centre == ctx.Settings().data_centre;
  // A sender in the same data centre that notifies a child of the root has
  // notified the root's other children as well.
  return same_data_centre && index <= fanout ? 0 : fanout;
}

}  // namespace

std::vector<Address> Neighbours(Context& ctx, Address from, size_t fanout) {
  const auto order = TreeOrder(ctx, ctx.Settings().data_centre);
  const auto self =
      std::find_if(order.begin(), order.end(), [&ctx](const TreeNode& node) {
        return node.address == ctx.Settings().self;
      });
  const auto index = static_cast<size_t>(self - order.begin());
  std::vector<Address> neighbours;
  AppendChildren(order, index, fanout, neighbours);
  const bool from_parent =
      index > 0 && order[(index - 1) / fanout].address == from;
  if (index == 0 || from_parent) return neighbours;
  const size_t last = LastTopIndex(ctx, order, index, from, fanout);
  for (size_t i = 0; i <= last && i < order.size(); ++i) {
    if (i != index) neighbours.push_back(order[i].address);
  }
  std::sort(neighbours.begin(), neighbours.end());
  const auto end = std::unique(neighbours.begin(), neighbours.end());
  neighbours.erase(end, neighbours.end());
  std::erase(neighbours, from);
  return neighbours;
}

std::vector<Address> RemoteRelays(Context& ctx) {
  std::set<std::string> names;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (IsLive(member)) names.insert(member.data_centre);
  }
  names.erase(ctx.Settings().data_centre);
  std::vector<Address> relays;
  for (const std::string& name : names) {
    for (const TreeNode& node : TreeOrder(ctx, name)) {
      relays.push_back(node.address);
      // If the root may be dead, the next member is notified as well.
      if (node.alive) break;
    }
  }
  return relays;
}

std::vector<SpreadTarget> PushSpreading::Targets(Context& ctx, Address from,
                                                 uint64_t /*version*/) const {
  return ChooseTargets(ctx, from, true, true);
}

std::vector<SpreadTarget> HintSpreading::Targets(Context& ctx, Address from,
                                                 uint64_t /*version*/) const {
  return ChooseTargets(ctx, from, false, false);
}

std::vector<SpreadTarget> MixedSpreading::Targets(Context& ctx, Address from,
                                                  uint64_t /*version*/) const {
  return ChooseTargets(ctx, from, false, true);
}

}  // namespace buckthorncart
