#include "Base/json_text.h"

namespace buckthorncart {

bool IsWithinLimits(std::string_view text, const JsonLimits& limits) {
  if (text.size() > limits.bytes) return false;
  size_t depth = 0;
  size_t values = 1;
  bool quoted = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') quoted = !quoted;
    if (quoted) {
      if (c == '\\') ++i;
      continue;
    }
    const bool opens = c == '{' || c == '[';
    const bool closes = c == '}' || c == ']';
    if (opens || c == ',') ++values;
    if (opens) ++depth;
    if (closes && depth > 0) --depth;
    if (depth > limits.depth || values > limits.values) return false;
  }
  return true;
}

}  // namespace buckthorncart
