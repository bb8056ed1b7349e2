#pragma once
/// \file
/// Test double of the users' row store: rows over HTTP, with fault injection.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "Base/enum_names.h"
#include "Net/http_server.h"
#include "Net/loop.h"

namespace buckthorncart {

/// Fault that the store simulates.
enum class StoreFault : uint8_t {
  kNone,
  /// Rejects with status 503.
  kServiceUnavailable,
  /// Rejects with status 429.
  kTooManyRequests,
  /// Closes connections without executing the call or answering.
  kReset,
  /// Executes the call, then closes the connection without an answer.
  kAnswerLost,
  /// Never answers.
  kSilent,
  /// Answers with invalid JSON.
  kGarbled,
};

template <>
struct EnumNames<StoreFault> {
  static constexpr std::string_view kNames[] = {
      "none", "busy", "many", "reset", "lost", "silent", "garbled"};
};

/// Implements the published row calls. `GET /control?fault=NAME` sets a fault,
/// `/control?compact=yes` discards the change history, `/control?copy=yes`
/// takes a copy of the rows and `/control?restore=yes` goes back to it.
class RowStoreStandin : private HttpServerHandler {
 public:
  explicit RowStoreStandin(Loop& loop);
  Result<void> Listen(Address address);

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// Value of a row, or empty if the row does not exist.
  std::string Get(const std::string& table, const std::string& key) const;
  /// Changes a row as another writer does, after the next read of its table.
  void ChangeAfterRead(const std::string& table, const std::string& key,
                       const std::string& value) {
    change_after_read_ = {{table, key}, value};
  }
  /// Calls `action` once, after the next read.
  void RunAfterRead(std::function<void()> action) {
    after_read_ = std::move(action);
  }
  void SetFault(StoreFault fault) { fault_ = fault; }
  /// Discards the change history, so that watches from earlier versions fail
  /// and their clients must read the rows again.
  void Compact() { history_start_ = version_; }
  /// Takes a copy of the rows for `Restore`.
  void TakeCopy() { copy_ = {rows_, version_}; }
  /// Goes back to the last copy and begins the next era. Versions continue from
  /// that of the copy.
  void Restore();
  uint64_t Calls() const { return calls_; }

 private:
  using RowId = std::pair<std::string, std::string>;
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct Copy {
    std::map<RowId, Row> rows;
    uint64_t version = 0;
  };
  struct Watch {
    std::string table;
    uint64_t after = 0;
  };

  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnClientDisconnected(uint64_t id) override;
  void Serve(uint64_t id, const HttpRequest& request);
  void ServeTransaction(uint64_t id, const std::string& body);
  void ServeRead(uint64_t id, const std::string& path);
  void ServeWatch(uint64_t id, const std::string& path);
  void ServeWatches();
  bool AnswerWatch(uint64_t id, const Watch& watch, bool allow_empty);
  void Answer(uint64_t id, uint16_t status, const std::string& body);
  void Write(const RowId& row_id, const std::string& value, bool deleted);
  std::string RowJson(const RowId& row_id, const Row& row) const;

  Loop& loop_;
  HttpServer server_;
  std::map<RowId, Row> rows_;
  std::map<uint64_t, Watch> watches_;
  StoreFault fault_ = StoreFault::kNone;
  uint64_t version_ = 0;
  uint64_t history_start_ = 0;
  /// Number of restores, and one.
  uint64_t era_ = 1;
  Copy copy_;
  uint64_t calls_ = 0;
  /// Row and value; the table is empty if there is no such change.
  std::pair<RowId, std::string> change_after_read_;
  std::function<void()> after_read_;
};

}  // namespace buckthorncart
