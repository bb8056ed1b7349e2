#pragma once
/// \file
/// HTTP/1.1 server with a thread for each connection.

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "http_message.h"

namespace review {

class HttpServer {
 public:
  /// Returns the answer; nothing closes the connection.
  using Handler = std::function<std::optional<HttpMessage>(const HttpMessage&)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}
  ~HttpServer() { Stop(); }

  bool Start(const Address& address) {
    listener_ = Socket::Make();
    if (!listener_.Listen(address)) return false;
    accept_thread_ = std::thread([this] { AcceptConnections(); });
    return true;
  }

  void Stop() {
    if (stopping_.exchange(true)) return;
    if (accept_thread_.joinable()) accept_thread_.join();
    listener_.Close();
    while (connections_ > 0) std::this_thread::sleep_for(1ms);
  }

 private:
  static constexpr Milliseconds kPollInterval = 50ms;

  void AcceptConnections() {
    while (!stopping_) {
      Socket socket = listener_.Accept(kPollInterval);
      if (!socket.IsValid()) continue;
      ++connections_;
      std::thread([this, connection = std::move(socket)] {
        Serve(connection);
        --connections_;
      }).detach();
    }
  }

  void Serve(const Socket& socket) {
    std::string buf;
    while (!stopping_) {
      HttpMessage request;
      const Received received =
          ReceiveMessage(socket, buf, Clock::now() + kPollInterval, request);
      if (received == Received::kTimeout) continue;
      if (received == Received::kClosed) return;
      const auto answer = handler_(request);
      if (!answer || !socket.Send(answer->Encode())) return;
    }
  }

  Handler handler_;
  Socket listener_;
  std::atomic<bool> stopping_ = false;
  std::thread accept_thread_;
  /// Connections that are served, each by its thread.
  std::atomic<int> connections_ = 0;
};

}  // namespace review
