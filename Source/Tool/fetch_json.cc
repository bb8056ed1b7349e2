#include "Tool/fetch_json.h"

#include <utility>

#include "Base/json_text.h"
#include "Tool/output.h"

namespace buckthorncart {

Result<JsonAnswer> FetchJson(const OperatorClient& client,
                             const std::string& method, const std::string& path,
                             const std::string& body) {
  auto answer = client.Fetch({method, path, {}, body});
  if (!answer) return tl::unexpected(answer.error());
  auto json = ParseJson<nlohmann::ordered_json>(answer->body);
  if (json.is_discarded()) {
    return Fail(Errc::kMalformedFrame, "answer of " + answer->daemon.ToString(),
                "a JSON body",
                "check that --daemon is the address of a buckthorncartd");
  }
  return JsonAnswer{answer->status, std::move(json)};
}

Result<nlohmann::ordered_json> FetchOrFail(const OperatorClient& client,
                                           const std::string& method,
                                           const std::string& path,
                                           const std::string& body) {
  auto answer = FetchJson(client, method, path, body);
  if (!answer) return tl::unexpected(answer.error());
  if (answer->body.contains("error")) {
    return tl::unexpected(FailureFromJson(answer->body));
  }
  return std::move(answer->body);
}

}  // namespace buckthorncart
