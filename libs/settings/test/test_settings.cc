#include <catch2/catch.hpp>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::settings {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A settings file is read as typed values") {
  const IniDocument document = ParseIni("vm.ini",
                                        "[vm]\nname = jb-1\nslot = 3\nlisten = 127.0.1.1:8000\n"
                                        "interval = 250 ms\nratio = 0.5\nlenient = yes\n"
                                        "seeds = 127.0.1.2:7000, 127.0.1.3:7000\n");
  SettingsReader reader(document);
  CHECK(reader.Text("vm", "name") == "jb-1");
  CHECK(reader.Integer("vm", "slot", 0, 14) == 3);
  CHECK(reader.Endpoint("vm", "listen") == IpEndpoint{"127.0.1.1", 8000});
  CHECK(reader.Time("vm", "interval", milliseconds(10), milliseconds(5000)) == milliseconds(250));
  CHECK(reader.Number("vm", "ratio", 0, 1) == 0.5);
  CHECK(reader.YesNo("vm", "lenient"));
  CHECK(reader.Endpoints("vm", "seeds").size() == 2);
  CHECK(reader.Time("vm", "absent", milliseconds(1), milliseconds(9), milliseconds(4)) ==
        milliseconds(4));
  CHECK(reader.Finish().empty());
}

TEST_CASE("Every problem of a settings file is reported with its line") {
  const IniDocument document = ParseIni("vm.ini",
                                        "[vm]\n"
                                        "nmae = jb-1\n"
                                        "slot = 99\n"
                                        "listen = localhost:8000\n"
                                        "interval = 250 hours\n"
                                        "slot = 3\n"
                                        "[gosip]\n"
                                        "x = 1\n"
                                        "this line has no form\n");
  SettingsReader reader(document);
  reader.Text("vm", "name");
  reader.Integer("vm", "slot", 0, 14);
  reader.Endpoint("vm", "listen");
  reader.Time("vm", "interval", milliseconds(10), milliseconds(5000));
  reader.Integer("gossip", "bytes", 0, 10, 5);
  const std::vector<SettingsProblem> problems = reader.Finish();

  struct Expected {
    int line;
    const char* text;
  };
  const std::vector<Expected> expected{
      {0, "[vm] name is missing"},
      {2, "nearest known name is \"name\""},
      {3, "a whole number from 0 to 14"},
      {4, "an IP number and a port"},
      {5, "unit ms, s or min"},
      {6, "first given in line 3"},
      {7, "nearest known name is \"gossip\""},
      {9, "no valid INI line"},
  };
  REQUIRE(problems.size() == expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CAPTURE(i, ToString(problems[i]));
    CHECK(problems[i].line == expected[i].line);
    CHECK(ToString(problems[i]).find(expected[i].text) != std::string::npos);
  }
}

}  // namespace
}  // namespace qh::settings
