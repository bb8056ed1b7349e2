#include "Plugins/Claims/claim_row.h"

#include <algorithm>

namespace buckthorncart {

std::string ClaimRowKey(const std::string& service,
                        const std::string& idempotency_key) {
  return std::string(kClaimPrefix) + service + "/" + idempotency_key;
}

bool IsIdempotencyKey(std::string_view key) {
  const auto printable = [](char c) { return c > ' ' && c <= '~'; };
  return !key.empty() && key.size() <= kMaxIdempotencyKeyBytes &&
         std::all_of(key.begin(), key.end(), printable);
}

size_t AnswerBytes(const AnswerPart& answer) {
  size_t bytes = answer.body.size();
  for (const Header& header : answer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace buckthorncart
