// Golden files hold one `name value` pair per line; tests compare them with what the program produces now. If
// the environment variable DATABASE_PROXY_REWRITE_GOLDEN is set, a test rewrites its file instead and fails,
// so that a run that rewrites cannot be mistaken for one that compares.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace database_proxy::test {

// Value of each line of a golden file, by its name.
using NamedLines = std::map<std::string, std::string>;

// Returns the path of a file or directory under tests/data.
inline std::filesystem::path data_path(const std::string& name) {
  return std::filesystem::path(DATABASE_PROXY_TEST_DATA) / name;
}

inline bool should_rewrite_golden_files() { return std::getenv("DATABASE_PROXY_REWRITE_GOLDEN") != nullptr; }

inline std::string to_hex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : bytes) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

inline std::string from_hex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
  return bytes;
}

// Reads a golden file; empty lines and lines that begin with `#` are skipped.
inline NamedLines read_golden(const std::string& file_name) {
  std::ifstream file(data_path(file_name));
  EXPECT_TRUE(file) << data_path(file_name) << " cannot be read";
  NamedLines lines;
  for (std::string line; std::getline(file, line);) {
    auto space = line.find(' ');
    if (line.empty() || line[0] == '#') continue;
    EXPECT_NE(space, std::string::npos) << file_name << ": no value in '" << line << "'";
    EXPECT_TRUE(lines.emplace(line.substr(0, space), line.substr(space + 1)).second)
        << file_name << ": duplicate name in line: " << line;
  }
  return lines;
}

// Expects the golden file and `actual` to have the same names, each with the same value. In a rewriting run,
// writes `actual` to the file, with `header_comment` as its first line, and fails the test.
inline void expect_golden(const std::string& file_name, const std::string& header_comment,
                          const NamedLines& actual) {
  if (should_rewrite_golden_files()) {
    std::ofstream file(data_path(file_name));
    file << "# " << header_comment << "\n";
    for (auto& [name, value] : actual) file << name << ' ' << value << '\n';
    ADD_FAILURE() << file_name << " was rewritten, nothing was compared";
    return;
  }
  auto golden = read_golden(file_name);
  EXPECT_FALSE(golden.empty()) << file_name << " has no entries";
  for (auto& [name, value] : actual) {
    auto it = golden.find(name);
    if (it == golden.end())
      ADD_FAILURE() << file_name << " has no entry '" << name << "'; current value:\n" << value;
    else
      EXPECT_EQ(it->second, value) << file_name << ": " << name;
  }
  for (auto& [name, value] : golden)
    EXPECT_TRUE(actual.contains(name)) << file_name << ": '" << name << "' is no longer produced";
}

}  // namespace database_proxy::test
