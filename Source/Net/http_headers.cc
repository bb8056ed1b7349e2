#include "Net/http_headers.h"

#include <array>
#include <string>

#include "Kernel/url_query.h"

namespace buckthorncart {
namespace {

/// Tokens that belong to one connection, that the library or the sender sets,
/// or that stand for parts of the request line.
constexpr bool IsHopByHop(int token) {
  switch (token) {
    case WSI_TOKEN_GET_URI:
    case WSI_TOKEN_POST_URI:
    case WSI_TOKEN_OPTIONS_URI:
    case WSI_TOKEN_PATCH_URI:
    case WSI_TOKEN_PUT_URI:
    case WSI_TOKEN_DELETE_URI:
    case WSI_TOKEN_HEAD_URI:
    case WSI_TOKEN_CONNECT:
    case WSI_TOKEN_HTTP_URI_ARGS:
    case WSI_TOKEN_HTTP:
    case WSI_TOKEN_HTTP1_0:
    case WSI_TOKEN_HOST:
    case WSI_TOKEN_CONNECTION:
    case WSI_TOKEN_UPGRADE:
    case WSI_TOKEN_TE:
    case WSI_TOKEN_PROXY:
    case WSI_TOKEN_HTTP2_SETTINGS:
    case WSI_TOKEN_HTTP_EXPECT:
    case WSI_TOKEN_HTTP_CONTENT_LENGTH:
    case WSI_TOKEN_HTTP_TRANSFER_ENCODING:
    case WSI_TOKEN_HTTP_PROXY_AUTHENTICATE:
    case WSI_TOKEN_HTTP_PROXY_AUTHORIZATION:
      return true;
    default:
      return false;
  }
}

/// Headers outside the library's table that are passed on.
constexpr std::string_view kPassedCustom[] = {
    header::kRequestId, header::kIdempotencyKey, header::kDeadline,
    header::kOutcome,   header::kReason,         header::kLoad,
    "traceparent",      "x-consent-id"};

constexpr const char* kMethods[] = {"GET",   "POST",   "OPTIONS", "PUT",
                                    "PATCH", "DELETE", "CONNECT", "HEAD"};

/// The library hands out paths and queries decoded; they are passed on encoded.
std::string Encode(std::string_view text) {
  constexpr std::string_view kPathCharacters = "/:@!$&'()*+,;=";
  return PercentEncode(text, kPathCharacters);
}

std::string ReadCustom(lws* wsi, const std::string& name_with_colon) {
  const int name_length = static_cast<int>(name_with_colon.size());
  const int n =
      lws_hdr_custom_length(wsi, name_with_colon.c_str(), name_length);
  if (n <= 0) return {};
  std::string value(static_cast<size_t>(n) + 1, '\0');
  lws_hdr_custom_copy(wsi, value.data(), n + 1, name_with_colon.c_str(),
                      name_length);
  value.resize(static_cast<size_t>(n));
  return value;
}

}  // namespace

std::string ReadToken(lws* wsi, lws_token_indexes token) {
  const int n = lws_hdr_total_length(wsi, token);
  if (n <= 0) return {};
  std::string value(static_cast<size_t>(n) + 1, '\0');
  const int copied = lws_hdr_copy(wsi, value.data(), n + 1, token);
  value.resize(copied > 0 ? static_cast<size_t>(copied) : 0);
  return value;
}

Headers ReadHeaders(lws* wsi) {
  Headers headers;
  for (int i = 0; i < _WSI_TOKEN_CLIENT_SENT_PROTOCOLS; ++i) {
    if (IsHopByHop(i)) continue;
    const auto token = static_cast<lws_token_indexes>(i);
    if (lws_hdr_total_length(wsi, token) <= 0) continue;
    const auto* text =
        reinterpret_cast<const char*>(lws_token_to_string(token));
    if (text == nullptr) continue;
    std::string name = text;
    if (name.empty() || name.front() == ':' || name.back() != ':') continue;
    name.pop_back();
    headers.push_back({std::move(name), ReadToken(wsi, token)});
  }
  for (const std::string_view name : kPassedCustom) {
    std::string value = ReadCustom(wsi, std::string(name) + ":");
    if (!value.empty()) headers.push_back({std::string(name), value});
  }
  return headers;
}

void ReadTarget(lws* wsi, std::string& method, std::string& path) {
  char* uri = nullptr;
  int uri_length = 0;
  const int n = lws_http_get_uri_and_method(wsi, &uri, &uri_length);
  if (n < 0 || n >= static_cast<int>(std::size(kMethods))) {
    method.clear();
    return;
  }
  method = kMethods[n];
  path = Encode({uri, static_cast<size_t>(uri_length)});
  std::array<char, 4096> buf{};
  char separator = '?';
  for (int i = 0;; ++i) {
    const int length =
        lws_hdr_copy_fragment(wsi, buf.data(), static_cast<int>(buf.size()),
                              WSI_TOKEN_HTTP_URI_ARGS, i);
    if (length < 0) break;
    const std::string_view pair(buf.data(), static_cast<size_t>(length));
    const size_t equals = pair.find('=');
    path += separator + Encode(pair.substr(0, equals));
    if (equals != std::string_view::npos) {
      path += "=" + Encode(pair.substr(equals + 1));
    }
    separator = '&';
  }
}

bool AddHeader(lws* wsi, std::string_view name, std::string_view value,
               unsigned char** p, unsigned char* end) {
  const std::string with_colon = std::string(name) + ":";
  return lws_add_http_header_by_name(
             wsi, reinterpret_cast<const unsigned char*>(with_colon.c_str()),
             reinterpret_cast<const unsigned char*>(value.data()),
             static_cast<int>(value.size()), p, end) == 0;
}

}  // namespace buckthorncart
