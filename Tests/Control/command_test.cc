#include "Control/command.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "Daemon/entry_host_fixture.h"

namespace hyssopbarrow {
namespace {

/// Temporary file that is removed by the destructor.
struct TemporaryFile {
  explicit TemporaryFile(const std::string& text) : name(std::tmpnam(nullptr)) {
    std::ofstream(name) << text;
  }
  ~TemporaryFile() { std::remove(name.c_str()); }

  std::string name;
};

TEST_CASE("A granted key works and a withdrawn one does not") {
  EntryHostFixture fixture;
  REQUIRE(fixture.RunControlCommand({"grant", "stall", "lukla"}) ==
          ExitCode::kOk);
  const std::string text = fixture.out.str();
  const std::string label = "secret: ";
  const std::string secret = text.substr(text.find(label) + label.size(), 48);
  fixture.RunUntil(
      [&] { return fixture.AdoptedSnapshot().keys.contains("stall"); });
  const HttpHeader key{"authorization", "Bearer " + secret};
  CHECK(fixture.SendCall("book", {key}, "").status == 200);
  CHECK(fixture.RunControlCommand({"grant", "stall", "lukla"}) ==
        ExitCode::kConflict);
  REQUIRE(fixture.RunControlCommand({"withdraw", "stall"}) == ExitCode::kOk);
  fixture.RunUntil(
      [&] { return fixture.AdoptedSnapshot().keys.at("stall").withdrawn; });
  CHECK(fixture.SendCall("book", {key}, "").status == 403);
  CHECK(fixture.RunControlCommand({"withdraw", "nobody"}) ==
        ExitCode::kNotFound);
}

TEST_CASE("A file is applied whole, after a dry run that changes nothing") {
  EntryHostFixture fixture;
  const TemporaryFile file(
      "teams: {gorak: {weight: 4, ceiling: 9}}\npools: {spare: {spare: "
      "true}}\nqueues: {shop: {pool: spare}}\n");
  const auto before = fixture.RowsOfOperators();
  CHECK(fixture.RunControlCommand({"apply", file.name}, {.dry_run = true}) ==
        ExitCode::kOk);
  CHECK(fixture.out.str().find("+ team gorak") != std::string::npos);
  CHECK(fixture.RowsOfOperators() == before);
  CHECK(fixture.RunControlCommand({"apply", file.name}) == ExitCode::kOk);
  CHECK(fixture.table.Read("config/queue/shop").size() == 1);
  CHECK(fixture.RunControlCommand({"apply", file.name}) == ExitCode::kOk);
  CHECK(fixture.out.str() == "nothing differs\n");
}

TEST_CASE("A file with one bad row changes nothing") {
  EntryHostFixture fixture;
  const TemporaryFile file(
      "teams: {gorak: {weight: 4}}\nqueues: {shop: {pool: nowhere}}\n");
  CHECK(fixture.RunControlCommand({"apply", file.name}) == ExitCode::kUsage);
  CHECK(fixture.err.str().find("refers to 'nowhere'") != std::string::npos);
  CHECK(fixture.table.Read("config/team/gorak").empty());
}

TEST_CASE("Wrong command lines are refused") {
  EntryHostFixture fixture;
  CHECK(fixture.RunControlCommand({}) == ExitCode::kUsage);
  CHECK(fixture.RunControlCommand({"lst", "team"}) == ExitCode::kUsage);
  CHECK(fixture.RunControlCommand({"list"}) == ExitCode::kUsage);
  CHECK(fixture.RunControlCommand({"list", "fleet"}) == ExitCode::kNotFound);
  CHECK(fixture.RunControlCommand({"set", "team", "a", "weight"}) ==
        ExitCode::kUsage);
  CHECK(fixture.RunControlCommand({"apply", "/nonexistent"}) ==
        ExitCode::kUsage);
  CHECK(fixture.RunControlCommand({"completion", "fish"}) == ExitCode::kUsage);
}

TEST_CASE("Bash can read the completion script") {
  EntryHostFixture fixture;
  REQUIRE(fixture.RunControlCommand({"completion", "bash"}) == ExitCode::kOk);
  const TemporaryFile script(fixture.out.str());
  CHECK(std::system(("bash -n " + script.name).c_str()) == 0);
}

TEST_CASE("Rows are printed as a table, as JSON and as names") {
  EntryHostFixture fixture;
  CHECK(fixture.RunControlCommand({"list", "team"}) == ExitCode::kOk);
  CHECK(fixture.out.str() ==
        "name    ceiling  weight  revision\n"
        "lukla   64       1       1\n"
        "namche  64       2       1\n");
  fixture.RunControlCommand({"list", "team"}, {.output = OutputFormat::kNames});
  CHECK(fixture.out.str() == "lukla\nnamche\n");
  fixture.RunControlCommand({"show", "team", "lukla"},
                            {.output = OutputFormat::kJson});
  CHECK(nlohmann::json::parse(fixture.out.str())[0]["value"]["weight"] == 1);
}

TEST_CASE("The burn report counts answered and refused calls") {
  EntryHostFixture fixture;
  CHECK(fixture.SendCall("status", {}, "").status == 200);
  CHECK(fixture.SendCall("book", {}, "").status == 401);
  CHECK(fixture.RunControlCommand({"report", "burn"}) == ExitCode::kOk);
  CHECK(fixture.out.str().find("status ") != std::string::npos);
  const HttpResponse metrics = fixture.Send(
      fixture.daemon->OperatorAddress(), {.method = "GET", .path = "/metrics"});
  CHECK(metrics.body.find("queue=\"book\",outcome=\"not-run\",reason=\"key-"
                          "missing\"} 1") != std::string::npos);
  const TemporaryFile page("");
  CHECK(fixture.RunControlCommand({"report", "burn"}, {.html = page.name}) ==
        ExitCode::kOk);
  std::ifstream in(page.name);
  const std::string html{std::istreambuf_iterator<char>(in), {}};
  CHECK(html.starts_with("<!doctype html>"));
}

TEST_CASE("The usage names every command") {
  const std::string text = UsageText();
  for (const char* command :
       {"list", "show", "set", "delete", "grant", "withdraw", "move", "apply",
        "report", "submit", "status", "wait", "cancel", "fleet",
        "completion"}) {
    CHECK(text.find(command) != std::string::npos);
  }
}

}  // namespace
}  // namespace hyssopbarrow
