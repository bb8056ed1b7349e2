#pragma once
/// \file
/// Trees over the daemons of a data centre, along which messages spread.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Base/address.h"

namespace buckthorncart {

/// A member of a data centre in tree order: the children of node `i` are the
/// nodes from `i * fanout + 1` to `(i + 1) * fanout`.
struct TreeNode {
  uint64_t weight = 0;
  Address address;
  bool alive = true;
};

/// Appends the children of node `i`. A child that may be dead is followed by
/// its own children, so that they don't depend on it.
inline void AppendChildren(const std::vector<TreeNode>& order, size_t i,
                           size_t fanout, std::vector<Address>& children) {
  for (size_t child = i * fanout + 1;
       child <= (i + 1) * fanout && child < order.size(); ++child) {
    children.push_back(order[child].address);
    if (!order[child].alive) AppendChildren(order, child, fanout, children);
  }
}

}  // namespace buckthorncart
