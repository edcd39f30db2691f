#include "quetzalhinge/settings/ini_document.h"

#include <ini.h>

#include <cstring>
#include <fstream>
#include <sstream>

namespace qh::settings {
namespace {

/**
 * State of the parser. inih does not pass line numbers to its entry handler, so ReadLine() counts
 * them.
 */
struct ParseState {
  IniDocument* document;
  std::istringstream input;
  int line = 0;
};

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

void RecordSectionLine(ParseState& state, const std::string& raw_line) {
  const std::string text = Trim(raw_line);
  const std::size_t close = text.find(']');
  if (!text.empty() && text.front() == '[' && close != std::string::npos) {
    state.document->sections.push_back({text.substr(1, close - 1), state.line});
  }
}

char* ReadLine(char* buffer, int size, void* stream) {
  auto& state = *static_cast<ParseState*>(stream);
  std::string line;
  if (!std::getline(state.input, line)) {
    return nullptr;
  }
  ++state.line;
  const auto capacity = static_cast<std::size_t>(size) - 2;
  if (line.size() > capacity) {
    state.document->syntax_problems.push_back({state.document->file, state.line, "", "",
                                               std::to_string(line.size()) + " characters",
                                               "at most " + std::to_string(capacity)});
    line.resize(capacity);
  }
  RecordSectionLine(state, line);
  line += '\n';
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

int AddEntry(void* user, const char* section, const char* key, const char* value) {
  auto& state = *static_cast<ParseState*>(user);
  state.document->entries.push_back({section, key, value != nullptr ? value : "", state.line});
  return 1;
}

}  // namespace

std::string ToString(const SettingsProblem& problem) {
  std::string text = problem.file + ":" + std::to_string(problem.line) + ":";
  if (!problem.section.empty()) {
    text += " [" + problem.section + "]";
  }
  if (!problem.key.empty()) {
    text += " " + problem.key;
  }
  text += problem.found.empty() ? " is missing" : " found \"" + problem.found + "\"";
  return text + "; allowed: " + problem.allowed;
}

IniDocument ParseIni(const std::string& file, const std::string& text) {
  IniDocument document;
  document.file = file;
  ParseState state{&document, std::istringstream(text)};
  // inih reports only the first invalid line, so parsing restarts on the rest of the text until
  // every invalid line is found.
  while (state.input.good()) {
    const int first_line = state.line;
    const int bad_line = ini_parse_stream(ReadLine, &state, AddEntry, &state);
    if (bad_line <= 0) {
      break;
    }
    document.syntax_problems.push_back({file, first_line + bad_line, "", "", "no valid INI line",
                                        "[section], key = value, or a comment"});
  }
  return document;
}

IniDocument ReadIniFile(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    IniDocument document;
    document.file = path;
    document.syntax_problems.push_back({path, 0, "", "", "unreadable file", "a readable INI file"});
    return document;
  }
  std::ostringstream text;
  text << input.rdbuf();
  return ParseIni(path, text.str());
}

}  // namespace qh::settings
