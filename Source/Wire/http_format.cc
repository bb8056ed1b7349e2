#include "Wire/http_format.h"

#include <algorithm>
#include <array>

namespace buckthorncart {
namespace {

struct StatusPhrase {
  uint16_t status;
  std::string_view phrase;
};

constexpr std::array kStatusPhrases = {
    StatusPhrase{200, "OK"},
    StatusPhrase{201, "Created"},
    StatusPhrase{202, "Accepted"},
    StatusPhrase{204, "No Content"},
    StatusPhrase{304, "Not Modified"},
    StatusPhrase{400, "Bad Request"},
    StatusPhrase{401, "Unauthorized"},
    StatusPhrase{404, "Not Found"},
    StatusPhrase{405, "Method Not Allowed"},
    StatusPhrase{408, "Request Timeout"},
    StatusPhrase{411, "Length Required"},
    StatusPhrase{412, "Precondition Failed"},
    StatusPhrase{413, "Content Too Large"},
    StatusPhrase{421, "Misdirected Request"},
    StatusPhrase{422, "Unprocessable Content"},
    StatusPhrase{429, "Too Many Requests"},
    StatusPhrase{431, "Request Header Fields Too Large"},
    StatusPhrase{500, "Internal Server Error"},
    StatusPhrase{502, "Bad Gateway"},
    StatusPhrase{503, "Service Unavailable"},
    StatusPhrase{504, "Gateway Timeout"},
};

std::string_view PhraseOf(uint16_t status) {
  const auto* it = std::find_if(
      kStatusPhrases.begin(), kStatusPhrases.end(),
      [status](const StatusPhrase& entry) { return entry.status == status; });
  return it == kStatusPhrases.end() ? "Status" : it->phrase;
}

/// Appends a part of a head. Characters that would end its line are replaced by
/// spaces (RFC 9110, 5.5), so that one message can't contain another one.
void AppendText(std::string& out, std::string_view text) {
  constexpr std::string_view kLineEnds("\r\n\0", 3);
  const size_t start = out.size();
  out.append(text);
  size_t i = out.find_first_of(kLineEnds, start);
  for (; i != std::string::npos; i = out.find_first_of(kLineEnds, i)) {
    out[i] = ' ';
  }
}

void AddHeader(std::string& out, std::string_view name,
               std::string_view value) {
  AppendText(out, name);
  out.append(": ");
  AppendText(out, value);
  out.append("\r\n");
}

bool NeedsLength(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

}  // namespace

std::string FormatRequestHead(const HttpRequest& request,
                              std::string_view host) {
  constexpr size_t kTypicalHeadBytes = 512;
  std::string out;
  out.reserve(kTypicalHeadBytes);
  AppendText(out, request.method);
  out.append(" ");
  AppendText(out, request.path);
  out.append(" HTTP/1.1\r\n");
  if (FindHeader(request.headers, "host").empty()) AddHeader(out, "host", host);
  for (const Header& header : request.headers) {
    AddHeader(out, header.name, header.value);
  }
  if (NeedsLength(request)) {
    AddHeader(out, "content-length", std::to_string(request.body.size()));
  }
  out.append("\r\n");
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
