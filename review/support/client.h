#pragma once
/// \file
/// A client that keeps its connection open for many requests.

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http_message.h"

namespace review {

/// How a client attempt ended.
enum class End { kAnswered, kClosed, kTimeout, kNoConnection };

struct Attempt {
  std::string id;
  Time sent_at;
  Time ended_at;
  End end = End::kNoConnection;
  int status = 0;
  /// True if the connection had carried an answered request before.
  bool on_kept_connection = false;
};

struct ClientSettings {
  std::string name;
  /// `outbound` address of its machine.
  Address outbound;
  std::string host;
  std::string path;
  std::string method = "GET";
  Milliseconds timeout = 2s;
  Milliseconds pause = 20ms;
};

/// Sends one request after the other until it is stopped. A new connection is
/// opened only after the last one was closed.
class Client {
 public:
  Client(Recorder& recorder, ClientSettings settings)
      : recorder_(recorder), settings_(std::move(settings)) {}
  ~Client() { Stop(); }

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }
  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }

  std::vector<Attempt> Attempts() {
    const std::lock_guard lock(mutex_);
    return attempts_;
  }
  size_t CountAnswered() {
    const std::lock_guard lock(mutex_);
    size_t n = 0;
    for (const Attempt& attempt : attempts_) n += attempt.status == 200 ? 1 : 0;
    return n;
  }

 private:
  void Run() {
    while (!stopping_) {
      const Attempt attempt = SendOne();
      recorder_.Write("client " + settings_.name + ": " + attempt.id + " " +
                      Describe(attempt));
      {
        const std::lock_guard lock(mutex_);
        attempts_.push_back(attempt);
      }
      std::this_thread::sleep_for(settings_.pause);
    }
  }

  static std::string Describe(const Attempt& attempt) {
    switch (attempt.end) {
      case End::kAnswered:
        return "answered " + std::to_string(attempt.status);
      case End::kClosed:
        return attempt.on_kept_connection
                   ? "kept connection closed without an answer"
                   : "new connection closed without an answer";
      case End::kTimeout:
        return "no answer in time";
      case End::kNoConnection:
        return "no connection";
    }
    return {};
  }

  Attempt SendOne() {
    Attempt attempt;
    attempt.id = settings_.name + "-" + std::to_string(++count_);
    attempt.sent_at = Clock::now();
    attempt.on_kept_connection = socket_.IsValid();
    if (!socket_.IsValid()) {
      buf_.clear();
      socket_ = Socket::Make();
      if (!socket_.Connect(settings_.outbound, 1s)) {
        socket_.Close();
        attempt.ended_at = Clock::now();
        return attempt;
      }
    }
    const HttpMessage request = {
        settings_.method + " " + settings_.path + " HTTP/1.1",
        {{"host", settings_.host},
         {"x-attempt-id", attempt.id},
         {"x-timeout-ms", std::to_string(settings_.timeout.count())}},
        ""};
    HttpMessage answer;
    const Received received =
        socket_.Send(request.Encode())
            ? ReceiveMessage(socket_, buf_, attempt.sent_at + settings_.timeout,
                             answer)
            : Received::kClosed;
    attempt.ended_at = Clock::now();
    if (received == Received::kBytes) {
      attempt.end = End::kAnswered;
      attempt.status = answer.Status();
      if (answer.Header("connection") == "close") socket_.Close();
      return attempt;
    }
    attempt.end = received == Received::kClosed ? End::kClosed : End::kTimeout;
    socket_.Close();
    return attempt;
  }

  Recorder& recorder_;
  ClientSettings settings_;
  Socket socket_;
  std::string buf_;
  int count_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::thread thread_;
};

}  // namespace review
