#include "Control/command.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "Daemon/entry_host_fixture.h"

namespace hyssopbarrow {
namespace {

/// A file that is removed at the end of its scope.
struct TemporaryFile {
  explicit TemporaryFile(const std::string& text) : name(std::tmpnam(nullptr)) {
    std::ofstream(name) << text;
  }
  ~TemporaryFile() { std::remove(name.c_str()); }

  std::string name;
};

TEST_CASE("A granted key works and a withdrawn one does not") {
  EntryHostFixture it;
  REQUIRE(it.RunControlCommand({"grant", "stall", "lukla"}) == ExitCode::kOk);
  const std::string text = it.out.str();
  const std::string label = "secret: ";
  const std::string secret = text.substr(text.find(label) + label.size(), 48);
  it.RunUntil([&] { return it.AdoptedSnapshot().keys.contains("stall"); });
  const HttpHeader key{"authorization", "Bearer " + secret};
  CHECK(it.SendCall("book", {key}, "").status == 200);
  CHECK(it.RunControlCommand({"grant", "stall", "lukla"}) ==
        ExitCode::kConflict);
  REQUIRE(it.RunControlCommand({"withdraw", "stall"}) == ExitCode::kOk);
  it.RunUntil([&] { return it.AdoptedSnapshot().keys.at("stall").withdrawn; });
  CHECK(it.SendCall("book", {key}, "").status == 403);
  CHECK(it.RunControlCommand({"withdraw", "nobody"}) == ExitCode::kNotFound);
}

TEST_CASE("A file is applied whole, after a dry run that changes nothing") {
  EntryHostFixture it;
  const TemporaryFile file(
      "teams: {gorak: {weight: 4, ceiling: 9}}\npools: {spare: {spare: "
      "true}}\nqueues: {shop: {pool: spare}}\n");
  const auto before = it.table.Read("");
  CHECK(it.RunControlCommand({"apply", file.name}, {.dry_run = true}) ==
        ExitCode::kOk);
  CHECK(it.out.str().find("+ team gorak") != std::string::npos);
  CHECK(it.table.Read("") == before);
  CHECK(it.RunControlCommand({"apply", file.name}) == ExitCode::kOk);
  CHECK(it.table.Read("config/queue/shop").size() == 1);
  CHECK(it.RunControlCommand({"apply", file.name}) == ExitCode::kOk);
  CHECK(it.out.str() == "nothing differs\n");
}

TEST_CASE("A file with one bad row changes nothing") {
  EntryHostFixture it;
  const TemporaryFile file(
      "teams: {gorak: {weight: 4}}\nqueues: {shop: {pool: nowhere}}\n");
  CHECK(it.RunControlCommand({"apply", file.name}) == ExitCode::kUsage);
  CHECK(it.err.str().find("names 'nowhere'") != std::string::npos);
  CHECK(it.table.Read("config/team/gorak").empty());
}

TEST_CASE("Wrong command lines are refused") {
  EntryHostFixture it;
  CHECK(it.RunControlCommand({}) == ExitCode::kUsage);
  CHECK(it.RunControlCommand({"lst", "team"}) == ExitCode::kUsage);
  CHECK(it.RunControlCommand({"list"}) == ExitCode::kUsage);
  CHECK(it.RunControlCommand({"list", "fleet"}) == ExitCode::kNotFound);
  CHECK(it.RunControlCommand({"set", "team", "a", "weight"}) ==
        ExitCode::kUsage);
  CHECK(it.RunControlCommand({"apply", "/nonexistent"}) == ExitCode::kUsage);
  CHECK(it.RunControlCommand({"completion", "fish"}) == ExitCode::kUsage);
}

TEST_CASE("Bash can read the completion script") {
  EntryHostFixture it;
  REQUIRE(it.RunControlCommand({"completion", "bash"}) == ExitCode::kOk);
  const TemporaryFile script(it.out.str());
  CHECK(std::system(("bash -n " + script.name).c_str()) == 0);
}

TEST_CASE("Rows are printed as a table, as JSON and as names") {
  EntryHostFixture it;
  CHECK(it.RunControlCommand({"list", "team"}) == ExitCode::kOk);
  CHECK(it.out.str() ==
        "name    ceiling  weight  revision\n"
        "lukla   64       1       1\n"
        "namche  64       2       1\n");
  it.RunControlCommand({"list", "team"}, {.output = OutputFormat::kNames});
  CHECK(it.out.str() == "lukla\nnamche\n");
  it.RunControlCommand({"show", "team", "lukla"},
                       {.output = OutputFormat::kJson});
  CHECK(nlohmann::json::parse(it.out.str())[0]["value"]["weight"] == 1);
}

TEST_CASE("The burn report tells answered from refused calls") {
  EntryHostFixture it;
  CHECK(it.SendCall("status", {}, "").status == 200);
  CHECK(it.SendCall("book", {}, "").status == 401);
  CHECK(it.RunControlCommand({"report", "burn"}) == ExitCode::kOk);
  CHECK(it.out.str().find("status ") != std::string::npos);
  const HttpResponse metrics = it.Send(it.daemon->OperatorAddress(),
                                       {.method = "GET", .path = "/metrics"});
  CHECK(metrics.body.find("queue=\"book\",outcome=\"not-run\",reason=\"key-"
                          "missing\"} 1") != std::string::npos);
  const TemporaryFile page("");
  CHECK(it.RunControlCommand({"report", "burn"}, {.html = page.name}) ==
        ExitCode::kOk);
  std::ifstream in(page.name);
  const std::string html{std::istreambuf_iterator<char>(in), {}};
  CHECK(html.starts_with("<!doctype html>"));
}

TEST_CASE("The usage names every command") {
  const std::string text = UsageText();
  for (const char* it : {"list", "show", "set", "delete", "grant", "withdraw",
                         "move", "apply", "report", "submit", "status", "wait",
                         "cancel", "fleet", "completion"}) {
    CHECK(text.find(it) != std::string::npos);
  }
}

}  // namespace
}  // namespace hyssopbarrow
