#pragma once
/// \file
/// Objects that operators configure: services, routes and rules.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Base/enum_names.h"

namespace buckthorncart {

/// Scheduling class of the requests on a route.
enum class RequestClass : uint8_t { kInteractive, kBulk };

template <>
struct EnumNames<RequestClass> {
  static constexpr std::string_view kNames[] = {"interactive", "bulk"};
};

enum class RuleAction : uint8_t { kAllow, kDeny };

template <>
struct EnumNames<RuleAction> {
  static constexpr std::string_view kNames[] = {"allow", "deny"};
};

/// A named group of backend servers, with its service-level objectives.
struct Service {
  std::string name;
  /// Share of requests that must succeed, in millionths.
  uint32_t availability_ppm = 999'000;
  /// Latency that `latency_ppm` of the requests must stay under, milliseconds.
  uint32_t latency_ms = 500;
  uint32_t latency_ppm = 990'000;

  bool operator==(const Service&) const = default;
  MSGPACK_DEFINE(name, availability_ppm, latency_ms, latency_ppm)
};

/// A service that takes a share of a route's requests.
struct WeightedService {
  std::string service;
  /// Share, relative to the sum over the route's services.
  uint32_t weight = 0;

  bool operator==(const WeightedService&) const = default;
  MSGPACK_DEFINE(service, weight)
};

/// Maps requests for a host whose path starts with `path` to a service.
struct Route {
  std::string name;
  std::string path;
  /// Empty when `split` names the services.
  std::string service;
  RequestClass request_class = RequestClass::kInteractive;
  /// False for requests that may run at most once.
  bool repeatable = true;
  /// Deadline of requests whose caller gives none, milliseconds.
  uint32_t timeout_ms = 5'000;
  /// Host of the requests; empty for every host.
  std::string host = {};
  /// Services that share the requests by weight; empty for `service` alone.
  std::vector<WeightedService> split = {};
  /// Backend servers that may get one call; 0 for the daemon's setting.
  uint32_t max_attempts = 0;
  /// Time within which an answer is of full use, milliseconds; 0 for none.
  uint32_t target_latency_ms = 0;
  /// Rank among the requests of a service; 0 goes first.
  uint32_t priority = 0;
  /// An unrepeatable request is named by its `Idempotency-Key`, so that it
  /// runs once however often it is sent. Otherwise each sending may run once.
  bool deduplicates_by_key = true;
  /// No caller is kept waiting for longer than `timeout_ms`, whatever deadline
  /// it gives.
  bool caps_deadline = false;

  bool operator==(const Route&) const = default;
  MSGPACK_DEFINE(name, path, service, request_class, repeatable, timeout_ms,
                 host, split, max_attempts, target_latency_ms, priority,
                 deduplicates_by_key, caps_deadline)
};

/// Restricts which backend servers of a service may take which requests.
/// A request may run on a backend server if no matching `deny` rule selects
/// it and, where matching `allow` rules exist, one of them selects it.
struct Rule {
  std::string name;
  std::string service;
  RuleAction action = RuleAction::kAllow;
  /// Class of the requests concerned, by name; empty for every class.
  std::string request_class;
  /// Data centre of the backend servers selected; empty for every one.
  std::string data_centre;
  /// Labels that a selected backend server carries.
  std::map<std::string, std::string> labels;

  bool operator==(const Rule&) const = default;
  MSGPACK_DEFINE(name, service, action, request_class, data_centre, labels)
};

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::RequestClass)
MSGPACK_ADD_ENUM(buckthorncart::RuleAction)
