#include "Plugins/Admission/announcement_json.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "Config/value_parsers.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kMaxSlots = 10'000;
/// Maximum sum of the lengths of keys and values, bytes.
constexpr size_t kMaxLabelBytes = 500;

using nlohmann::json;

std::string GetString(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Returns 0 if there is no such number.
uint64_t GetNumber(const json& object, const char* key) {
  const auto it = object.find(key);
  const bool is_valid = it != object.end() && it->is_number_unsigned();
  return is_valid ? it->get<uint64_t>() : 0;
}

tl::unexpected<Failure> InvalidField(const std::string& subject,
                                     const std::string& expected) {
  return Fail(Errc::kInvalidValue, subject, expected,
              "see docs/reference/operators-interface.md");
}

Result<std::map<std::string, std::string>> ParseLabels(const json& object) {
  if (!object.is_object()) {
    return InvalidField("labels", "an object whose keys are names");
  }
  std::map<std::string, std::string> labels;
  size_t bytes = 0;
  for (const auto& [key, value] : object.items()) {
    if (!IsName(key) || !value.is_string()) {
      return InvalidField("labels." + key,
                          "a name as key and a string as value");
    }
    labels[key] = value.get<std::string>();
    bytes += key.size() + labels[key].size();
  }
  if (bytes > kMaxLabelBytes) {
    return InvalidField("labels", "at most " + std::to_string(kMaxLabelBytes) +
                                      " bytes of keys and values");
  }
  return labels;
}

}  // namespace

bool IsBackendId(std::string_view id) {
  if (id.empty() || id.size() > kMaxBackendIdLength) return false;
  return std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsVersion(std::string_view version) {
  return IsBackendId(version) && version.size() <= kMaxVersionLength;
}

Result<void> CheckVersion(const BackendAnnouncement& backend) {
  if (backend.version.empty() || IsVersion(backend.version)) return {};
  return InvalidField("version", "up to " + std::to_string(kMaxVersionLength) +
                                     " visible ASCII characters");
}

Result<ReceivedAnnouncement> ParseAnnouncement(const std::string& body) {
  const json object = ParseJson(body, kAnnouncementLimits);
  if (!object.is_object()) return InvalidField("announcement", "a JSON object");
  ReceivedAnnouncement announcement;
  BackendAnnouncement& backend = announcement.backend;
  backend.id = GetString(object, "id");
  if (!backend.id.empty() && !IsBackendId(backend.id)) {
    return InvalidField("id", "visible ASCII characters");
  }
  backend.started_ms = GetNumber(object, "started_ms");
  announcement.sequence = GetNumber(object, "sequence");
  if (backend.started_ms > kMaxAnnouncedNumber ||
      announcement.sequence > kMaxAnnouncedNumber) {
    return InvalidField("started_ms and sequence", "numbers up to 2^53");
  }
  backend.version = GetString(object, "version");
  const std::string state_name = GetString(object, "state");
  if (state_name == NameOf(BackendState::kAbsent)) return announcement;
  backend.service = GetString(object, "service");
  if (!IsName(backend.service))
    return InvalidField("service", "a service name");
  const auto state = ParseEnum<BackendState>(state_name);
  if (!state) return InvalidField("state", NamesOf<BackendState>());
  backend.state = *state;
  const uint64_t slots = GetNumber(object, "slots");
  if (slots == 0 || slots > kMaxSlots)
    return InvalidField("slots", "1 to 10000");
  backend.slots = static_cast<uint32_t>(slots);
  const auto label_object = object.find("labels");
  if (label_object == object.end()) return announcement;
  auto labels = ParseLabels(*label_object);
  if (!labels) return tl::unexpected(labels.error());
  backend.labels = std::move(*labels);
  return announcement;
}

}  // namespace buckthorncart
