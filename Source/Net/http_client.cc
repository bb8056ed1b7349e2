#include "Net/http_client.h"

#include <algorithm>
#include <utility>

#include "Net/http_headers.h"

namespace buckthorncart {
namespace {

constexpr size_t kReadBytes = 32'768;
constexpr size_t kWriteBytes = 32'768;

}  // namespace

HttpClient::HttpClient(Loop& loop, HttpAnswerHandler handler)
    : loop_(loop), handler_(std::move(handler)), protocols_{} {
  protocols_[0] = {"http-client", Callback, 0, 0, 0, this, 0};
}

Result<void> HttpClient::Open(const std::string& name) {
  auto vhost = loop_.AddVhost(name, {}, protocols_, false);
  if (!vhost) return tl::unexpected(vhost.error());
  vhost_ = *vhost;
  return {};
}

void HttpClient::Send(uint64_t id, Address to, HttpRequest request) {
  auto owned = std::make_unique<Transaction>();
  Transaction* transaction = owned.get();
  transaction->client = this;
  transaction->id = id;
  transaction->request = std::move(request);
  transactions_[id] = std::move(owned);
  const std::string ip = to.IpString();
  const std::string host = to.ToString();
  // The path is copied because a failure inside the call ends the
  // transaction.
  const std::string path = transaction->request.path;
  const std::string method = transaction->request.method;
  lws_client_connect_info info{};
  info.context = loop_.Context();
  info.vhost = vhost_;
  info.address = ip.c_str();
  info.port = to.port;
  info.path = path.c_str();
  info.host = host.c_str();
  info.method = method.c_str();
  info.local_protocol_name = protocols_[0].name;
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.opaque_user_data = transaction;
  lws* wsi = lws_client_connect_via_info(&info);
  const auto it = transactions_.find(id);
  if (it == transactions_.end()) return;
  if (wsi == nullptr) {
    End(*it->second, BackendFault::kNotConnected);
    return;
  }
  it->second->wsi = wsi;
}

void HttpClient::Cancel(uint64_t id) {
  const auto it = transactions_.find(id);
  if (it == transactions_.end()) return;
  Transaction& transaction = *it->second;
  transaction.cancelled = true;
  if (transaction.wsi != nullptr) {
    lws_set_timeout(transaction.wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                    LWS_TO_KILL_ASYNC);
  }
}

void HttpClient::SetReading(uint64_t id, bool reading) {
  const auto it = transactions_.find(id);
  if (it == transactions_.end() || it->second->wsi == nullptr) return;
  it->second->paused = !reading;
  lws_rx_flow_control(it->second->wsi, reading ? 1 : 0);
}

int HttpClient::Callback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                         void* in, size_t len) {
  auto* transaction = static_cast<Transaction*>(lws_get_opaque_user_data(wsi));
  if (transaction == nullptr) return 0;
  transaction->wsi = wsi;
  HttpClient* client = transaction->client;
  const int rc = client->HandleCallback(*transaction, reason, in, len);
  const bool closed = reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP ||
                      reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR;
  if (!closed) return rc;
  lws_set_opaque_user_data(wsi, nullptr);
  client->transactions_.erase(transaction->id);
  return rc;
}

int HttpClient::HandleCallback(Transaction& transaction,
                               lws_callback_reasons reason, void* in,
                               size_t len) {
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return AppendHeaders(transaction, static_cast<unsigned char**>(in), len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return WriteBody(transaction);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return HandleHead(transaction);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return HandleReadable(transaction);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ: {
      AnswerPart part;
      part.body.assign(static_cast<const char*>(in), len);
      Deliver(transaction, std::move(part), BackendFault::kNone);
      return 0;
    }
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      End(transaction, BackendFault::kNone);
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      End(transaction, transaction.sent ? BackendFault::kConnectionBroken
                                        : BackendFault::kNotConnected);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP: {
      const bool whole = transaction.head_seen && !transaction.framed;
      End(transaction,
          whole ? BackendFault::kNone : BackendFault::kConnectionBroken);
      return 0;
    }
    default:
      return 0;
  }
}

int HttpClient::AppendHeaders(Transaction& transaction, unsigned char** p,
                              size_t len) {
  transaction.sent = true;
  lws* wsi = transaction.wsi;
  unsigned char* end = *p + len - 1;
  for (const Header& header : transaction.request.headers) {
    if (!AddHeader(wsi, header.name, header.value, p, end)) return -1;
  }
  const std::string& body = transaction.request.body;
  const std::string& method = transaction.request.method;
  const bool has_length =
      !body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
  if (!has_length) return 0;
  if (!AddHeader(wsi, "content-length", std::to_string(body.size()), p, end)) {
    return -1;
  }
  if (body.empty()) return 0;
  lws_client_http_body_pending(wsi, 1);
  lws_callback_on_writable(wsi);
  return 0;
}

int HttpClient::WriteBody(Transaction& transaction) {
  const std::string& body = transaction.request.body;
  const size_t n = std::min(body.size() - transaction.body_offset, kWriteBytes);
  if (n == 0) return 0;
  std::string bytes(LWS_PRE, '\0');
  bytes.append(body, transaction.body_offset, n);
  transaction.body_offset += n;
  const bool last = transaction.body_offset == body.size();
  if (last) lws_client_http_body_pending(transaction.wsi, 0);
  const int written = lws_write(
      transaction.wsi, reinterpret_cast<unsigned char*>(bytes.data()) + LWS_PRE,
      n, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
  if (written < 0) return -1;
  if (!last) lws_callback_on_writable(transaction.wsi);
  return 0;
}

int HttpClient::HandleHead(Transaction& transaction) {
  lws* wsi = transaction.wsi;
  transaction.head_seen = true;
  AnswerPart part;
  part.status = static_cast<uint16_t>(lws_http_client_http_response(wsi));
  part.headers = ReadHeaders(wsi);
  const std::string length = ReadToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  if (!length.empty()) part.headers.push_back({"content-length", length});
  transaction.framed =
      !length.empty() ||
      lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  Deliver(transaction, std::move(part), BackendFault::kNone);
  return 0;
}

int HttpClient::HandleReadable(Transaction& transaction) {
  if (transaction.paused) return 0;
  char buf[LWS_PRE + kReadBytes];
  char* p = buf + LWS_PRE;
  int n = kReadBytes;
  return lws_http_client_read(transaction.wsi, &p, &n) < 0 ? -1 : 0;
}

void HttpClient::Deliver(Transaction& transaction, AnswerPart part,
                         BackendFault fault) {
  if (transaction.cancelled || transaction.ended) return;
  handler_(transaction.id, std::move(part), fault);
}

void HttpClient::End(Transaction& transaction, BackendFault fault) {
  AnswerPart part;
  part.end =
      fault == BackendFault::kNone ? AnswerEnd::kComplete : AnswerEnd::kBroken;
  Deliver(transaction, std::move(part), fault);
  transaction.ended = true;
  if (transaction.wsi == nullptr) transactions_.erase(transaction.id);
}

}  // namespace buckthorncart
