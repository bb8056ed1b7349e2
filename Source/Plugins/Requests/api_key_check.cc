#include "Plugins/Requests/api_key_check.h"

#include <string>

namespace buckthorncart {

tl::expected<const Workspace*, Errc> AuthenticateCaller(
    const Configuration& configuration, const Route& route,
    bool keys_are_digested, const Headers& headers) {
  const std::string_view text =
      keys_are_digested ? FindHeader(headers, header::kKeyDigest) : "";
  if (text.empty()) {
    const bool needs_key =
        !configuration.workspaces.empty() && !route.is_public;
    if (needs_key) return tl::unexpected(Errc::kUnknownKey);
    return nullptr;
  }
  const auto digest = ParseKeyDigest(text);
  const Workspace* workspace =
      digest ? configuration.FindWorkspace(*digest) : nullptr;
  if (workspace == nullptr) return tl::unexpected(Errc::kUnknownKey);
  return workspace;
}

void SetWorkspaceHeader(const Workspace* workspace, const Route& route,
                        Headers& headers) {
  std::erase_if(headers, [](const Header& h) {
    return h.name == header::kKeyDigest || h.name == header::kWorkspace;
  });
  if (workspace == nullptr || route.is_public) return;
  headers.push_back({std::string(header::kWorkspace), workspace->name});
}

}  // namespace buckthorncart
