#pragma once
/// \file
/// Authentication of callers by their API keys.

#include <tl/expected.hpp>

#include "Base/error.h"
#include "Config/configuration.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Returns the workspace whose key the caller of `route` gave, or null if it
/// gave none and needs none. Fails with `kUnknownKey` if the key is missing or
/// unknown. A key that is given must be known, on public routes as well; while
/// `configuration` has no workspaces, none is needed. `headers` contain the
/// digest of the key if `keys_are_digested`; otherwise no digest in them
/// counts, since the caller may have written it.
tl::expected<const Workspace*, Errc> AuthenticateCaller(
    const Configuration& configuration, const Route& route,
    bool keys_are_digested, const Headers& headers);

/// Removes the digest of the caller's key, and sets the header for the backend
/// server to the name of the workspace, or removes it on public routes and for
/// callers without a workspace.
void SetWorkspaceHeader(const Workspace* workspace, const Route& route,
                        Headers& headers);

}  // namespace buckthorncart
