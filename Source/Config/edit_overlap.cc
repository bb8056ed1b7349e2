#include "Config/edit_overlap.h"

#include <algorithm>

namespace buckthorncart {
namespace {

constexpr const char* kServiceKey = "service";
constexpr const char* kPathKey = "path";
constexpr const char* kKeysKey = "keys";

bool Assigns(const Edit& edit, const std::string& key,
             const std::string& value) {
  return std::any_of(edit.assignments.begin(), edit.assignments.end(),
                     [&](const Assignment& assignment) {
                       return assignment.key == key &&
                              assignment.value == value;
                     });
}

bool RefersTo(const Edit& edit, const std::string& service) {
  return edit.kind != ObjectKind::kService &&
         Assigns(edit, kServiceKey, service);
}

bool SetsSamePath(const Edit& a, const Edit& b) {
  if (a.kind != ObjectKind::kRoute || b.kind != ObjectKind::kRoute) {
    return false;
  }
  return std::any_of(b.assignments.begin(), b.assignments.end(),
                     [&a](const Assignment& assignment) {
                       return assignment.key == kPathKey &&
                              Assigns(a, kPathKey, assignment.value);
                     });
}

bool SetsKeys(const Edit& edit) {
  return edit.kind == ObjectKind::kWorkspace &&
         std::any_of(edit.assignments.begin(), edit.assignments.end(),
                     [](const Assignment& assignment) {
                       return assignment.key == kKeysKey;
                     });
}

bool CanInvalidate(const Edit& earlier, const Edit& later) {
  if (earlier.kind == ObjectKind::kService && RefersTo(later, earlier.name)) {
    return true;
  }
  if (later.kind == ObjectKind::kService && RefersTo(earlier, later.name)) {
    return true;
  }
  return SetsSamePath(earlier, later) || (SetsKeys(earlier) && SetsKeys(later));
}

/// Finds the first edit of `earlier` for which `is_related` is true with an
/// edit of `later`, and stores the name of its object in `object`.
template <typename Relation>
bool FindRelated(const std::vector<Edit>& earlier,
                 const std::vector<Edit>& later, Relation is_related,
                 std::string& object) {
  for (const Edit& earlier_edit : earlier) {
    for (const Edit& later_edit : later) {
      if (!is_related(earlier_edit, later_edit)) continue;
      object = earlier_edit.ObjectName();
      return true;
    }
  }
  return false;
}

}  // namespace

bool TouchSameObject(const std::vector<Edit>& earlier,
                     const std::vector<Edit>& later, std::string& object) {
  return FindRelated(
      earlier, later,
      [](const Edit& a, const Edit& b) {
        return a.kind == b.kind && a.name == b.name;
      },
      object);
}

bool CanInvalidate(const std::vector<Edit>& earlier,
                   const std::vector<Edit>& later, std::string& object) {
  return FindRelated(
      earlier, later,
      [](const Edit& a, const Edit& b) { return CanInvalidate(a, b); }, object);
}

}  // namespace buckthorncart
