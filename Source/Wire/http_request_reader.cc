#include "Wire/http_request_reader.h"

#include "Wire/message_parser.h"

namespace buckthorncart {

class HttpRequestReader::Parser {
 public:
  explicit Parser(const HttpLimits& limits) : messages(limits) {}
  MessageParser<true> messages;
  bool continue_taken = false;
};

HttpRequestReader::HttpRequestReader(const HttpLimits& limits)
    : parser_(std::make_unique<Parser>(limits)) {}

HttpRequestReader::~HttpRequestReader() = default;

void HttpRequestReader::Append(std::string_view bytes) {
  parser_->messages.Append(bytes);
}

ReadState HttpRequestReader::Advance() { return parser_->messages.Advance(); }

HttpRequest HttpRequestReader::Take() {
  MessageParser<true>& messages = parser_->messages;
  HttpRequest request;
  auto& message = messages.Get().get();
  request.method = MessageParser<true>::ToView(message.method_string());
  request.path = MessageParser<true>::ToView(message.target());
  request.headers = messages.TakeHeaders();
  request.body = std::move(message.body());
  messages.Reset();
  parser_->continue_taken = false;
  return request;
}

uint64_t HttpRequestReader::BodyBytes() const {
  const auto* beast_parser = parser_->messages.Current();
  return beast_parser == nullptr ? 0 : beast_parser->get().body().size();
}

uint64_t HttpRequestReader::AnnouncedBodyBytes() const {
  const auto* beast_parser = parser_->messages.Current();
  const bool known = beast_parser != nullptr && beast_parser->is_header_done();
  return known ? beast_parser->content_length().value_or(0) : 0;
}

size_t HttpRequestReader::UnparsedBytes() const {
  return parser_->messages.RestBytes();
}

uint64_t HttpRequestReader::BodyMemory() const {
  return parser_->messages.BodyMemory();
}

size_t HttpRequestReader::BufferBytes() const {
  return parser_->messages.BufferBytes();
}

void HttpRequestReader::Discard() { parser_->messages.Discard(); }

bool HttpRequestReader::KeepsAlive() const {
  const auto* beast_parser = parser_->messages.Current();
  return beast_parser != nullptr && beast_parser->keep_alive();
}

bool HttpRequestReader::TakeContinue() {
  const auto* beast_parser = parser_->messages.Current();
  if (beast_parser == nullptr || !beast_parser->is_header_done()) return false;
  if (beast_parser->is_done() || parser_->continue_taken) return false;
  const auto& message = beast_parser->get();
  const auto expect =
      MessageParser<true>::ToView(message[boost::beast::http::field::expect]);
  if (LowerCase(expect) != "100-continue") return false;
  parser_->continue_taken = true;
  return true;
}

}  // namespace buckthorncart
