#pragma once
/// \file
/// The whole set of configured objects.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/result.h"
#include "Config/objects.h"

namespace buckthorncart {

/// Bound on the encoded size of a configuration, bytes.
inline constexpr size_t kMaxConfigurationBytes = 2U << 20U;

/// All objects by name. The encoding is canonical: equal configurations have
/// equal bytes and so equal digests.
struct Configuration {
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::map<std::string, Rule> rules;

  bool operator==(const Configuration&) const = default;

  uint64_t Digest() const;

  /// Checks every reference and limit of the whole. Returns one failure for
  /// each fault: `kUnknownService`, `kDuplicateObject` (two routes with one
  /// path), `kInvalidValue` or `kTooLarge`; empty when the whole is valid.
  std::vector<Failure> Validate() const;

  /// Route with the longest path that is a prefix of `path` on a segment
  /// boundary, among those of `host` or else those of every host; or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// True if the rules let requests of `request_class` to `service` run on a
  /// backend server in `data_centre` that carries `labels`.
  bool Allows(const std::string& service, RequestClass request_class,
              const std::string& data_centre,
              const std::map<std::string, std::string>& labels) const;

  MSGPACK_DEFINE(services, routes, rules)

 private:
  void CheckServices(const Route& route, std::vector<Failure>& failures) const;
};

}  // namespace buckthorncart
