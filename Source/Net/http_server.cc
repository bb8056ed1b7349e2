#include "Net/http_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Net/http_headers.h"

namespace buckthorncart {
namespace {

constexpr size_t kMaxHeadBytes = 16'384;
constexpr size_t kWriteBytes = 32'768;
/// Written bytes are reported in pieces of at least this size.
constexpr size_t kReportBytes = 65'536;
/// Oversized bodies up to this are read to their end, so that the peer gets
/// the answer instead of a reset connection.
constexpr uint64_t kMaxDiscardedBytes = 64U << 20U;
constexpr size_t kChunkOverhead = 32;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

bool HasBody(uint16_t status) {
  constexpr uint16_t kNoContent = 204;
  constexpr uint16_t kNotModified = 304;
  return status != kNoContent && status != kNotModified;
}

}  // namespace

HttpServer::HttpServer(Loop& loop, HttpServerLimits limits,
                       HttpServerHandler& handler, uint64_t last_id)
    : loop_(loop),
      limits_(limits),
      handler_(handler),
      protocols_{},
      next_id_(last_id) {
  protocols_[0] = {"http-server", Callback, 0, 0, 0, this, 0};
}

Result<void> HttpServer::Listen(const std::string& name, Address address) {
  auto vhost = loop_.AddVhost(name, address, protocols_, false);
  if (!vhost) return tl::unexpected(vhost.error());
  return {};
}

int HttpServer::Callback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                         void* in, size_t len) {
  const lws_protocols* protocol = lws_get_protocol(wsi);
  if (protocol == nullptr || protocol->user == nullptr) {
    return lws_callback_http_dummy(wsi, reason, nullptr, in, len);
  }
  return static_cast<HttpServer*>(protocol->user)
      ->HandleCallback(wsi, reason, in, len);
}

int HttpServer::HandleCallback(lws* wsi, lws_callback_reasons reason, void* in,
                               size_t len) {
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return HandleRequestHead(wsi);
    case LWS_CALLBACK_HTTP_BODY:
      return HandleBody(wsi, {static_cast<const char*>(in), len});
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return HandleBodyEnd(wsi);
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return HandleWriteable(wsi);
    case LWS_CALLBACK_CLOSED_HTTP:
      HandleClosed(wsi);
      return 0;
    default:
      return 0;
  }
}

HttpServer::Session* HttpServer::Find(lws* wsi) {
  const auto it = sessions_.find(wsi);
  return it == sessions_.end() ? nullptr : it->second.get();
}

int HttpServer::HandleRequestHead(lws* wsi) {
  if (sessions_.size() >= limits_.connections && Find(wsi) == nullptr) {
    return -1;
  }
  std::unique_ptr<Session>& session = sessions_[wsi];
  session = std::make_unique<Session>();
  session->wsi = wsi;
  session->id = ++next_id_;
  by_id_[session->id] = session.get();
  ReadTarget(wsi, session->request.method, session->request.path);
  session->head_request = session->request.method == "HEAD";
  if (session->request.method.empty()) return -1;
  session->request.headers = ReadHeaders(wsi);
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
    AnswerAtOnce(*session, handler_.LengthRequired());
    return 0;
  }
  const std::string length = ReadToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  uint64_t body_length = 0;
  std::from_chars(length.data(), length.data() + length.size(), body_length);
  const std::string& method = session->request.method;
  const bool needs_length =
      method == "POST" || method == "PUT" || method == "PATCH";
  if (length.empty() && needs_length) {
    AnswerAtOnce(*session, handler_.LengthRequired());
    return 0;
  }
  if (body_length > kMaxDiscardedBytes) {
    AnswerAtOnce(*session, handler_.BodyTooLarge());
    return 0;
  }
  session->too_large = body_length > limits_.body_bytes;
  if (body_length == 0) Dispatch(*session);
  return 0;
}

int HttpServer::HandleBody(lws* wsi, std::string_view bytes) {
  Session* session = Find(wsi);
  if (session == nullptr || session->dispatched) return 0;
  session->body_seen += bytes.size();
  if (!session->too_large) session->request.body.append(bytes);
  return 0;
}

int HttpServer::HandleBodyEnd(lws* wsi) {
  Session* session = Find(wsi);
  if (session == nullptr || session->dispatched) return 0;
  if (session->too_large) {
    AnswerAtOnce(*session, handler_.BodyTooLarge());
    return 0;
  }
  Dispatch(*session);
  return 0;
}

void HttpServer::Dispatch(Session& session) {
  session.dispatched = true;
  lws_set_timeout(session.wsi, NO_PENDING_TIMEOUT, 0);
  handler_.OnRequest(session.id, std::move(session.request));
}

void HttpServer::AnswerAtOnce(Session& session, AnswerPart part) {
  session.dispatched = true;
  Answer(session.id, std::move(part), true);
}

