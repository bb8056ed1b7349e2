#pragma once

/// \file
/// Stand-in of the platform's store.

#include <condition_variable>
#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

using json = nlohmann::json;

inline std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      const size_t at = i + k;
      group = group << 8U |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      const bool padded = i + k > bytes.size();
      text.push_back(padded ? '=' : kDigits[group >> (18U - 6U * k) & 63U]);
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  unsigned bits = 0;
  for (const char c : text) {
    uint32_t digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = static_cast<uint32_t>(c - 'A');
    } else if (c >= 'a' && c <= 'z') {
      digit = static_cast<uint32_t>(c - 'a' + 26);
    } else if (c >= '0' && c <= '9') {
      digit = static_cast<uint32_t>(c - '0' + 52);
    } else if (c == '+') {
      digit = 62;
    } else if (c == '/') {
      digit = 63;
    } else {
      break;
    }
    group = (group << 6U | digit) & 0xFFFFFFU;
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes.push_back(static_cast<char>(group >> bits & 0xFFU));
  }
  return bytes;
}

/// Serves the rows of the platform's store: reads, transactions and the feed.
class Store {
 public:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  using RowId = std::pair<std::string, std::string>;
  struct Contents {
    std::map<RowId, Row> rows;
    uint64_t version = 0;
  };

