#include "Wire/http.h"

namespace buckthorncart {

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

}  // namespace buckthorncart
