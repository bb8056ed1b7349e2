#include "Plugins/Configuration/freshness_receivers.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "Kernel/context.h"
#include "Plugins/Configuration/spreading_tree.h"

namespace buckthorncart {
namespace {

/// Large enough that most daemons have no children, and small enough for the
/// links of those that have.
constexpr size_t kFanout = 8;

/// Returns the daemons of this data centre, `root` first and the others in the
/// order of their addresses.
std::vector<TreeNode> OrderFrom(Context& ctx, Address root) {
  std::vector<TreeNode> order;
  const auto add = [&](const Member& member) {
    const bool is_local = member.data_centre == ctx.Settings().data_centre;
    if (!is_local || member.status == MemberStatus::kGone) return;
    if (member.address == root) return;
    order.push_back({0, member.address, member.status == MemberStatus::kAlive});
  };
  add(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) add(member);
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.address < b.address; });
  const auto first = std::partition_point(
      order.begin(), order.end(),
      [root](const TreeNode& node) { return node.address < root; });
  std::rotate(order.begin(), first, order.end());
  order.insert(order.begin(), {0, root, true});
  return order;
}

}  // namespace

std::vector<Address> FreshnessChildren(Context& ctx, Address root) {
  const auto order = OrderFrom(ctx, root);
  const auto self =
      std::find_if(order.begin(), order.end(), [&ctx](const TreeNode& node) {
        return node.address == ctx.Settings().self;
      });
  std::vector<Address> children;
  AppendChildren(order, static_cast<size_t>(self - order.begin()), kFanout,
                 children);
  return children;
}

std::vector<Address> FreshnessEntries(Context& ctx, uint64_t round) {
  std::map<std::string, std::vector<Address>> by_data_centre;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (member.data_centre == ctx.Settings().data_centre) continue;
    by_data_centre[member.data_centre].push_back(address);
  }
  std::vector<Address> entries;
  for (const auto& [data_centre, addresses] : by_data_centre) {
    entries.push_back(addresses[round % addresses.size()]);
  }
  return entries;
}

}  // namespace buckthorncart
