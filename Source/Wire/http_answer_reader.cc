#include "Wire/http_answer_reader.h"

#include <charconv>

#include "Wire/answer_status.h"
#include "Wire/message_parser.h"

namespace buckthorncart {
namespace {

constexpr unsigned kFirstFinalStatus = 200;
/// Maximum number of interim answers before a final one.
constexpr uint32_t kMaxInterimAnswers = 16;

}  // namespace

class HttpAnswerReader::Parser {
 public:
  explicit Parser(const HttpLimits& limits) : messages(limits) {}
  MessageParser<false> messages;
  bool is_head_request = false;
  uint32_t interim_answers = 0;
  bool head_taken = false;
  bool headers_parsed = false;
  Headers headers;
};

HttpAnswerReader::HttpAnswerReader(const HttpLimits& limits)
    : parser_(std::make_unique<Parser>(limits)) {}

HttpAnswerReader::~HttpAnswerReader() = default;

void HttpAnswerReader::Begin(std::string_view method) {
  parser_->messages.Reset();
  parser_->head_taken = false;
  parser_->headers_parsed = false;
  parser_->interim_answers = 0;
  parser_->is_head_request = method == "HEAD";
}

void HttpAnswerReader::Append(std::string_view bytes) {
  parser_->messages.Append(bytes);
}

ReadState HttpAnswerReader::Advance() {
  MessageParser<false>& messages = parser_->messages;
  while (true) {
    messages.Get().skip(parser_->is_head_request);
    const ReadState state = messages.Advance();
    const bool has_head = messages.Get().is_header_done();
    const unsigned status =
        has_head ? messages.Get().get().result_int() : kFirstFinalStatus;
    if (!IsValidStatus(status)) return ReadState::kMalformed;
    const bool interim = status < kFirstFinalStatus;
    if (state != ReadState::kWhole || !interim) return state;
    if (++parser_->interim_answers > kMaxInterimAnswers)
      return ReadState::kMalformed;
    messages.Reset();
  }
}

ReadState HttpAnswerReader::Finish() { return parser_->messages.Finish(); }

bool HttpAnswerReader::HasHead() const {
  const auto* beast_parser = parser_->messages.Current();
  return beast_parser != nullptr && beast_parser->is_header_done();
}

const Headers& HttpAnswerReader::Peek() {
  if (!std::exchange(parser_->headers_parsed, true)) {
    parser_->headers = parser_->messages.TakeHeaders();
  }
  return parser_->headers;
}

AnswerPart HttpAnswerReader::Take() {
  auto& message = parser_->messages.Get().get();
  AnswerPart part;
  if (!std::exchange(parser_->head_taken, true)) {
    part.status = static_cast<uint16_t>(message.result_int());
    Peek();
    part.headers = std::move(parser_->headers);
    const auto length = message[boost::beast::http::field::content_length];
    if (!length.empty()) {
      part.headers.push_back(
          {"content-length",
           std::string(MessageParser<false>::ToView(length))});
    }
  }
  part.body = TakeBody();
  if (parser_->messages.Get().is_done()) part.end = AnswerEnd::kComplete;
  return part;
}

std::string HttpAnswerReader::TakeBody() {
  return std::exchange(parser_->messages.Get().get().body(), {});
}

size_t HttpAnswerReader::BodyBytes() const {
  const auto* beast_parser = parser_->messages.Current();
  return beast_parser == nullptr ? 0 : beast_parser->get().body().size();
}

bool HttpAnswerReader::HasRest() const { return parser_->messages.HasRest(); }

bool HttpAnswerReader::KeepsAlive() const {
  const auto* beast_parser = parser_->messages.Current();
  return beast_parser != nullptr && beast_parser->keep_alive();
}

unsigned HttpAnswerReader::KeepAliveSeconds() const {
  const auto* beast_parser = parser_->messages.Current();
  if (beast_parser == nullptr) return 0;
  const auto value = MessageParser<false>::ToView(
      beast_parser->get()[boost::beast::http::field::keep_alive]);
  constexpr std::string_view kName = "timeout=";
  const size_t name_start = value.find(kName);
  if (name_start == std::string_view::npos) return 0;
  unsigned seconds = 0;
  const char* start = value.data() + name_start + kName.size();
  std::from_chars(start, value.data() + value.size(), seconds);
  return seconds;
}

}  // namespace buckthorncart
