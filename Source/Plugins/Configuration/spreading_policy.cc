#include "Plugins/Configuration/spreading_policy.h"

#include <algorithm>
#include <set>
#include <string>

#include "Base/digest.h"

namespace buckthorncart {
namespace {

bool IsLive(const Member& member) {
  return member.status != MemberStatus::kGone;
}

/// Key of the rendezvous hash that orders the members of a data centre. It is
/// the same for all versions, so that few connections serve all changes.
constexpr uint64_t kTreeKey = 0x74726565;

uint64_t WeightOf(Address address) {
  return RendezvousWeight(kTreeKey, AddressHash{}(address));
}

/// A member of a data centre in the order of the tree.
struct Place {
  uint64_t weight = 0;
  Address address;
  bool alive = true;
};

/// Members of `data_centre` that are not gone, this daemon among them, with
/// the root of the tree first.
std::vector<Place> TreeOrder(Context& ctx, const std::string& data_centre) {
  std::vector<Place> order;
  const auto add = [&](const Member& member) {
    if (!IsLive(member) || member.data_centre != data_centre) return;
    order.push_back({WeightOf(member.address), member.address,
                     member.status == MemberStatus::kAlive});
  };
  add(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) add(member);
  std::sort(order.begin(), order.end(),
            [](const Place& a, const Place& b) { return a.weight > b.weight; });
  return order;
}

/// Appends the children of place `i`, and theirs in place of a child that may
/// be dead.
void AppendChildren(const std::vector<Place>& order, size_t i, size_t fanout,
                    std::vector<Address>& children) {
  for (size_t child = i * fanout + 1;
       child <= (i + 1) * fanout && child < order.size(); ++child) {
    children.push_back(order[child].address);
    if (!order[child].alive) AppendChildren(order, child, fanout, children);
  }
}

std::vector<SpreadTarget> Choose(Context& ctx, Address from, bool push_near,
                                 bool push_far) {
  std::vector<SpreadTarget> targets;
  for (const Address to :
       Neighbours(ctx, from, ctx.Settings().spreading_fanout)) {
    targets.push_back({to, push_near});
  }
  if (from != ctx.Settings().self) return targets;
  for (const Address to : RelaysElsewhere(ctx)) {
    targets.push_back({to, push_far});
  }
  return targets;
}

/// Last place at the top of the tree that a daemon tells which did not learn
/// the version from its parent.
size_t LastOfTop(Context& ctx, const std::vector<Place>& order, size_t place,
                 Address from, size_t fanout) {
  if (from == ctx.Settings().self) return order.front().alive ? 0 : fanout;
  const auto it = ctx.Shared().members.find(from);
  const bool near = it != ctx.Shared().members.end() &&
                    it->second.data_centre == ctx.Settings().data_centre;
  // A neighbour that tells a child of the root has told the others as well.
  return near && place <= fanout ? 0 : fanout;
}

}  // namespace

std::vector<Address> Neighbours(Context& ctx, Address from, size_t fanout) {
  const auto order = TreeOrder(ctx, ctx.Settings().data_centre);
  const auto self =
      std::find_if(order.begin(), order.end(), [&ctx](const Place& place) {
        return place.address == ctx.Settings().self;
      });
  const auto place = static_cast<size_t>(self - order.begin());
  std::vector<Address> neighbours;
  AppendChildren(order, place, fanout, neighbours);
  const bool from_parent =
      place > 0 && order[(place - 1) / fanout].address == from;
  if (place == 0 || from_parent) return neighbours;
  const size_t last = LastOfTop(ctx, order, place, from, fanout);
  for (size_t i = 0; i <= last && i < order.size(); ++i) {
    if (i != place) neighbours.push_back(order[i].address);
  }
  std::sort(neighbours.begin(), neighbours.end());
  const auto end = std::unique(neighbours.begin(), neighbours.end());
  neighbours.erase(end, neighbours.end());
  std::erase(neighbours, from);
  return neighbours;
}

std::vector<Address> RelaysElsewhere(Context& ctx) {
  std::set<std::string> names;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (IsLive(member)) names.insert(member.data_centre);
  }
  names.erase(ctx.Settings().data_centre);
  std::vector<Address> relays;
  for (const std::string& name : names) {
    for (const Place& place : TreeOrder(ctx, name)) {
      relays.push_back(place.address);
      // A root that may be dead is not relied on alone.
      if (place.alive) break;
    }
  }
  return relays;
}

std::vector<SpreadTarget> PushSpreading::Targets(Context& ctx, Address from,
                                                 uint64_t /*version*/) const {
  return Choose(ctx, from, true, true);
}

std::vector<SpreadTarget> HintSpreading::Targets(Context& ctx, Address from,
                                                 uint64_t /*version*/) const {
  return Choose(ctx, from, false, false);
}

std::vector<SpreadTarget> MixedSpreading::Targets(Context& ctx, Address from,
                                                  uint64_t /*version*/) const {
  return Choose(ctx, from, false, true);
}

}  // namespace buckthorncart
