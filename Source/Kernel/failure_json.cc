#include "Kernel/failure_json.h"

#include <nlohmann/json.hpp>

#include "Base/json_text.h"

namespace buckthorncart {

std::string FailureJson(const Failure& failure) {
  const nlohmann::ordered_json body = {
      {"error", NameOf(failure.code)},
      {"subject", failure.subject},
      {"expected", failure.expected},
      {"advice", failure.advice},
  };
  return FormatJson(body) + "\n";
}

}  // namespace buckthorncart
