#pragma once
/// \file
/// The complete set of configured objects.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Base/key_digest.h"
#include "Base/result.h"
#include "Config/objects.h"
#include "Config/workspace.h"
#include "Wire/optional_tail.h"

namespace buckthorncart {

/// Maximum encoded size of a configuration in bytes.
inline constexpr size_t kMaxConfigurationBytes = 2U << 20U;

/// All objects by name. The encoding is canonical, so equal configurations have
/// equal encodings and therefore equal digests. The encoding of a configuration
/// without workspaces is that of earlier versions, which know none.
struct Configuration {
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::map<std::string, Rule> rules;
  std::map<std::string, Workspace> workspaces;

  template <typename Self>
  static auto Fields(Self& self) {
    return std::tie(self.services, self.routes, self.rules, self.workspaces);
  }

  bool operator==(const Configuration& other) const {
    return Fields(*this) == Fields(other);
  }

  /// Returns the digest of the encoded configuration.
  uint64_t Digest() const;

  /// Checks all references, values and limits. Returns a failure for each
  /// error: `kUnknownService`, `kDuplicateObject` (two routes with the same
  /// host and path, or two workspaces with the same key), `kInvalidValue` or
  /// `kTooLarge`. Returns an empty vector if the configuration is valid.
  std::vector<Failure> Validate() const;

  /// Returns the route whose path is the longest prefix of `path` that ends at
  /// a segment boundary, or null if there is none. Routes for `host` take
  /// precedence over routes for all hosts.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// Returns true if the rules allow requests of `request_class` to `service`
  /// to run on a backend server in `data_centre` with the given labels.
  bool Allows(const std::string& service, RequestClass request_class,
              const std::string& data_centre,
              const std::map<std::string, std::string>& labels) const;

  /// Builds the table of `FindWorkspace` from the present workspaces.
  void IndexKeys();

  /// Returns the workspace whose key has `digest`, or null if there is none.
  /// `IndexKeys` must have been called after the last change of the workspaces.
  const Workspace* FindWorkspace(const KeyDigest& digest) const;

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {  // NOLINT
    PackWithTail<1>(packer, Fields(*this), !workspaces.empty());
  }
  void msgpack_unpack(const msgpack::object& object) {  // NOLINT
    UnpackWithTail(object, Fields(*this));
  }

 private:
  void CheckServices(const Route& route, std::vector<Failure>& failures) const;
  void CheckWorkspaces(std::vector<Failure>& failures) const;

  /// Name of the workspace of each key.
  std::unordered_map<KeyDigest, std::string, KeyDigestHash> workspace_by_key_;
};

}  // namespace buckthorncart
