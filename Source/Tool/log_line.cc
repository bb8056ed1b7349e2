#include "Tool/log_line.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "Base/json_text.h"

namespace buckthorncart {
namespace {

constexpr std::string_view kTimeKey = "time_ms";
constexpr std::string_view kEventKey = "change";

std::string LastWord(std::string_view text) {
  const size_t end = text.find_last_not_of(" \t");
  if (end == std::string_view::npos) return {};
  const size_t before = text.find_last_of(" \t", end);
  const size_t begin = before == std::string_view::npos ? 0 : before + 1;
  return std::string(text.substr(begin, end + 1 - begin));
}

/// Removes the first `key=value` from `rest`; the value may be a JSON string.
/// Returns false if there is none.
bool ParsePair(std::string_view& rest, std::string& key, std::string& value) {
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const size_t equals = rest.find('=');
  if (equals == std::string_view::npos) return false;
  key = rest.substr(0, equals);
  rest.remove_prefix(equals + 1);
  size_t end = rest.find(' ');
  const bool quoted = rest.starts_with('"');
  if (quoted) {
    end = 1;
    while (end < rest.size() && rest[end] != '"')
      end += rest[end] == '\\' ? 2 : 1;
    ++end;
  }
  const std::string_view raw = rest.substr(0, end);
  const auto text = quoted ? ParseJson(raw) : nlohmann::json();
  value = text.is_string() ? text.get<std::string>() : std::string(raw);
  rest.remove_prefix(std::min(end, rest.size()));
  return true;
}

void AddField(const std::string& key, const std::string& value, LogLine& line) {
  if (key == kTimeKey) {
    std::from_chars(value.data(), value.data() + value.size(), line.time_ms);
  } else if (key == kEventKey) {
    line.event = value;
  } else if (key != "level") {
    line.fields.emplace_back(key, value);
  }
}

void ReadJson(std::string_view text, LogLine& line) {
  const auto object = ParseJson<nlohmann::ordered_json>(text);
  if (!object.is_object()) return;
  for (const auto& [key, value] : object.items()) {
    if (value.is_string()) AddField(key, value.get<std::string>(), line);
  }
}

}  // namespace

std::string_view LogLine::Field(std::string_view key) const {
  for (const auto& [name, value] : fields) {
    if (name == key) return value;
  }
  return {};
}

std::optional<LogLine> ParseLogLine(std::string_view text,
                                    const std::string& file) {
  const bool is_json = text.find("{\"time_ms\"") != std::string_view::npos;
  const size_t begin = is_json ? text.find('{') : text.find("time_ms=");
  if (begin == std::string_view::npos) return std::nullopt;
  LogLine line;
  line.daemon = LastWord(text.substr(0, begin));
  if (line.daemon.empty()) line.daemon = file;
  std::string_view rest = text.substr(begin);
  if (is_json) ReadJson(rest, line);
  std::string key;
  std::string value;
  while (!is_json && ParsePair(rest, key, value)) AddField(key, value, line);
  if (line.time_ms == 0 || line.event.empty()) return std::nullopt;
  return line;
}

}  // namespace buckthorncart
