#pragma once
/// \file
/// Detects conflicts between edits of different changes.

#include <vector>

#include "Config/edit.h"

namespace buckthorncart {

/// Returns true if both lists create, change or delete the same object, whose
/// name is stored in `object`.
bool TouchSameObject(const std::vector<Edit>& earlier,
                     const std::vector<Edit>& later, std::string& object);

/// Returns true if `earlier` can make `later` invalid although they edit
/// different objects: `earlier` edits a service that `later` refers to, refers
/// to a service that `later` edits, or sets a route path or the keys of a
/// workspace, where `later` does as well. Stores the name of the edited object
/// of `earlier` in `object`.
bool CanInvalidate(const std::vector<Edit>& earlier,
                   const std::vector<Edit>& later, std::string& object);

}  // namespace buckthorncart
