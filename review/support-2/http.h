#pragma once

/// \file
/// HTTP/1.1 messages, a server that runs in threads, and a client.

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "record.h"
#include "sockets.h"

namespace review {

/// A request or an answer with a body of known length.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  std::string Word(size_t n) const {
    size_t begin = 0;
    for (size_t i = 0; i < n && begin != std::string::npos; ++i) {
      begin = start_line.find(' ', begin);
      if (begin != std::string::npos) ++begin;
    }
    if (begin == std::string::npos) return "";
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
};

class MessageReader {
 public:
  explicit MessageReader(int fd) : fd_(fd) {}

  /// Returns the next message, or nothing if the connection ends or nothing
  /// arrives for `timeout_ms`.
  std::optional<Message> Next(int timeout_ms) {
    size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(timeout_ms)) return std::nullopt;
    }
    Message message;
    ParseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    size_t length = 0;
    const std::string text = message.Get("content-length");
    if (!text.empty()) length = std::strtoull(text.c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(timeout_ms)) return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }
  /// True if the last failure was the end of the connection.
  bool Ended() const { return ended_; }

 private:
  bool Fill(int timeout_ms) {
    pollfd entry{fd_, POLLIN, 0};
    if (poll(&entry, 1, timeout_ms) <= 0) return false;
    char bytes[16'384];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }
  static void ParseHead(const std::string& head, Message& message) {
    size_t begin = 0;
    while (begin <= head.size()) {
      size_t end = head.find("\r\n", begin);
      if (end == std::string::npos) end = head.size();
      const std::string line = head.substr(begin, end - begin);
      begin = end + 2;
      if (message.start_line.empty()) {
        message.start_line = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      });
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }

  int fd_;
  std::string buffer_;
  bool ended_ = false;
};

inline std::string MakeAnswer(int status, const std::string& headers,
                              const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& key) {
  const size_t mark = target.find('?');
  std::string rest =
      mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
  const size_t at = rest.find("&" + key + "=");
  if (at == std::string::npos) return "";
  const size_t begin = at + key.size() + 2;
  const std::string raw = rest.substr(begin, rest.find('&', begin) - begin);
  std::string value;
  for (size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] != '%' || i + 2 >= raw.size()) {
      value.push_back(raw[i]);
      continue;
    }
    value.push_back(static_cast<char>(
        std::strtoul(raw.substr(i + 1, 2).c_str(), nullptr, 16)));
    i += 2;
  }
  return value;
}

/// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  /// Serves a connection until it returns.
  using Serve = std::function<void(int fd)>;

  Server(Endpoint endpoint, Serve serve)
      : endpoint_(std::move(endpoint)), serve_(std::move(serve)) {}
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in name = ToSocketAddress(endpoint_);
    const bool listening =
        bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0 &&
        listen(fd, 512) == 0;
    if (!listening) {
      close(fd);
      return false;
    }
    running_ = true;
    listener_ = fd;
    acceptor_ = std::thread([this, fd] { Accept(fd); });
    return true;
  }

  /// Closes the listening socket and resets all connections.
  void Stop() {
    if (!running_.exchange(false)) return;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : connections_) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(fd, SHUT_RD);
      }
    }
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  bool IsRunning() const { return running_; }

 private:
  void Accept(int listener) {
    while (running_) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mutex_);
      connections_.insert(fd);
      threads_.emplace_back([this, fd] {
        serve_(fd);
        const std::lock_guard inner(mutex_);
        connections_.erase(fd);
        close(fd);
      });
    }
  }

  Endpoint endpoint_;
  Serve serve_;
  std::atomic<bool> running_ = false;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> connections_;
  std::vector<std::thread> threads_;
};

struct Outcome {
  /// 0 if the connection ended without a complete answer.
  int status = 0;
  Message answer;
  double sent_at = 0;
  double answered_at = 0;
};

inline Outcome CallHttp(const Endpoint& to, const std::string& head,
                        const std::string& body, int timeout_ms) {
  Outcome outcome;
  outcome.sent_at = Now();
  const int fd = Connect(to);
  if (fd < 0) return outcome;
  if (SendAll(fd, head + body)) {
    MessageReader reader(fd);
    auto answer = reader.Next(timeout_ms);
    if (answer) {
      outcome.status = std::atoi(answer->Word(1).c_str());
      outcome.answer = std::move(*answer);
    }
  }
  outcome.answered_at = Now();
  close(fd);
  return outcome;
}

/// Sends one request with an attempt id on a connection of its own.
inline Outcome Request(const Endpoint& to, const std::string& method,
                       const std::string& host, const std::string& path,
                       const std::string& id, int timeout_ms,
                       const std::string& body = {}) {
  std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Attempt-Id: " + id +
                     "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  if (method != "GET")
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return CallHttp(to, head + "\r\n", body, timeout_ms + 1'000);
}

}  // namespace review
