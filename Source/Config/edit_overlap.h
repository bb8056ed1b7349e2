#pragma once
/// \file
/// Which edits can spoil which others.

#include <vector>

#include "Config/edit.h"

namespace buckthorncart {

/// True if both change, create or delete a common object. Returns its name
/// through `object`.
bool TouchSameObject(const std::vector<Edit>& earlier,
                     const std::vector<Edit>& later, std::string& object);

/// True if `earlier` can be the reason why `later` is no longer valid although
/// they touch different objects: it changes a service that `later` refers to,
/// refers to a service that `later` deletes, or takes a path that `later`
/// takes. Returns the name of the object of `earlier` through `object`.
bool CanInvalidate(const std::vector<Edit>& earlier,
                   const std::vector<Edit>& later, std::string& object);

}  // namespace buckthorncart
