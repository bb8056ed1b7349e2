#include <doctest/doctest.h>
#include <signal.h>

#include <nlohmann/json.hpp>

#include "Tool/program_output.h"

namespace buckthorncart {
namespace {

constexpr const char* kCreate =
    "create service catalogus\n"
    "create route proofs path=/proofs service=catalogus";

/// A ready daemon with its platform.
struct OneDaemon {
  OneDaemon() {
    fleet.StartPlatform();
    fleet.StartDaemon(1, 1);
    REQUIRE(WaitFor([this] {
      return fleet.Get(fleet.Operators(1), "/ready").status == 200;
    }));
  }
  ProgramOutput Tool(const std::vector<std::string>& arguments) {
    return RunTool(fleet, arguments);
  }
  nlohmann::json Json(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"--format", "json"});
    return nlohmann::json::parse(Tool(arguments).text, nullptr, false);
  }
  ProcessFleet fleet;
};

bool Contains(const ProgramOutput& output, const std::string& text) {
  return output.text.find(text) != std::string::npos;
}

TEST_CASE("tool: exit statuses of changes") {
  OneDaemon test;
  CHECK(test.Tool({"apply", "-e", kCreate}).status == 0);
  const auto refused = test.Tool({"apply", "-e", "delete service catalogus"});
  CHECK(refused.status == 1);
  CHECK(Contains(refused, "service-in-use"));
  CHECK(test.Tool({"apply", "-e", "create nonsense"}).status == 1);
  CHECK(test.Tool({"in-force", "1", "--wait", "5"}).status == 0);
  CHECK(test.Tool({"in-force", "9"}).status == 3);
  CHECK(test.Tool({"operation", "no-such-operation"}).status != 0);
}

TEST_CASE("tool: a dry run prints the differences and changes nothing") {
  OneDaemon test;
  test.Tool({"apply", "-e", kCreate});
  const auto shown =
      test.Tool({"apply", "--dry-run", "-e", "change route proofs timeout=3s"});
  CHECK(shown.status == 0);
  CHECK(Contains(shown, "change route proofs"));
  CHECK(Contains(shown, "timeout: 5000ms -> 3000ms"));
  CHECK(test.Json({"show", "routes"})["version"] == 1);
  CHECK(test.Tool({"apply", "--dry-run", "-e", "delete service catalogus"})
            .status == 1);
}

TEST_CASE("tool: a change without an answer in time is undecided") {
  OneDaemon test;
  test.fleet.Signal("daemon-1", SIGSTOP);
  const auto applied = test.Tool({"--timeout", "300", "apply", "-e", kCreate});
  test.fleet.Signal("daemon-1", SIGCONT);
  CHECK(applied.status == 3);
  CHECK(Contains(applied, "timeout"));
}

TEST_CASE("tool: daemons are tried in order") {
  OneDaemon test;
  const std::string both = test.fleet.Operators(2).ToString() + "," +
                           test.fleet.Operators(1).ToString();
  CHECK(RunProgram(test.fleet, "buckthorncart", {"--daemon", both, "daemons"})
            .status == 0);
  const auto none =
      RunProgram(test.fleet, "buckthorncart",
                 {"--daemon", test.fleet.Operators(2).ToString(), "daemons"});
  CHECK(none.status == 1);
  CHECK(Contains(none, "daemon-unreachable"));
}

TEST_CASE("tool: invalid input is a usage error that contains its subject") {
  ProcessFleet fleet;
  struct Case {
    std::vector<std::string> arguments;
    std::string named;
  };
  const Case cases[] = {
      {{"--no-such-flag", "daemons"}, "--no-such-flag"},
      {{"no-such-command"}, "no-such-command"},
      {{"apply"}, "--text"},
      {{"apply", "/no/such/file"}, "/no/such/file"},
      {{"apply", "/"}, "file /"},
      {{"in-force", "--wait", "601"}, "--wait"},
      {{"in-force", "many"}, "many"},
      {{"--timeout", "0", "daemons"}, "--timeout"},
      {{"--format", "xml", "daemons"}, "--format xml"},
      {{"--daemon", "127.0.0.1", "daemons"}, "127.0.0.1"},
      {{"explain"}, "id is required"},
      {{"explain", "ab12", "/no/such/log"}, "/no/such/log"},
      {{"report"}, "A subcommand is required"},
  };
  for (const Case& one : cases) {
    const auto output = RunTool(fleet, one.arguments);
    CAPTURE(output.text);
    CHECK(output.status == 2);
    CHECK(Contains(output, one.named));
  }
}

TEST_CASE("tool: variables are read and checked, and flags override them") {
  OneDaemon test;
  const ScopedVariable daemon("BUCKTHORNCART_DAEMON",
                              test.fleet.Operators(1).ToString());
  CHECK(RunProgram(test.fleet, "buckthorncart", {"daemons"}).status == 0);
  const ScopedVariable timeout("BUCKTHORNCART_TIMEOUT", "soon");
  const auto bad = RunProgram(test.fleet, "buckthorncart", {"daemons"});
  CHECK(bad.status == 2);
  CHECK(Contains(bad, "--timeout"));
  CHECK(
      RunProgram(test.fleet, "buckthorncart", {"--timeout", "5000", "daemons"})
          .status == 0);
}

TEST_CASE("tool: JSON output of every command parses") {
  OneDaemon test;
  CHECK(test.Json({"apply", "--dry-run", "-e", kCreate})["result"] ==
        "would-accept");
  CHECK(test.Json({"apply", "-e", kCreate})["result"] == "accepted");
  CHECK(test.Json({"in-force", "--wait", "1"})["in_force"] == 1);
  CHECK(test.Json({"show", "services"})["services"].size() == 1);
  CHECK(test.Json({"show", "daemons", "at", "nl-west-a"})["daemons"].size() ==
        1);
  CHECK(test.Json({"daemons"})["daemons"].size() == 1);
  CHECK(test.Json({"report", "burn"})["burn"].size() == 3);
  CHECK(test.Json({"metrics"})["buckthorncart_configuration_version"] == 1);
  CHECK(test.Json({"show", "services", "at", "mars"})["error"] ==
        "unknown-object");
  CHECK(test.Json({"apply", "-e", "x"})["error"] == "syntax");
}

TEST_CASE("tool: reports and queries as tables") {
  OneDaemon test;
  test.Tool({"apply", "-e", kCreate});
  const auto burn = test.Tool({"report", "burn", "--service", "catalogus"});
  CHECK(burn.status == 0);
  CHECK(Contains(burn, "budget_left"));
  CHECK(test.Tool({"report", "burn", "--service", "nothing"}).status == 1);
  const auto shown = test.Tool({"show", "routes", "at", "nl-west-a"});
  CHECK(shown.status == 0);
  CHECK(Contains(shown, "/proofs"));
  CHECK(Contains(test.Tool({"metrics", "buckthorncart_calls"}),
                 "buckthorncart_calls_total"));
}

}  // namespace
}  // namespace buckthorncart
