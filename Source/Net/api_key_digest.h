#pragma once
/// \file
/// Replacement of callers' API keys by their digests, where requests enter.

#include "Net/http_translator.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Replaces the header with the API key by one with its digest. Removes the
/// headers of the service mesh for digests and workspaces that the caller sent.
/// A caller that sends several keys has none: the digest is replaced by a text
/// that belongs to no key.
void ReplaceApiKey(Headers& headers);

/// Replaces API keys in the requests of callers and changes nothing else.
class ApiKeyTranslator : public HttpTranslator {
 public:
  void TranslateCallerRequest(HttpRequest& request) override;
};

}  // namespace buckthorncart
