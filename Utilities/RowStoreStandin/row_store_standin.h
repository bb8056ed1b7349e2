#pragma once
/// \file
/// Stand-in for the users' store: rows over HTTP, with faults.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Base/enum_names.h"
#include "Net/http_server.h"
#include "Net/loop.h"

namespace buckthorncart {

/// What the store does with calls.
enum class StoreFault : uint8_t {
  kNone,
  /// Refuses with 503.
  kServiceUnavailable,
  /// Refuses with 429.
  kTooManyRequests,
  /// Closes connections without an answer, and does nothing.
  kReset,
  /// Carries out and closes the connection without an answer.
  kAnswerLost,
  /// Never answers.
  kSilent,
  /// Answers with bytes that are no JSON.
  kGarbled,
};

template <>
struct EnumNames<StoreFault> {
  static constexpr std::string_view kNames[] = {
      "none", "busy", "many", "reset", "lost", "silent", "garbled"};
};

/// Speaks the published calls on rows. `GET /control?fault=NAME` sets a fault,
/// `/control?compact=yes` drops the history.
class RowStoreStandin : private HttpServerHandler {
 public:
  explicit RowStoreStandin(Loop& loop);
  Result<void> Listen(Address address);

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// Value of a row, empty when there is none.
  std::string Get(const std::string& table, const std::string& key) const;
  void SetFault(StoreFault fault) { fault_ = fault; }
  /// Drops the history, so that watches from before must read.
  void Compact() { history_from_ = version_; }
  uint64_t Calls() const { return calls_; }

 private:
  using Place = std::pair<std::string, std::string>;
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct Watch {
    std::string table;
    uint64_t after = 0;
  };

  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnLeft(uint64_t id) override;
  void Serve(uint64_t id, const HttpRequest& request);
  void ServeTransaction(uint64_t id, const std::string& body);
  void ServeRead(uint64_t id, const std::string& path);
  void ServeWatch(uint64_t id, const std::string& path);
  void ServeWatches();
  bool AnswerWatch(uint64_t id, const Watch& watch, bool at_once);
  void Answer(uint64_t id, uint16_t status, const std::string& body);
  void Write(const Place& place, const std::string& value, bool deleted);
  std::string RowJson(const Place& place, const Row& row) const;

  Loop& loop_;
  HttpServer server_;
  std::map<Place, Row> rows_;
  std::map<uint64_t, Watch> watches_;
  StoreFault fault_ = StoreFault::kNone;
  uint64_t version_ = 0;
  uint64_t history_from_ = 0;
  uint64_t calls_ = 0;
};

}  // namespace buckthorncart
