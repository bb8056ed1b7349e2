#include "RowStoreStandin/row_store_standin.h"

#include <libwebsockets.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "Kernel/url_query.h"

namespace buckthorncart {
namespace {

using nlohmann::json;

std::string ToBase64(const std::string& bytes) {
  std::string text(bytes.size() * 2 + 8, '\0');
  const int n =
      lws_b64_encode_string(bytes.data(), static_cast<int>(bytes.size()),
                            text.data(), static_cast<int>(text.size()));
  text.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes(text.size() + 4, '\0');
  const int n =
      lws_b64_decode_string_len(text.data(), static_cast<int>(text.size()),
                                bytes.data(), static_cast<int>(bytes.size()));
  bytes.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return bytes;
}

uint64_t ParseNumber(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace

RowStoreStandin::RowStoreStandin(Loop& loop)
    : loop_(loop), server_(loop, {}, *this) {}

Result<void> RowStoreStandin::Listen(Address address) {
  return server_.Listen("row-store", address);
}

void RowStoreStandin::Write(const RowId& row_id, const std::string& value,
                            bool deleted) {
  rows_[row_id] = {value, version_, deleted};
}

void RowStoreStandin::Put(const std::string& table, const std::string& key,
                          const std::string& value) {
  ++version_;
  Write({table, key}, value, false);
  ServeWatches();
}

void RowStoreStandin::Restore() {
  rows_ = copy_.rows;
  version_ = copy_.version;
  history_start_ = 0;
  ++era_;
}

std::string RowStoreStandin::Get(const std::string& table,
                                 const std::string& key) const {
  const auto it = rows_.find({table, key});
  return it == rows_.end() || it->second.deleted ? "" : it->second.value;
}

void RowStoreStandin::OnClientDisconnected(uint64_t id) { watches_.erase(id); }

void RowStoreStandin::OnRequest(uint64_t id, HttpRequest request) {
  const Url url = ParseUrl(request.path);
  if (url.path == "/control") {
    const auto fault = ParseEnum<StoreFault>(url.Get("fault"));
    if (fault) SetFault(*fault);
    if (url.Get("compact") == "yes") Compact();
    if (url.Get("copy") == "yes") TakeCopy();
    if (url.Get("restore") == "yes") Restore();
    Answer(id, 200, "{}");
    return;
  }
  if (url.path == "/put") {
    Put(std::string(url.Get("table")), std::string(url.Get("key")),
        request.body.Text());
    Answer(id, 200, "{}");
    return;
  }
  ++calls_;
  switch (fault_) {
    case StoreFault::kNone:
      Serve(id, request);
      break;
    case StoreFault::kServiceUnavailable:
      Answer(id, 503, "{}");
      break;
    case StoreFault::kTooManyRequests:
      Answer(id, 429, "{}");
      break;
    case StoreFault::kReset:
      server_.Abort(id);
      break;
    case StoreFault::kAnswerLost:
      Serve(id, request);
      server_.Abort(id);
      break;
    case StoreFault::kSilent:
      break;
    case StoreFault::kGarbled:
      Answer(id, 200, "{\"rows\":[{\"table");
      break;
  }
}

void RowStoreStandin::Serve(uint64_t id, const HttpRequest& request) {
  const Url url = ParseUrl(request.path);
  if (url.path == "/buckthorncart/rows-tx") {
    ServeTransaction(id, request.body.Text());
  } else if (url.path == "/buckthorncart/rows-get") {
    ServeRead(id, request.path);
  } else if (url.path == "/buckthorncart/rows-feed") {
    ServeWatch(id, request.path);
  } else {
    Answer(id, 404, "{}");
  }
}

void RowStoreStandin::Answer(uint64_t id, uint16_t status,
                             const std::string& body) {
  // With kAnswerLost the connection is closed without an answer.
  if (fault_ == StoreFault::kAnswerLost) return;
  AnswerPart part;
  part.status = status;
  part.headers = {{"content-type", "application/json"},
                  {"Store-Era", std::to_string(era_)}};
  part.body = body;
  part.end = AnswerEnd::kComplete;
  server_.Answer(id, std::move(part), false);
}

void RowStoreStandin::ServeTransaction(uint64_t id, const std::string& body) {
  const json transaction = json::parse(body, nullptr, false);
  if (!transaction.is_object()) {
    Answer(id, 400, "{}");
    return;
  }
  const auto row_id_of = [](const json& row) {
    return RowId{row.at("table"), row.at("key")};
  };
  for (const json& expected : transaction.value("expectedRev", json::array())) {
    const auto it = rows_.find(row_id_of(expected));
    const bool exists = it != rows_.end() && !it->second.deleted;
    const uint64_t current_version = exists ? it->second.version : 0;
    if (current_version == expected.at("ver").get<uint64_t>()) continue;
    Answer(id, 412, R"({"rows":[]})");
    return;
  }
  ++version_;
  for (const json& row : transaction.value("writes", json::array())) {
    Write(row_id_of(row), FromBase64(row.at("value")), false);
  }
  for (const json& row : transaction.value("remove", json::array())) {
    Write(row_id_of(row), "", true);
  }
  Answer(id, 200, json({{"ver", version_}, {"nowS", 1.5}}).dump());
  ServeWatches();
}

std::string RowStoreStandin::RowJson(const RowId& row_id,
                                     const Row& row) const {
  json item = {{"table", row_id.first},
               {"part", ""},
               {"key", row_id.second},
               {"ver", row.version}};
  if (row.deleted) {
    item["deleted"] = true;
  } else {
    item["value"] = ToBase64(row.value);
  }
  return item.dump();
}

void RowStoreStandin::ServeRead(uint64_t id, const std::string& path) {
  const Url url = ParseUrl(path);
  const std::string table(url.Get("table"));
  const uint64_t limit = ParseNumber(url.Get("limit"));
  std::string rows;
  uint64_t n = 0;
  bool more = false;
  auto it = rows_.lower_bound({table, std::string(url.Get("from"))});
  for (; it != rows_.end() && it->first.first == table; ++it) {
    if (it->second.deleted) continue;
    if (limit > 0 && n == limit) {
      more = true;
      break;
    }
    rows += (n++ == 0 ? "" : ",") + RowJson(it->first, it->second);
  }
  Answer(id, 200,
         R"({"rows":[)" + rows + R"(],"hasMore":)" + (more ? "true" : "false") +
             R"(,"ver":)" + std::to_string(version_) +
             R"(,"nowS":1.5,"new":{"x":1}})");
  const auto [row_id, value] = std::exchange(change_after_read_, {});
  if (row_id.first == table) Put(row_id.first, row_id.second, value);
  if (after_read_) std::exchange(after_read_, nullptr)();
}

void RowStoreStandin::ServeWatch(uint64_t id, const std::string& path) {
  const Url url = ParseUrl(path);
  const Watch watch{std::string(url.Get("table")),
                    ParseNumber(url.Get("after"))};
  if (watch.after < history_start_ || watch.after > version_) {
    Answer(id, 410, "{}");
    return;
  }
  if (AnswerWatch(id, watch, false)) return;
  watches_[id] = watch;
  const std::chrono::milliseconds wait(ParseNumber(url.Get("waitMs")));
  loop_.RunIn(wait, [this, id] {
    const auto it = watches_.find(id);
    if (it == watches_.end()) return;
    AnswerWatch(id, it->second, true);
    watches_.erase(it);
  });
}

bool RowStoreStandin::AnswerWatch(uint64_t id, const Watch& watch,
                                  bool allow_empty) {
  std::string rows;
  for (const auto& [row_id, row] : rows_) {
    if (row_id.first != watch.table || row.version <= watch.after) continue;
    rows += (rows.empty() ? "" : ",") + RowJson(row_id, row);
  }
  if (rows.empty() && !allow_empty) return false;
  Answer(
      id, 200,
      R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(version_) + "}");
  return true;
}

void RowStoreStandin::ServeWatches() {
  std::erase_if(watches_, [this](const auto& item) {
    return AnswerWatch(item.first, item.second, false);
  });
}

}  // namespace buckthorncart
