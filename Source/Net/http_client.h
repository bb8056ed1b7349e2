#pragma once
/// \file
/// HTTP client on libwebsockets.

#include <libwebsockets.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "Base/address.h"
#include "Base/result.h"
#include "Kernel/event.h"
#include "Net/loop.h"
#include "Wire/http.h"

namespace buckthorncart {

/// Receives the parts of answers; the last one has an end or a fault.
using HttpAnswerHandler =
    std::function<void(uint64_t id, AnswerPart part, BackendFault fault)>;

class HttpClient {
 public:
  HttpClient(Loop& loop, HttpAnswerHandler handler);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Must succeed before `Send`.
  Result<void> Open(const std::string& name);

  /// Sends `request` on a connection of its own. The answer may arrive before
  /// this returns.
  void Send(uint64_t id, Address to, HttpRequest request);
  /// Stops or goes on reading the answer to request `id`.
  void SetReading(uint64_t id, bool reading);
  /// Closes the connection of request `id`; its handler hears no more.
  void Cancel(uint64_t id);

 private:
  struct Transaction {
    HttpClient* client = nullptr;
    uint64_t id = 0;
    lws* wsi = nullptr;
    HttpRequest request;
    size_t body_offset = 0;
    /// A byte of the request may have left.
    bool sent = false;
    bool head_seen = false;
    /// The answer's framing tells where it ends.
    bool framed = false;
    bool ended = false;
    bool cancelled = false;
    bool paused = false;
  };

  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t len);
  int HandleCallback(Transaction& transaction, lws_callback_reasons reason,
                     void* in, size_t len);
  int AppendHeaders(Transaction& transaction, unsigned char** p, size_t len);
  int WriteBody(Transaction& transaction);
  int HandleHead(Transaction& transaction);
  int HandleReadable(Transaction& transaction);
  void End(Transaction& transaction, BackendFault fault);
  void Deliver(Transaction& transaction, AnswerPart part, BackendFault fault);

  Loop& loop_;
  HttpAnswerHandler handler_;
  lws_protocols protocols_[2];
  lws_vhost* vhost_ = nullptr;
  std::unordered_map<uint64_t, std::unique_ptr<Transaction>> transactions_;
};

}  // namespace buckthorncart
