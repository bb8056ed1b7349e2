#pragma once
/// \file
/// HTTP/1.1 messages with a length.

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "socket.h"

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpMessage {
  /// Start line, such as "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string start_line;
  /// Names in lower case.
  Headers headers;
  std::string body;

  std::string Header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key == name) return value;
    }
    return {};
  }
  /// Request target.
  std::string Target() const {
    const size_t first = start_line.find(' ');
    return start_line.substr(first + 1, start_line.rfind(' ') - first - 1);
  }
  std::string Method() const {
    return start_line.substr(0, start_line.find(' '));
  }
  int Status() const {
    return std::atoi(start_line.substr(start_line.find(' ') + 1).c_str());
  }

  /// Encodes the message and adds its length.
  std::string Encode() const {
    std::string text = start_line + "\r\n";
    for (const auto& [key, value] : headers)
      text += key + ": " + value + "\r\n";
    text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
  }
};

/// Parses the head of a message. The text ends before the empty line.
inline HttpMessage ParseHead(std::string_view text) {
  HttpMessage message;
  size_t end = text.find("\r\n");
  message.start_line = text.substr(0, end);
  while (end != std::string_view::npos) {
    text.remove_prefix(end + 2);
    end = text.find("\r\n");
    const std::string_view line = text.substr(0, end);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    message.headers.emplace_back(std::move(name), value);
  }
  return message;
}

/// Receives a message from `socket`. `buf` holds received bytes that have not
/// been parsed. Returns `kTimeout` or `kClosed` if the message is incomplete.
inline Received ReceiveMessage(const Socket& socket, std::string& buf,
                               Time deadline, HttpMessage& message) {
  while (true) {
    const size_t head_end = buf.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      message = ParseHead(std::string_view(buf).substr(0, head_end));
      const size_t length =
          std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
      if (buf.size() >= head_end + 4 + length) {
        message.body = buf.substr(head_end + 4, length);
        buf.erase(0, head_end + 4 + length);
        return Received::kBytes;
      }
    }
    const auto left =
        std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    if (left <= 0ms) return Received::kTimeout;
    const Received received = socket.Receive(buf, left);
    if (received != Received::kBytes) return received;
  }
}

/// Sends one request on a new connection and returns the status of the answer,
/// or 0 if there is none within the timeout.
inline int Exchange(const Address& to, const HttpMessage& request,
                    Milliseconds timeout) {
  const Socket socket = Socket::Make();
  if (!socket.Connect(to, timeout) || !socket.Send(request.Encode())) return 0;
  std::string buf;
  HttpMessage answer;
  const Received received =
      ReceiveMessage(socket, buf, Clock::now() + timeout, answer);
  return received == Received::kBytes ? answer.Status() : 0;
}

}  // namespace review
