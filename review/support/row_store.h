#pragma once
/// \file
/// Stand-in for the platform's metadata store.

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "http_server.h"

namespace review {

/// Serves the row calls that the daemons use: transactions without conditions,
/// reads of ranges, and watches of a table.
class RowStore {
 public:
  RowStore()
      : server_([this](const HttpMessage& request) { return Serve(request); }) {
  }
  ~RowStore() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }

  bool Start(const Address& address) { return server_.Start(address); }

  /// Writes a row as the operator does. `value` is encoded as base64.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    {
      const std::lock_guard lock(mutex_);
      rows_[{table, key}] = {EncodeBase64(value), ++version_, false};
    }
    changed_.notify_all();
  }

 private:
  using Json = nlohmann::json;
  struct Row {
    /// Base64, as in the calls.
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  static std::string EncodeBase64(const std::string& bytes) {
    constexpr std::string_view kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
      uint32_t group = 0;
      for (size_t j = 0; j < 3; ++j) {
        const size_t at = i + j;
        group =
            group << 8U |
            (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
      }
      for (unsigned j = 0; j < 4; ++j) {
        const bool padding = i + j > bytes.size();
        text.push_back(padding ? '='
                               : kDigits[(group >> (18U - 6U * j)) & 0x3FU]);
      }
    }
    return text;
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const size_t query = target.find('?');
    if (query == std::string::npos) return {};
    std::string rest = "&" + target.substr(query + 1);
    const size_t start = rest.find("&" + name + "=");
    if (start == std::string::npos) return {};
    rest.erase(0, start + name.size() + 2);
    return Decode(rest.substr(0, rest.find('&')));
  }

  static std::string Decode(const std::string& text) {
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] != '%' || i + 2 >= text.size()) {
        decoded.push_back(text[i]);
        continue;
      }
      decoded.push_back(static_cast<char>(
          std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    }
    return decoded;
  }

  static HttpMessage Answer(const Json& body) {
    return {
        "HTTP/1.1 200 OK", {{"content-type", "application/json"}}, body.dump()};
  }

  std::optional<HttpMessage> Serve(const HttpMessage& request) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/buckthorncart/rows-tx") return ServeTransaction(request.body);
    if (path == "/buckthorncart/rows-get") return ServeRead(target);
    if (path == "/buckthorncart/rows-feed") return ServeWatch(target);
    return HttpMessage{"HTTP/1.1 404 Not Found", {}, ""};
  }

  HttpMessage ServeTransaction(const std::string& body) {
    const Json transaction = Json::parse(body, nullptr, false);
    Json answer;
    {
      const std::lock_guard lock(mutex_);
      ++version_;
      for (const Json& row : transaction.at("writes")) {
        rows_[{row.at("table"), row.at("key")}] = {row.at("value"), version_,
                                                   false};
      }
      for (const Json& row : transaction.at("remove")) {
        rows_[{row.at("table"), row.at("key")}] = {"", version_, true};
      }
      answer = {{"ver", version_}, {"nowS", 1.0}};
    }
    changed_.notify_all();
    return Answer(answer);
  }

  HttpMessage ServeRead(const std::string& target) {
    const std::string table = Parameter(target, "table");
    const std::string from = Parameter(target, "from");
    const std::string limit_text = Parameter(target, "limit");
    const size_t limit = limit_text.empty()
                             ? 500
                             : std::strtoull(limit_text.c_str(), nullptr, 10);
    const std::lock_guard lock(mutex_);
    Json rows = Json::array();
    bool has_more = false;
    for (auto it = rows_.lower_bound({table, from});
         it != rows_.end() && it->first.first == table; ++it) {
      if (it->second.deleted) continue;
      if (rows.size() == limit) {
        has_more = true;
        break;
      }
      rows.push_back(ToJson(it->first, it->second));
    }
    return Answer({{"rows", rows},
                   {"hasMore", has_more},
                   {"ver", version_},
                   {"nowS", 1.0}});
  }

  HttpMessage ServeWatch(const std::string& target) {
    const std::string table = Parameter(target, "table");
    const uint64_t after =
        std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const Milliseconds wait(
        std::strtoull(Parameter(target, "waitMs").c_str(), nullptr, 10));
    std::unique_lock lock(mutex_);
    Json rows;
    changed_.wait_for(lock, wait, [&] {
      rows = ChangedRows(table, after);
      return stopping_ || !rows.empty();
    });
    return Answer({{"rows", rows}, {"ver", version_}, {"nowS", 1.0}});
  }

  /// Changed rows of `table` in the order of their changes.
  Json ChangedRows(const std::string& table, uint64_t after) const {
    std::multimap<uint64_t, Json> by_version;
    for (const auto& [id, row] : rows_) {
      if (id.first != table || row.version <= after) continue;
      by_version.emplace(row.version, ToJson(id, row));
    }
    Json rows = Json::array();
    for (auto& [version, row] : by_version) rows.push_back(std::move(row));
    return rows;
  }

  static Json ToJson(const std::pair<std::string, std::string>& id,
                     const Row& row) {
    Json item = {{"table", id.first},
                 {"part", ""},
                 {"key", id.second},
                 {"ver", row.version}};
    if (row.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = row.value;
    }
    return item;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  uint64_t version_ = 0;
  bool stopping_ = false;
  HttpServer server_;
};

}  // namespace review
