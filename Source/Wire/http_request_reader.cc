#include "Wire/http_request_reader.h"

#include "Wire/message_parser.h"

namespace buckthorncart {

class HttpRequestReader::Parser {
 public:
  explicit Parser(const HttpLimits& limits) : messages(limits) {}
  MessageParser<true> messages;
  bool continue_asked = false;
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
  parser_->continue_asked = false;
  return request;
}

bool HttpRequestReader::KeepsAlive() const {
  const auto* library = parser_->messages.Current();
  return library != nullptr && library->keep_alive();
}

bool HttpRequestReader::TakeContinue() {
  const auto* library = parser_->messages.Current();
  if (library == nullptr || !library->is_header_done()) return false;
  if (library->is_done() || parser_->continue_asked) return false;
  const auto& message = library->get();
  const auto expect =
      MessageParser<true>::ToView(message[boost::beast::http::field::expect]);
  if (LowerCase(expect) != "100-continue") return false;
  parser_->continue_asked = true;
  return true;
}

}  // namespace buckthorncart
