#pragma once

/// \file
/// Configurations of the operator, and temporary folders.

#include <nlohmann/json.hpp>

#include "store.h"

namespace review {

inline json MakeRoute(const std::string& name, const std::string& prefix,
                      const std::string& service, const std::string& kind,
                      double timeout_s = 1.5) {
  return {{"name", name},   {"host", "shop.example"}, {"prefix", prefix},
          {"kind", kind},   {"timeoutS", timeout_s},  {"targetLatencyS", 0.8},
          {"priority", 1},  {"service", service},     {"maxAttempts", 2},
          {"public", false}};
}

inline std::string MakeConfiguration(uint64_t version,
                                     const std::vector<json>& routes,
                                     const std::vector<std::string>& services) {
  json list = json::array();
  for (const std::string& name : services) {
    list.push_back({{"name", name},
                    {"healthPath", "/health"},
                    {"maxConnections", 130},
                    {"protocol", "h1"},
                    {"tls", false}});
  }
  return json{{"version", version},
              {"routes", routes},
              {"services", list},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 67108864},
                {"headerTimeoutS", 3},
                {"idleTimeoutS", 15}}}}
      .dump();
}

/// Makes a temporary folder, which the caller removes.
inline std::string MakeFolder() {
  char path[] = "/tmp/review-XXXXXX";
  const char* folder = mkdtemp(path);
  return folder == nullptr ? "" : folder;
}

}  // namespace review
