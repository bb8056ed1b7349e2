#include "Wire/message_parser.h"

#include <cctype>

namespace buckthorncart {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

bool IsHopByHop(std::string_view lower_case_name) {
  constexpr std::string_view kNames[] = {"connection",
                                         "content-length",
                                         "keep-alive",
                                         "transfer-encoding",
                                         "te",
                                         "trailer",
                                         "upgrade",
                                         "expect",
                                         "proxy-authenticate",
                                         "proxy-authorization",
                                         "proxy-connection"};
  return std::find(std::begin(kNames), std::end(kNames), lower_case_name) !=
         std::end(kNames);
}

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (item.starts_with(' ')) item.remove_prefix(1);
    while (item.ends_with(' ')) item.remove_suffix(1);
    if (item == token) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace buckthorncart
