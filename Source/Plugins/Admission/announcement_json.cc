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
  const auto fail = [](const std::string& subject,
                       const std::string& expected) {
    return Fail(Errc::kInvalidValue, subject, expected,
                "see docs/reference/operators-interface.md");
  };
  if (!json.is_object()) return fail("announcement", "a JSON object");
  ReceivedAnnouncement announcement;
  BackendAnnouncement& backend = announcement.backend;
  const auto get_string = [&json](const char* key) {
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
  };
  const auto get_number = [&json](const char* key) {
    const auto it = json.find(key);
    const bool is_valid = it != json.end() && it->is_number_unsigned();
    return is_valid ? it->get<uint64_t>() : 0;
  };
  backend.id = get_string("id");
  backend.started_ms = get_number("started_ms");
  announcement.sequence = get_number("sequence");
  if (get_string("state") == NameOf(BackendState::kAbsent)) return announcement;
  backend.service = get_string("service");
  if (!IsName(backend.service)) return fail("service", "a service name");
  const auto state = ParseEnum<BackendState>(get_string("state"));
  if (!state) return fail("state", NamesOf<BackendState>());
  backend.state = *state;
  const auto slots = json.find("slots");
  const bool valid_slots = slots != json.end() && slots->is_number_unsigned() &&
                           slots->get<uint64_t>() <= kMaxSlots &&
                           slots->get<uint64_t>() > 0;
  if (!valid_slots) return fail("slots", "1 to 10000");
  backend.slots = slots->get<uint32_t>();
  const auto labels = json.find("labels");
  if (labels == json.end()) return announcement;
  if (!labels->is_object())
    return fail("labels", "an object whose keys are names");
  for (const auto& [key, value] : labels->items()) {
    if (!value.is_string() || !IsName(key)) {
      return fail("labels." + key, "a name as key and a string as value");
    }
    backend.labels[key] = value.get<std::string>();
  }
  return announcement;
}

}  // namespace buckthorncart
