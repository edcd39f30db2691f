#pragma once

#include <string>
#include <vector>

namespace qh::settings {

/** One "key = value" line of an INI file. */
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  /** Line number in the file, from 1. */
  int line = 0;
};

/** One "[section]" line of an INI file. */
struct IniSection {
  std::string name;
  /** Line number in the file, from 1. */
  int line = 0;
};

/** A place in a settings or contract file that is not allowed. */
struct SettingsProblem {
  std::string file;
  /** Line number in the file, from 1; 0 if something is missing from the file. */
  int line = 0;
  std::string section;
  std::string key;
  /** What stands in the file; empty if something is missing. */
  std::string found;
  /** What is allowed there. */
  std::string allowed;
};

/** Returns "<file>:<line>: [<section>] <key>: found ..., allowed ...". */
std::string ToString(const SettingsProblem& problem);

/** The lines of an INI file in order, duplicates included, with the lines that have no valid form.
 */
struct IniDocument {
  std::string file;
  std::vector<IniSection> sections;
  std::vector<IniEntry> entries;
  std::vector<SettingsProblem> syntax_problems;
};

/** Parses `text`; `file` only names it in problems. Comments start with ';' or '#'. */
IniDocument ParseIni(const std::string& file, const std::string& text);

/** Reads and parses the file at `path`; an unreadable file is a syntax problem at line 0. */
IniDocument ReadIniFile(const std::string& path);

}  // namespace qh::settings
