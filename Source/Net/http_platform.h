#pragma once
/// \file
/// Adapter to a platform that is accessed over HTTP.

#include <cstdint>
#include <map>
#include <string>

#include "Base/address.h"
#include "Net/http_client.h"
#include "Net/loop.h"
#include "Platform/platform_adapter.h"

namespace buckthorncart {

/// Sends each request as `POST /v1/platform` with a msgpack body; see
/// docs/reference/platform-protocol.md.
class HttpPlatform {
 public:
  HttpPlatform(Loop& loop, Address address, PlatformReplyHandler handler);
  Result<void> Open();
  void Submit(uint64_t tag, const PlatformRequest& request);

 private:
  struct Pending {
    uint16_t status = 0;
    std::string body;
  };
  void OnPart(uint64_t tag, const AnswerPart& part, BackendFault fault);

  Loop& loop_;
  Address address_;
  PlatformReplyHandler handler_;
  HttpClient client_;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace buckthorncart
