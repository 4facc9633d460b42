#include "settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace hyssopbarrow::platform {
namespace {

constexpr char kValidSettings[] = R"(
Node = "front-a-1"
Ip = "10.1.0.23"
InternalPorts = [7000, 7015]
Advice = "10.200.1.9:8344"
NewField = [1, 2]
[Listen]
Front = "10.1.0.23:8340"
Readiness = "10.1.0.23:8343"
[Limits]
CpuShare = 0.25
Cores = 2
[Bounds]
GraceS = 6
HoldMaxMs = 9000
ConfigApplyMs = 3000
MoveS = 1.5
UpkeepS = 2
LeaseMs = 3000
status_s = 120
[platform]
Address = "10.200.1.7:8344"
[Cloud]
Address = "10.200.0.82:8344"
)";

/// Returns kValidSettings with `from` replaced by `to`.
std::string SettingsWith(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

TEST_CASE("ParseSettings decodes a settings file") {
  const auto settings = ParseSettings(kValidSettings);
  REQUIRE(settings.ok());
  CHECK(settings->host.node == "front-a-1");
  CHECK(settings->host.cpu_milli == 500);
  CHECK(settings->host.peers == Address{"10.1.0.23", 7000});
  CHECK(settings->host.callers == Address{"10.1.0.23", 8340});
  CHECK(settings->host.stop_timeout == std::chrono::seconds(5));
  CHECK(settings->host.timing.max_lease == std::chrono::seconds(9));
  CHECK(settings->host.timing.host_move == std::chrono::milliseconds(1500));
  CHECK(settings->host.timing.max_row_bytes == 65'536);
  CHECK(settings->host.timing.max_configuration_age == std::chrono::seconds(3));
  CHECK(settings->has_approvals);
  CHECK(settings->store == Address{"10.200.1.7", 8344});
}

TEST_CASE("the settings say how large a row of the store may be") {
  const auto settings =
      ParseSettings(SettingsWith("[platform]", "[platform]\nRowBytes = 32768"));
  REQUIRE(settings.ok());
  CHECK(settings->host.timing.max_row_bytes == 32'768);
}

TEST_CASE("the settings of relays and of the store's partitions are optional") {
  const auto plain = ParseSettings(kValidSettings);
  REQUIRE(plain.ok());
  CHECK(plain->host.link_mbps == 0);
  CHECK(plain->host.data_centre.empty());
  CHECK(plain->host.relay == Address{"10.1.0.23", 7001});
  CHECK(plain->job_parts == 1);
  CHECK(plain->rows_per_read == 500);
  const auto narrow =
      ParseSettings("Zone = \"a\"\n" +
                    SettingsWith("Cores = 2", "Cores = 2\nLinkMbps = 2.0"));
  REQUIRE(narrow.ok());
  CHECK(narrow->host.link_mbps == 2);
  CHECK(narrow->host.data_centre == "a");
  CHECK(narrow->rows_per_read == 20);
  const auto partitioned =
      ParseSettings(SettingsWith("[platform]", "[platform]\nAcross = true"));
  REQUIRE(partitioned.ok());
  CHECK(partitioned->job_parts == 8);
}

TEST_CASE("ParseSettings names the invalid field or line") {
  struct Case {
    std::string text;
    std::string expected;  ///< Text that the error has to contain.
  };
  const std::vector<Case> cases = {
      {"", "Node"},
      {"Node = ", "line 1"},
      {"Node", "line 1"},
      {SettingsWith("\"front-a-1\"", "7"), "Node"},
      {SettingsWith("[7000, 7015]", "[]"), "InternalPorts"},
      {SettingsWith("[7000, 7015]", "[70000]"), "InternalPorts"},
      {SettingsWith("[7000, 7015]", "\"7000\""), "InternalPorts"},
      {SettingsWith("\"10.1.0.23:8340\"", "\"10.1.0.23\""), "Listen.Front"},
      {SettingsWith("\"10.1.0.23:8343\"", "8343"), "Listen.Readiness"},
      {SettingsWith("\"10.200.1.7:8344\"", "\"\""), "platform.Address"},
      {SettingsWith("\"10.200.0.82:8344\"", "\"x:1\""), "Cloud.Address"},
      {SettingsWith("\"10.200.1.9:8344\"", "\"nowhere\""), "Advice"},
      {SettingsWith("HoldMaxMs = 9000", "HoldMaxMs = \"long\""),
       "Bounds.HoldMaxMs"},
      {SettingsWith("MoveS = 1.5", "MoveS = [1]"), "Bounds.MoveS"},
  };
  for (const Case& invalid : cases) {
    CAPTURE(invalid.expected);
    const auto settings = ParseSettings(invalid.text);
    REQUIRE_FALSE(settings.ok());
    const std::string message(settings.status().message());
    CAPTURE(message);
    CHECK(message.find(invalid.expected) != std::string::npos);
  }
}

TEST_CASE("Read names the path of a missing settings file") {
  const auto settings = SettingsFile("/nonexistent/boot.toml").Read();
  REQUIRE_FALSE(settings.ok());
  CHECK(std::string(settings.status().message()).find("boot.toml") !=
        std::string::npos);
}

// Guards against settings that change without a signal and do not take effect.
TEST_CASE("ReadIfChanged reads a settings file that was replaced") {
  char path[] = "/tmp/hyssopbarrow-settings-XXXXXX";
  const int fd = mkstemp(path);
  REQUIRE(fd >= 0);
  close(fd);
  const auto write = [&path](const std::string& text) {
    std::ofstream(path) << text;
  };
  write(SettingsWith("HoldMaxMs = 9000", "HoldMaxMs = 9000"));
  SettingsFile file(path);
  REQUIRE(file.Read().ok());
  CHECK_FALSE(file.ReadIfChanged().has_value());
  write(SettingsWith("HoldMaxMs = 9000", "HoldMaxMs = 8000"));
  const auto changed = file.ReadIfChanged();
  REQUIRE(changed.has_value());
  REQUIRE(changed->ok());
  CHECK((*changed)->host.timing.max_lease == std::chrono::milliseconds(8000));
  CHECK_FALSE(file.ReadIfChanged().has_value());
  std::remove(path);
  const auto missing = file.ReadIfChanged();
  REQUIRE(missing.has_value());
  CHECK_FALSE(missing->ok());
  CHECK_FALSE(file.ReadIfChanged().has_value());
}

}  // namespace
}  // namespace hyssopbarrow::platform