void HttpServer::Answer(uint64_t id, AnswerPart part, bool close) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return;
  Session& session = *it->second;
  session.close = session.close || close;
  if (session.cut) return;
  session.buffered += part.body.size();
  session.parts.push_back(std::move(part));
  lws_callback_on_writable(session.wsi);
}

void HttpServer::Cut(uint64_t id) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return;
  it->second->cut = true;
  lws_callback_on_writable(it->second->wsi);
}

size_t HttpServer::BufferedBytes(uint64_t id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? 0 : it->second->buffered;
}

int HttpServer::HandleWriteable(lws* wsi) {
  Session* session = Find(wsi);
  if (session == nullptr) return 0;
  if (session->cut) return -1;
  while (!session->parts.empty()) {
    if (lws_send_pipe_choked(wsi) != 0) {
      lws_callback_on_writable(wsi);
      return 0;
    }
    const AnswerPart& part = session->parts.front();
    if (part.IsHead() && session->part_offset == 0) {
      if (WriteHead(*session, part) < 0) return -1;
    }
    if (WriteBody(*session, part) < 0) return -1;
    if (session->part_offset < part.body.size()) {
      lws_callback_on_writable(wsi);
      return 0;
    }
    const AnswerEnd end = part.end;
    session->buffered -= part.body.size();
    session->drained += part.body.size();
    session->part_offset = 0;
    session->parts.pop_front();
    if (end != AnswerEnd::kMore) return FinishAnswer(*session, end);
  }
  if (session->drained >= kReportBytes) {
    handler_.OnDrained(session->id, std::exchange(session->drained, 0));
  }
  return 0;
}

int HttpServer::WriteHead(Session& session, const AnswerPart& part) {
  unsigned char buf[LWS_PRE + kMaxHeadBytes];
  unsigned char* start = buf + LWS_PRE;
  unsigned char* p = start;
  unsigned char* end = buf + sizeof(buf) - 1;
  lws* wsi = session.wsi;
  if (lws_add_http_header_status(wsi, part.status, &p, end) != 0) return -1;
  for (const Header& header : part.headers) {
    if (header.name == "content-length") continue;
    if (!AddHeader(wsi, header.name, header.value, &p, end)) return -1;
  }
  const std::string_view length = FindHeader(part.headers, "content-length");
  const bool whole = part.end == AnswerEnd::kComplete;
  session.chunked = !whole && length.empty() && !session.head_request;
  if (!HasBody(part.status)) {
    session.chunked = false;
  } else if (session.chunked) {
    if (!AddHeader(wsi, "transfer-encoding", "chunked", &p, end)) return -1;
  } else {
    const std::string own_length = std::to_string(part.body.size());
    const bool use_given = !length.empty() && (!whole || session.head_request);
    if (!AddHeader(wsi, "content-length", use_given ? length : own_length, &p,
                   end)) {
      return -1;
    }
  }
  if (session.close && !AddHeader(wsi, "connection", "close", &p, end)) {
    return -1;
  }
  return lws_finalize_write_http_header(wsi, start, &p, end);
}

int HttpServer::WriteBody(Session& session, const AnswerPart& part) {
  if (session.head_request) {
    session.part_offset = part.body.size();
    return 0;
  }
  const size_t n =
      std::min(part.body.size() - session.part_offset, kWriteBytes);
  const bool last_of_answer = part.end == AnswerEnd::kComplete &&
                              session.part_offset + n == part.body.size();
  std::string bytes(LWS_PRE, '\0');
  bytes.reserve(LWS_PRE + n + kChunkOverhead);
  if (session.chunked && n > 0) {
    char size[kChunkOverhead];
    bytes.append(size, static_cast<size_t>(
                           std::snprintf(size, sizeof(size), "%zx\r\n", n)));
  }
  bytes.append(part.body, session.part_offset, n);
  if (session.chunked && n > 0) bytes.append("\r\n");
  if (session.chunked && last_of_answer) bytes.append(kLastChunk);
  session.part_offset += n;
  const size_t length = bytes.size() - LWS_PRE;
  if (length == 0) return 0;
  return lws_write(session.wsi,
                   reinterpret_cast<unsigned char*>(bytes.data()) + LWS_PRE,
                   length, LWS_WRITE_HTTP);
}

int HttpServer::FinishAnswer(Session& session, AnswerEnd end) {
  lws* wsi = session.wsi;
  const bool close = session.close || end == AnswerEnd::kBroken;
  by_id_.erase(session.id);
  sessions_.erase(wsi);
  if (end == AnswerEnd::kBroken) return -1;
  const int completed = lws_http_transaction_completed(wsi);
  return close || completed != 0 ? -1 : 0;
}

void HttpServer::HandleClosed(lws* wsi) {
  const auto it = sessions_.find(wsi);
  if (it == sessions_.end()) return;
  const uint64_t id = it->second->id;
  const bool dispatched = it->second->dispatched;
  by_id_.erase(id);
  sessions_.erase(it);
  if (dispatched) handler_.OnLeft(id);
}

}  // namespace buckthorncart
