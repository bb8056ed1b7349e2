#include "Kernel/failure_json.h"

#include <nlohmann/json.hpp>

namespace buckthorncart {

std::string FailureJson(const Failure& failure) {
  const nlohmann::ordered_json body = {
      {"error", NameOf(failure.code)},
      {"subject", failure.subject},
      {"expected", failure.expected},
      {"advice", failure.advice},
  };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace buckthorncart
