#pragma once
/// \file
/// Answers to operators about their operations.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "Base/error.h"

namespace buckthorncart {

/// HTTP status that goes with a refusal for `code`.
uint16_t OperationStatus(Errc code);

/// Body of a refusal; nothing of the operation has been carried out.
nlohmann::ordered_json RefusedJson(const std::string& id,
                                   const Failure& failure);

/// Body of an answer that cannot be given yet.
nlohmann::ordered_json UndecidedJson(const std::string& id);

}  // namespace buckthorncart
