#include "Plugins/Configuration/operation_answers.h"

namespace buckthorncart {

uint16_t OperationStatus(Errc code) {
  switch (code) {
    case Errc::kSyntax:
      return 400;
    case Errc::kTooLarge:
      return 413;
    case Errc::kConflict:
    case Errc::kOperationIdReused:
    case Errc::kDuplicateObject:
    case Errc::kServiceInUse:
    case Errc::kVersionNotReached:
      return 409;
    case Errc::kPlatformUnavailable:
    case Errc::kPlatformAnswerLost:
    case Errc::kNotReady:
    case Errc::kDraining:
    case Errc::kQueueFull:
    case Errc::kTimeout:
      return 503;
    default:
      return 422;
  }
}

nlohmann::ordered_json RefusedJson(const std::string& id,
                                   const Failure& failure) {
  return {{"result", "refused"},           {"operation", id},
          {"error", NameOf(failure.code)}, {"subject", failure.subject},
          {"expected", failure.expected},  {"advice", failure.advice}};
}

nlohmann::ordered_json UndecidedJson(const std::string& id) {
  return {{"result", "undecided"},
          {"operation", id},
          {"advice", "buckthorncart operation " + id + " --settle"}};
}

}  // namespace buckthorncart
