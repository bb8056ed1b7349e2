#pragma once
/// \file
/// Status codes and bodies of answers about operations.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "Base/error.h"

namespace buckthorncart {

/// Returns the HTTP status for a refusal with `code`.
uint16_t OperationStatus(Errc code);

/// Returns the body of a refusal, after which no part of the operation is in
/// force.
nlohmann::ordered_json RefusedJson(const std::string& id,
                                   const Failure& failure);

/// Returns the body of an answer whose outcome is not yet known.
nlohmann::ordered_json UndecidedJson(const std::string& id);

}  // namespace buckthorncart
