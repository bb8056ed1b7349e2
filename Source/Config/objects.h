#pragma once
/// \file
/// Objects that operators configure: services, routes and rules.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "Base/enum_names.h"
#include "Wire/enum_adaptor.h"
#include "Wire/optional_tail.h"

namespace buckthorncart {

/// Scheduling class of the requests on a route.
enum class RequestClass : uint8_t { kInteractive, kBulk };

template <>
struct EnumNames<RequestClass> {
  static constexpr std::string_view kNames[] = {"interactive", "bulk"};
};
template <>
struct WireEnum<RequestClass> : NamedWireEnum<RequestClass> {};

enum class RuleAction : uint8_t { kAllow, kDeny };

template <>
struct EnumNames<RuleAction> {
  static constexpr std::string_view kNames[] = {"allow", "deny"};
};
template <>
struct WireEnum<RuleAction> : NamedWireEnum<RuleAction> {};

/// A named group of backend servers, with its service-level objectives.
struct Service {
  std::string name;
  /// Share of requests that must succeed, in parts per million.
  uint32_t availability_ppm = 999'000;
  /// Latency in milliseconds below which `latency_ppm` of the requests must
  /// stay.
  uint32_t latency_ms = 500;
  /// Share of requests that must stay below `latency_ms`, in parts per million.
  uint32_t latency_ppm = 990'000;
  /// Path at which a backend server answers 200 while it is healthy and not
  /// leaving; empty if there is none.
  std::string health_path = {};

  template <typename Self>
  static auto Fields(Self& self) {
    return std::tie(self.name, self.availability_ppm, self.latency_ms,
                    self.latency_ppm, self.health_path);
  }
  bool operator==(const Service&) const = default;
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {  // NOLINT
    PackWithTail<1>(packer, Fields(*this), !health_path.empty());
  }
  void msgpack_unpack(const msgpack::object& object) {  // NOLINT
    UnpackWithTail(object, Fields(*this));
  }
};

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string service;
  /// Share of the requests, relative to the sum of all weights of the route.
  uint32_t weight = 0;

  bool operator==(const WeightedService&) const = default;
  MSGPACK_DEFINE(service, weight)
};

/// Maps requests to `host` whose path starts with `path` to a service.
struct Route {
  std::string name;
  std::string path;
  /// Service that handles the requests, if `split` is empty.
  std::string service;
  RequestClass request_class = RequestClass::kInteractive;
  /// False for requests that may run at most once.
  bool repeatable = true;
  /// Timeout of requests whose caller gives no deadline, in milliseconds.
  uint32_t timeout_ms = 5'000;
  /// Host of the requests; empty for all hosts.
  std::string host = {};
  /// Services among which the requests are divided by weight. If empty, all
  /// requests go to `service`.
  std::vector<WeightedService> split = {};
  /// Maximum number of backend servers to which a call is sent; 0 for the
  /// daemon's setting.
  uint32_t max_attempts = 0;
  /// Target latency within which an answer has its full value, in milliseconds;
  /// 0 for none.
  uint32_t target_latency_ms = 0;
  /// Priority among the requests of a service; 0 is the highest.
  uint32_t priority = 0;
  /// True if an unrepeatable request is identified by its `Idempotency-Key`, so
  /// that it runs once even if it is sent several times. If false, each request
  /// sent may run once.
  bool deduplicates_by_key = true;
  /// True if `timeout_ms` is also the maximum wait of callers that give a later
  /// deadline.
  bool caps_deadline = false;
  /// True if requests need no API key although there are workspaces.
  bool is_public = false;

  bool operator==(const Route&) const = default;

  template <typename Self>
  static auto Fields(Self& self) {
    return std::tie(self.name, self.path, self.service, self.request_class,
                    self.repeatable, self.timeout_ms, self.host, self.split,
                    self.max_attempts, self.target_latency_ms, self.priority,
                    self.deduplicates_by_key, self.caps_deadline,
                    self.is_public);
  }
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {  // NOLINT
    PackWithTail<1>(packer, Fields(*this), is_public);
  }
  void msgpack_unpack(const msgpack::object& object) {  // NOLINT
    UnpackWithTail(object, Fields(*this));
  }
};

/// Restricts which backend servers of a service may run which requests.
/// A request may run on a backend server if no matching `deny` rule selects the
/// backend server and, if there are matching `allow` rules, at least one of
/// them selects it.
struct Rule {
  std::string name;
  std::string service;
  RuleAction action = RuleAction::kAllow;
  /// Name of the request class to which the rule applies; empty for all
  /// classes.
  std::string request_class;
  /// Data centre of the selected backend servers; empty for all data centres.
  std::string data_centre;
  /// Labels that a backend server must have to be selected.
  std::map<std::string, std::string> labels;

  bool operator==(const Rule&) const = default;
  MSGPACK_DEFINE(name, service, action, request_class, data_centre, labels)
};

}  // namespace buckthorncart
