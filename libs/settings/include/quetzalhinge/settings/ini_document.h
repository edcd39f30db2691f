#pragma once

#include <string>
#include <vector>

namespace qh::settings {

/** A "key = value" line of an INI file. */
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  /** Line number in the file, from 1. */
  int line = 0;
};

/** A "[section]" line of an INI file. */
struct IniSection {
  std::string name;
  /** Line number in the file, from 1. */
  int line = 0;
};

/** An invalid or missing value in a settings or contract file. */
struct SettingsProblem {
  std::string file;
  /** Line number in the file, from 1; 0 if a required key is missing or the file is unreadable. */
  int line = 0;
  std::string section;
  std::string key;
  /** The invalid text in the file; empty if a required key is missing. */
  std::string found;
  /** Description of the allowed values. */
  std::string allowed;
};

/**
 * Returns "<file>:<line>: [<section>] <key> found "<text>"; allowed: <description>", with "is
 * missing" in place of "found ..." for a missing key.
 */
std::string ToString(const SettingsProblem& problem);

/** A parsed INI file: its sections and entries in order, with duplicates, and its invalid lines. */
struct IniDocument {
  std::string file;
  std::vector<IniSection> sections;
  std::vector<IniEntry> entries;
  std::vector<SettingsProblem> syntax_problems;
};

/** Parses `text`. `file` is the name used in problems. Comments start with ';' or '#'. */
IniDocument ParseIni(const std::string& file, const std::string& text);

/** Reads and parses the file at `path`. An unreadable file gives a syntax problem at line 0. */
IniDocument ReadIniFile(const std::string& path);

}  // namespace qh::settings
