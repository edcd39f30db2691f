#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>

#include "quetzalhinge/settings/changing_file.h"

namespace qh::settings {
namespace {

class TestFile {
 public:
  TestFile() { close(mkstemp(m_name.data())); }
  ~TestFile() { std::filesystem::remove(m_name); }

  const std::string& Name() const { return m_name; }
  void Write(const std::string& text) const { std::ofstream(m_name) << text; }
  void Touch(std::chrono::seconds later) const {
    std::filesystem::last_write_time(m_name, std::filesystem::last_write_time(m_name) + later);
  }

 private:
  std::string m_name = std::filesystem::temp_directory_path() / "qh-changing-file-XXXXXX";
};

TEST_CASE("A modification of a file is reported once") {
  const TestFile file;
  file.Write("grace = 3 s");
  ChangingFile watched(file.Name());
  CHECK_FALSE(watched.HasChanged());

  SECTION("a changed size") {
    file.Write("grace = 3500 ms");
    CHECK(watched.HasChanged());
    CHECK_FALSE(watched.HasChanged());
  }
  SECTION("a changed modification time") {
    file.Touch(std::chrono::seconds(5));
    CHECK(watched.HasChanged());
    CHECK_FALSE(watched.HasChanged());
  }
  SECTION("a file that is missing temporarily counts as unchanged") {
    std::filesystem::rename(file.Name(), file.Name() + ".away");
    CHECK_FALSE(watched.HasChanged());
    std::filesystem::rename(file.Name() + ".away", file.Name());
    CHECK_FALSE(watched.HasChanged());
  }
}

}  // namespace
}  // namespace qh::settings
