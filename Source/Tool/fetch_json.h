#pragma once
/// \file
/// Requests to the operators' interface with JSON answers.

#include <nlohmann/json.hpp>
#include <string>

#include "Base/result.h"
#include "Tool/operator_client.h"

namespace buckthorncart {

struct JsonAnswer {
  uint16_t status = 0;
  nlohmann::ordered_json body;
};

/// Fails as `OperatorClient::Fetch` does, and with `kMalformedFrame` when the
/// answer is not JSON.
Result<JsonAnswer> FetchJson(const OperatorClient& client,
                             const std::string& method, const std::string& path,
                             const std::string& body = {});

/// Like `FetchJson`, and also fails when the answer of the daemon contains an
/// error.
Result<nlohmann::ordered_json> FetchOrFail(const OperatorClient& client,
                                           const std::string& method,
                                           const std::string& path,
                                           const std::string& body = {});

}  // namespace buckthorncart