  explicit Store(Endpoint endpoint)
      : endpoint_(std::move(endpoint)),
        server_(endpoint_, [this](int fd) { Serve(fd); }) {}
  ~Store() { Away(); }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Endpoint& Where() const { return endpoint_; }
  bool Start() {
    {
      const std::lock_guard lock(mutex_);
      away_ = false;
    }
    return server_.Start();
  }
  /// Ends all connections and refuses new ones.
  void Away() {
    {
      const std::lock_guard lock(mutex_);
      away_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }
  /// Sets the time that a transaction takes until it is applied and answered.
  void SetTransactionTime(std::chrono::milliseconds time) {
    transaction_ms_ = time.count();
  }
  /// While set, every call is answered 503 and does nothing.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }

  Contents Copy() {
    const std::lock_guard lock(mutex_);
    return contents_;
  }
  /// Goes back to an earlier copy; to be called while the store is away.
  void Restore(const Contents& copy) {
    const std::lock_guard lock(mutex_);
    contents_ = copy;
    ++era_;
  }
  /// A write of the operator. Returns the version of the row.
  uint64_t Put(const std::string& table, const std::string& key,
               const std::string& value) {
    uint64_t version = 0;
    {
      const std::lock_guard lock(mutex_);
      version = ++contents_.version;
      contents_.rows[{table, key}] = {value, version, false};
    }
    changed_.notify_all();
    return version;
  }
  uint64_t Version() {
    const std::lock_guard lock(mutex_);
    return contents_.version;
  }
  std::optional<std::string> Value(const std::string& table,
                                   const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = contents_.rows.find({table, key});
    if (it == contents_.rows.end() || it->second.deleted) return std::nullopt;
    return it->second.value;
  }

 private:
  void Serve(int fd) {
    MessageReader reader(fd);
    while (server_.IsRunning()) {
      const auto request = reader.Next(200);
      if (!request) {
        if (reader.Ended()) return;
        continue;
      }
      const std::string answer = Answer(fd, *request);
      if (answer.empty() || !SendAll(fd, answer)) return;
    }
  }
  std::string Format(int status, const json& body) {
    return MakeAnswer(status,
                      "Content-Type: application/json\r\nStore-Era: " +
                          std::to_string(era_) + "\r\n",
                      body.dump());
  }
  std::string Answer(int fd, const Message& request) {
    const std::string target = request.Word(1);
    if (target.starts_with("/buckthorncart/rows-tx")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(transaction_ms_));
    }
    std::unique_lock lock(mutex_);
    if (away_) return "";
    if (unavailable_) return Format(503, json::object());
    if (target.starts_with("/buckthorncart/rows-get")) return Read(target);
    if (target.starts_with("/buckthorncart/rows-tx"))
      return Transact(request.body);
    if (target.starts_with("/buckthorncart/rows-feed"))
      return Feed(fd, target, lock);
    return Format(404, json::object());
  }
  static json RowJson(const RowId& id, const Row& row) {
    json item = {{"table", id.first},
                 {"part", ""},
                 {"key", id.second},
                 {"ver", row.version}};
    if (row.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = ToBase64(row.value);
    }
    return item;
  }
  std::string Read(const std::string& target) {
    const std::string table = QueryValue(target, "table");
    const std::string limit = QueryValue(target, "limit");
    const size_t most = limit.empty() ? 500 : std::stoul(limit);
    json rows = json::array();
    bool more = false;
    auto it = contents_.rows.lower_bound({table, QueryValue(target, "from")});
    for (; it != contents_.rows.end() && it->first.first == table; ++it) {
      if (it->second.deleted) continue;
      if (rows.size() == most) {
        more = true;
        break;
      }
      rows.push_back(RowJson(it->first, it->second));
    }
    return Format(200, {{"rows", rows},
                        {"hasMore", more},
                        {"ver", contents_.version},
                        {"nowS", Now()}});
  }
  std::string Transact(const std::string& body) {
    const json transaction = json::parse(body, nullptr, false);
    if (!transaction.is_object()) return Format(400, json::object());
    json current = json::array();
    bool met = true;
    for (const json& expected :
         transaction.value("expectedRev", json::array())) {
      const RowId id{expected.at("table"), expected.at("key")};
      const auto it = contents_.rows.find(id);
      const bool exists = it != contents_.rows.end() && !it->second.deleted;
      const uint64_t version = exists ? it->second.version : 0;
      met = met && version == expected.at("ver").get<uint64_t>();
      if (exists) current.push_back(RowJson(id, it->second));
    }
    if (!met) {
      return Format(
          412,
          {{"rows", current}, {"ver", contents_.version}, {"nowS", Now()}});
    }
    ++contents_.version;
    for (const json& row : transaction.value("writes", json::array())) {
      const RowId id{row.at("table"), row.at("key")};
      contents_.rows[id] = {FromBase64(row.at("value")), contents_.version,
                            false};
      Record("store: the system writes %s/%s at version %llu", id.first.c_str(),
             id.second.c_str(),
             static_cast<unsigned long long>(contents_.version));
    }
    for (const json& row : transaction.value("remove", json::array())) {
      contents_.rows[{row.at("table"), row.at("key")}] = {"", contents_.version,
                                                          true};
    }
    changed_.notify_all();
    return Format(200, {{"ver", contents_.version}, {"nowS", Now()}});
  }
  std::string Feed(int fd, const std::string& target,
                   std::unique_lock<std::mutex>& lock) {
    const std::string table = QueryValue(target, "table");
    const uint64_t after =
        std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    const auto until =
        Clock::now() + std::chrono::milliseconds(std::strtoull(
                           QueryValue(target, "waitMs").c_str(), nullptr, 10));
    Record("store: a feed of %s after %llu, the store is at %llu",
           table.c_str(), static_cast<unsigned long long>(after),
           static_cast<unsigned long long>(contents_.version));
    if (after > contents_.version) return Format(410, json::object());
    while (true) {
      json rows = json::array();
      std::vector<std::pair<uint64_t, RowId>> order;
      for (const auto& [id, row] : contents_.rows) {
        if (id.first == table && row.version > after)
          order.emplace_back(row.version, id);
      }
      std::sort(order.begin(), order.end());
      for (const auto& [version, id] : order)
        rows.push_back(RowJson(id, contents_.rows[id]));
      const bool waits = rows.empty() && Clock::now() < until;
      if (!waits) {
        return Format(
            200, {{"rows", rows}, {"ver", contents_.version}, {"nowS", Now()}});
      }
      changed_.wait_until(lock, std::min(until, Clock::now() + 100ms));
      if (away_ || !IsOpen(fd)) return "";
    }
  }
  static bool IsOpen(int fd) {
    char byte = 0;
    const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n != 0;
  }

  Endpoint endpoint_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Contents contents_;
  uint64_t era_ = 1;
  bool away_ = true;
  std::atomic<bool> unavailable_ = false;
  std::atomic<int64_t> transaction_ms_ = 0;
  Server server_;
};

}  // namespace review
