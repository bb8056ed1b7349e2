#include "Kernel/url_query.h"

#include <charconv>

namespace buckthorncart {
namespace {

constexpr int kHexBase = 16;
constexpr size_t kEscapeLength = 3;

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    const bool escape =
        text[i] == '%' && i + kEscapeLength <= text.size() &&
        std::from_chars(digits, digits + 2, value, kHexBase).ptr == digits + 2;
    if (!escape) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(value));
    i += 2;
  }
  return decoded;
}

bool IsUnreserved(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '_' || c == '.' || c == '~';
}

}  // namespace

std::string_view Url::Get(const std::string& key) const {
  const auto it = query.find(key);
  return it == query.end() ? std::string_view{} : it->second;
}

Url ParseUrl(std::string_view target) {
  Url url;
  const size_t question_mark = target.find('?');
  url.path = PercentDecode(target.substr(0, question_mark));
  if (question_mark == std::string_view::npos) return url;
  std::string_view rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos
                                       ? std::string_view{}
                                       : pair.substr(equals + 1);
    url.query[PercentDecode(pair.substr(0, equals))] = PercentDecode(value);
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  return url;
}

std::string PercentEncode(std::string_view text, std::string_view unescaped) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c) || unescaped.find(c) != std::string_view::npos) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kHex[byte >> 4U]);
    encoded.push_back(kHex[byte & 0xFU]);
  }
  return encoded;
}

}  // namespace buckthorncart
