#include "Net/log_sink.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "Support/mutation.h"

namespace buckthorncart {
namespace {

// Review case 1: a log line with bytes that are not UTF-8 ended the daemon.
TEST_CASE("log: any bytes in a field make one line") {
  const LogSink text(LogFormat::kText, LogLevel::kInfo);
  const LogSink json(LogFormat::kJson, LogLevel::kInfo);
  pcg32 random(35);
  for (int i = 0; i < 2'000; ++i) {
    const std::string value = Mutate("a = \"b\" \xe9 id", random);
    const LogRecord record{LogTopic::kCallFailed, {{"id", value}}};
    CHECK(text.FormatLine(record).find('\n') == std::string::npos);
    const std::string line = json.FormatLine(record);
    CHECK(nlohmann::json::accept(line));
    CHECK(line.find('\n') == std::string::npos);
  }
}

}  // namespace
}  // namespace buckthorncart
