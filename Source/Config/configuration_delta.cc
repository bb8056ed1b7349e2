#include "Config/configuration_delta.h"

#include <map>

namespace buckthorncart {
namespace {

template <typename Object>
using Objects = std::map<std::string, Object>;

template <typename Object>
ObjectDelta<Object> Compare(const Objects<Object>& from,
                            const Objects<Object>& to) {
  ObjectDelta<Object> delta;
  for (const auto& [name, object] : to) {
    const auto it = from.find(name);
    if (it == from.end() || it->second != object) delta.set.push_back(object);
  }
  for (const auto& [name, object] : from) {
    if (!to.contains(name)) delta.removed.push_back(name);
  }
  return delta;
}

template <typename Object>
void Apply(const ObjectDelta<Object>& delta, Objects<Object>& objects) {
  for (const std::string& name : delta.removed) objects.erase(name);
  for (const Object& object : delta.set) objects[object.name] = object;
}

}  // namespace

ConfigurationDelta MakeDelta(const Snapshot& from, const Snapshot& to) {
  const Configuration& before = from.configuration;
  const Configuration& after = to.configuration;
  return {from.version,
          to.version,
          to.digest,
          Compare(before.services, after.services),
          Compare(before.routes, after.routes),
          Compare(before.rules, after.rules),
          Compare(before.workspaces, after.workspaces),
          to.reads_workspaces};
}

Snapshot ApplyDelta(const Snapshot& base, const ConfigurationDelta& delta) {
  Snapshot result = base;
  result.version = delta.to;
  result.digest = delta.digest;
  Apply(delta.services, result.configuration.services);
  Apply(delta.routes, result.configuration.routes);
  Apply(delta.rules, result.configuration.rules);
  Apply(delta.workspaces, result.configuration.workspaces);
  result.reads_workspaces = delta.reads_workspaces;
  return result;
}

}  // namespace buckthorncart
