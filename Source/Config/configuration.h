#pragma once
/// \file
/// The complete set of configured objects.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/result.h"
#include "Config/objects.h"

namespace buckthorncart {

/// Maximum encoded size of a configuration in bytes.
inline constexpr size_t kMaxConfigurationBytes = 2U << 20U;

/// All objects by name. The encoding is canonical, so equal configurations have
/// equal encodings and therefore equal digests.
struct Configuration {
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::map<std::string, Rule> rules;

  bool operator==(const Configuration&) const = default;

  /// Returns the digest of the encoded configuration.
  uint64_t Digest() const;

  /// Checks all references, values and limits. Returns a failure for each
  /// error: `kUnknownService`, `kDuplicateObject` (two routes with the same
  /// host and path), `kInvalidValue` or `kTooLarge`. Returns an empty vector if
  /// the configuration is valid.
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

  MSGPACK_DEFINE(services, routes, rules)

 private:
  void CheckServices(const Route& route, std::vector<Failure>& failures) const;
};

}  // namespace buckthorncart
