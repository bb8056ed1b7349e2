#include "Plugins/spreading_policy.h"

#include <algorithm>
#include <map>
#include <string>

#include "Base/digest.h"

namespace buckthorncart {
namespace {

bool IsLive(const Member& member) {
  return member.status != MemberStatus::kGone;
}

uint64_t WeightOf(uint64_t version, Address address) {
  return RendezvousWeight(version, AddressHash{}(address));
}

std::vector<SpreadTarget> Choose(Context& ctx, Address from, uint64_t version,
                                 bool push_near, bool push_far) {
  std::vector<SpreadTarget> targets;
  for (const Address to :
       RandomNeighbours(ctx, from, ctx.Settings().spreading_fanout)) {
    targets.push_back({to, push_near});
  }
  if (!CrossesDataCentres(ctx, from, version)) return targets;
  for (const Address to : RelaysElsewhere(ctx, version)) {
    if (to != from) targets.push_back({to, push_far});
  }
  return targets;
}

}  // namespace

std::vector<Address> RandomNeighbours(Context& ctx, Address except, size_t n) {
  std::vector<Address> neighbours;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (!IsLive(member) || address == except) continue;
    if (member.data_centre != ctx.Settings().data_centre) continue;
    neighbours.push_back(address);
  }
  std::shuffle(neighbours.begin(), neighbours.end(), ctx.Random());
  if (neighbours.size() > n) neighbours.resize(n);
  return neighbours;
}

std::vector<Address> RelaysElsewhere(Context& ctx, uint64_t version) {
  std::map<std::string, Address> relay_of;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (!IsLive(member)) continue;
    if (member.data_centre == ctx.Settings().data_centre) continue;
    Address& relay = relay_of[member.data_centre];
    const bool better =
        !relay.IsSet() || WeightOf(version, address) > WeightOf(version, relay);
    if (better) relay = address;
  }
  std::vector<Address> relays;
  for (const auto& [data_centre, relay] : relay_of) relays.push_back(relay);
  return relays;
}

bool CrossesDataCentres(Context& ctx, Address from, uint64_t /*version*/) {
  return from == ctx.Settings().self;
}

std::vector<SpreadTarget> PushSpreading::Targets(Context& ctx, Address from,
                                                 uint64_t version) const {
  return Choose(ctx, from, version, true, true);
}

std::vector<SpreadTarget> HintSpreading::Targets(Context& ctx, Address from,
                                                 uint64_t version) const {
  return Choose(ctx, from, version, false, false);
}

std::vector<SpreadTarget> MixedSpreading::Targets(Context& ctx, Address from,
                                                  uint64_t version) const {
  return Choose(ctx, from, version, false, true);
}

}  // namespace buckthorncart
