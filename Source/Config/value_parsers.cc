#include "Config/value_parsers.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace buckthorncart {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr uint32_t kPpmPerCent = 10'000;
constexpr size_t kShareDecimals = 4;

std::optional<uint64_t> ParseDigits(std::string_view digits) {
  uint64_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, ec] = std::from_chars(digits.data(), end, value);
  if (ec != std::errc() || stop != end) return std::nullopt;
  return value;
}

std::optional<uint32_t> ScaleToMilliseconds(std::string_view digits,
                                            uint64_t factor) {
  const auto value = ParseDigits(digits);
  constexpr uint64_t kLimit = std::numeric_limits<uint32_t>::max();
  if (!value || *value > kLimit / factor) return std::nullopt;
  return static_cast<uint32_t>(*value * factor);
}

bool IsNameCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '_' || c == '.';
}

}  // namespace

std::optional<uint32_t> ParseMilliseconds(std::string_view text) {
  if (text.ends_with("ms")) {
    return ScaleToMilliseconds(text.substr(0, text.size() - 2), 1);
  }
  if (text.ends_with("s")) {
    return ScaleToMilliseconds(text.substr(0, text.size() - 1), 1'000);
  }
  if (text.ends_with("m")) {
    return ScaleToMilliseconds(text.substr(0, text.size() - 1), 60'000);
  }
  return std::nullopt;
}

std::optional<uint32_t> ParseShare(std::string_view text) {
  const size_t dot = text.find('.');
  const auto whole = ParseDigits(text.substr(0, dot));
  if (!whole || *whole > 100) return std::nullopt;
  auto ppm = static_cast<uint32_t>(*whole * kPpmPerCent);
  if (dot == std::string_view::npos) return ppm;
  const std::string_view decimals = text.substr(dot + 1);
  const auto fraction = ParseDigits(decimals);
  if (!fraction || decimals.size() > kShareDecimals) return std::nullopt;
  auto scaled = static_cast<uint32_t>(*fraction);
  for (size_t i = decimals.size(); i < kShareDecimals; ++i) scaled *= 10;
  if (ppm + scaled > 100 * kPpmPerCent) return std::nullopt;
  return ppm + scaled;
}

std::optional<uint32_t> ParseCount(std::string_view text) {
  constexpr uint32_t kMaxCount = 1'000'000;
  uint32_t n = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || stop != end || n > kMaxCount) return std::nullopt;
  return n;
}

std::optional<uint64_t> ParseRate(std::string_view text) {
  constexpr uint64_t kMaxRate = 1'000'000;
  constexpr uint64_t kSecondsOfRate = 1'000;
  constexpr size_t kRateDecimals = 3;
  const size_t dot = text.find('.');
  const auto whole = ParseDigits(text.substr(0, dot));
  if (!whole || *whole > kMaxRate) return std::nullopt;
  const uint64_t rate = *whole * kSecondsOfRate;
  if (dot == std::string_view::npos) return rate;
  const std::string_view decimals = text.substr(dot + 1);
  auto fraction = ParseDigits(decimals);
  if (!fraction || decimals.size() > kRateDecimals) return std::nullopt;
  for (size_t i = decimals.size(); i < kRateDecimals; ++i) *fraction *= 10;
  return rate + *fraction;
}

std::optional<std::set<KeyDigest>> ParseKeyDigests(std::string_view text) {
  std::set<KeyDigest> digests;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const auto digest = ParseKeyDigest(item);
    if (!digest) return std::nullopt;
    digests.insert(*digest);
  }
  return digests;
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace buckthorncart
