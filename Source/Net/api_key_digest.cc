#include "Net/api_key_digest.h"

#include <string>

#include "Base/key_digest.h"

namespace buckthorncart {

void ReplaceApiKey(Headers& headers) {
  constexpr std::string_view kNoDigest = "none";
  std::string digest;
  for (const Header& h : headers) {
    if (h.name != header::kApiKey) continue;
    digest = digest.empty() ? FormatKeyDigest(DigestOfKey(h.value))
                            : std::string(kNoDigest);
  }
  std::erase_if(headers, [](const Header& h) {
    return h.name == header::kApiKey || h.name == header::kKeyDigest ||
           h.name == header::kWorkspace;
  });
  if (digest.empty()) return;
  headers.push_back({std::string(header::kKeyDigest), std::move(digest)});
}

void ApiKeyTranslator::TranslateCallerRequest(HttpRequest& request) {
  ReplaceApiKey(request.headers);
}

}  // namespace buckthorncart
