#pragma once
/// \file
/// Headers between libwebsockets and the kernel.

#include <libwebsockets.h>

#include <string>
#include <string_view>

#include "Wire/http.h"

namespace buckthorncart {

/// End-to-end headers of the message on `wsi`. Headers of one connection and
/// those that the sender of a message sets itself are left out.
Headers ReadHeaders(lws* wsi);

/// Value of a header that the library knows, or empty.
std::string ReadToken(lws* wsi, lws_token_indexes token);

/// Method, path and query of the request on `wsi`.
void ReadTarget(lws* wsi, std::string& method, std::string& path);

/// Adds a header at `p`; false when it does not fit.
bool AddHeader(lws* wsi, std::string_view name, std::string_view value,
               unsigned char** p, unsigned char* end);

}  // namespace buckthorncart
