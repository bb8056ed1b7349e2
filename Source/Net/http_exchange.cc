#include "Net/http_exchange.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "Net/client_memory.h"
#include "Wire/http_request_reader.h"

namespace buckthorncart {
namespace {

bool HasBody(uint16_t status) {
  constexpr uint16_t kNoContent = 204;
  constexpr uint16_t kNotModified = 304;
  return status != kNoContent && status != kNotModified;
}

size_t SizeOf(const HttpRequest& request) {
  size_t bytes =
      request.method.size() + request.path.size() + request.body.size();
  for (const Header& header : request.headers) {
    bytes += sizeof(header) + header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace

RequestMemory MemoryOfRequest(const HttpRequestReader& reader) {
  const uint64_t body_bytes = reader.BodyMemory();
  if (body_bytes > ClientMemory::kSmallBodyBytes)
    return {body_bytes, reader.BufferBytes()};
  return {0, reader.BufferBytes() + body_bytes};
}

HttpExchange::HttpExchange(HttpRequest request, Time read_at,
                           const RequestMemory& memory)
    : request_(std::move(request)),
      read_at_(read_at),
      memory_(memory),
      request_bytes_(SizeOf(request_)),
      is_head_request_(request_.method == "HEAD") {}

HttpExchange::HttpExchange(AnswerPart answer) : started_(true) {
  Add(std::move(answer));
}

HttpRequest HttpExchange::Start(uint64_t id, bool overlaps) {
  id_ = id;
  started_ = true;
  overlaps_ = overlaps;
  return std::move(request_);
}

void HttpExchange::Add(AnswerPart part) {
  if (complete_) return;
  complete_ = part.end != AnswerEnd::kMore;
  buffered_bytes_ += part.body.size();
  parts_.push_back(std::move(part));
}

bool HttpExchange::IsBrokenNext() const {
  return HasPart() && parts_.front().end == AnswerEnd::kBroken;
}

std::string HttpExchange::FormatNext(bool close) {
  constexpr size_t kChunkFramingBytes = 32;
  const AnswerPart part = std::move(parts_.front());
  parts_.pop_front();
  buffered_bytes_ -= part.body.size();
  written_bytes_ += part.body.size();
  std::string out;
  if (part.IsHead()) out = FormatHead(part, close);
  const size_t n = is_head_request_ ? 0 : part.body.size();
  out.reserve(out.size() + n + kChunkFramingBytes);
  const bool chunked = framing_ == AnswerFraming::kChunked;
  if (chunked && n > 0) {
    char size[kChunkFramingBytes];
    out.append(size, static_cast<size_t>(
                         std::snprintf(size, sizeof(size), "%zx\r\n", n)));
  }
  if (framing_ != AnswerFraming::kNone) out.append(part.body, 0, n);
  if (chunked && n > 0) out.append("\r\n");
  if (chunked && part.end == AnswerEnd::kComplete) out.append("0\r\n\r\n");
  return out;
}

size_t HttpExchange::TakeWrittenBytes(size_t least) {
  return written_bytes_ < least ? 0 : std::exchange(written_bytes_, 0);
}

std::string HttpExchange::FormatHead(const AnswerPart& part, bool close) {
  const std::string_view given_length =
      FindHeader(part.headers, "content-length");
  const bool complete = part.end == AnswerEnd::kComplete;
  size_t length = part.body.size();
  const bool use_given =
      !given_length.empty() && (!complete || is_head_request_);
  if (use_given)
    length = std::strtoull(std::string(given_length).c_str(), nullptr, 10);
  framing_ = AnswerFraming::kLength;
  if (!HasBody(part.status)) {
    framing_ = AnswerFraming::kNone;
  } else if (!complete && given_length.empty() && !is_head_request_) {
    framing_ = AnswerFraming::kChunked;
  }
  return FormatAnswerHead(part, framing_, length, close);
}

}  // namespace buckthorncart
