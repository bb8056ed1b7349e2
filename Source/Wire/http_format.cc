#include "Wire/http_format.h"

#include <algorithm>
#include <array>

namespace buckthorncart {
namespace {

struct Reason {
  uint16_t status;
  std::string_view phrase;
};

constexpr std::array kReasons = {
    Reason{200, "OK"},
    Reason{201, "Created"},
    Reason{202, "Accepted"},
    Reason{204, "No Content"},
    Reason{304, "Not Modified"},
    Reason{400, "Bad Request"},
    Reason{404, "Not Found"},
    Reason{405, "Method Not Allowed"},
    Reason{408, "Request Timeout"},
    Reason{411, "Length Required"},
    Reason{412, "Precondition Failed"},
    Reason{413, "Content Too Large"},
    Reason{421, "Misdirected Request"},
    Reason{422, "Unprocessable Content"},
    Reason{429, "Too Many Requests"},
    Reason{431, "Request Header Fields Too Large"},
    Reason{500, "Internal Server Error"},
    Reason{502, "Bad Gateway"},
    Reason{503, "Service Unavailable"},
    Reason{504, "Gateway Timeout"},
};

std::string_view PhraseOf(uint16_t status) {
  const auto* it =
      std::find_if(kReasons.begin(), kReasons.end(),
                   [status](const Reason& r) { return r.status == status; });
  return it == kReasons.end() ? "Status" : it->phrase;
}

void AddHeader(std::string& out, std::string_view name,
               std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

bool NeedsLength(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

}  // namespace

std::string FormatRequest(const HttpRequest& request, std::string_view host) {
  constexpr size_t kUsualHeadBytes = 512;
  std::string out;
  out.reserve(kUsualHeadBytes + request.body.size());
  out.append(request.method).append(" ").append(request.path);
  out.append(" HTTP/1.1\r\n");
  if (FindHeader(request.headers, "host").empty()) AddHeader(out, "host", host);
  for (const Header& header : request.headers) {
    AddHeader(out, header.name, header.value);
  }
  if (NeedsLength(request)) {
    AddHeader(out, "content-length", std::to_string(request.body.size()));
  }
  out.append("\r\n").append(request.body);
  return out;
}

std::string FormatAnswerHead(const AnswerPart& head, AnswerFraming framing,
                             size_t length, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
  out.append(PhraseOf(head.status)).append("\r\n");
  for (const Header& header : head.headers) {
    if (header.name == "content-length") continue;
    AddHeader(out, header.name, header.value);
  }
  if (framing == AnswerFraming::kLength) {
    AddHeader(out, "content-length", std::to_string(length));
  } else if (framing == AnswerFraming::kChunked) {
    AddHeader(out, "transfer-encoding", "chunked");
  }
  if (close) AddHeader(out, "connection", "close");
  out.append("\r\n");
  return out;
}

}  // namespace buckthorncart
