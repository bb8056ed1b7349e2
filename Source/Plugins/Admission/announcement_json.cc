#include "Plugins/Admission/announcement_json.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "Config/value_parsers.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kMaxSlots = 10'000;

}  // namespace

Result<ReceivedAnnouncement> ParseAnnouncement(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto failure = [](const std::string& subject,
                          const std::string& expected) {
    return Fail(Errc::kInvalidValue, subject, expected,
                "see docs/reference/operators-interface.md");
  };
  if (!json.is_object()) return failure("announcement", "a JSON object");
  ReceivedAnnouncement announcement;
  BackendAnnouncement& backend = announcement.backend;
  const auto text = [&json](const char* key) {
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
  };
  const auto number = [&json](const char* key) {
    const auto it = json.find(key);
    const bool given = it != json.end() && it->is_number_unsigned();
    return given ? it->get<uint64_t>() : 0;
  };
  backend.id = text("id");
  backend.started_ms = number("started_ms");
  announcement.sequence = number("sequence");
  if (text("state") == NameOf(BackendState::kAbsent)) return announcement;
  backend.service = text("service");
  if (!IsName(backend.service)) return failure("service", "a service name");
  const auto state = ParseEnum<BackendState>(text("state"));
  if (!state) return failure("state", NamesOf<BackendState>());
  backend.state = *state;
  const auto slots = json.find("slots");
  const bool valid_slots = slots != json.end() && slots->is_number_unsigned() &&
                           slots->get<uint64_t>() <= kMaxSlots &&
                           slots->get<uint64_t>() > 0;
  if (!valid_slots) return failure("slots", "1 to 10000");
  backend.slots = slots->get<uint32_t>();
  const auto labels = json.find("labels");
  if (labels == json.end()) return announcement;
  if (!labels->is_object()) return failure("labels", "an object of names");
  for (const auto& [key, value] : labels->items()) {
    if (!value.is_string() || !IsName(key)) {
      return failure("labels." + key, "a name");
    }
    backend.labels[key] = value.get<std::string>();
  }
  return announcement;
}

}  // namespace buckthorncart
