// Golden files: one `name value` a line, compared with what the program writes now. With
// DATABASE_PROXY_REWRITE_GOLDEN=1 in the environment a test writes its file anew instead, and fails, so that
// no run which rewrites can be taken for one which compares.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace database_proxy::test {

using NamedLines = std::map<std::string, std::string>;

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

inline NamedLines read_golden(const std::string& file_name) {
  std::ifstream file(data_path(file_name));
  EXPECT_TRUE(file) << data_path(file_name) << " cannot be read";
  NamedLines lines;
  for (std::string line; std::getline(file, line);) {
    auto space = line.find(' ');
    if (line.empty() || line[0] == '#') continue;
    EXPECT_NE(space, std::string::npos) << file_name << ": no value in '" << line << "'";
    EXPECT_TRUE(lines.emplace(line.substr(0, space), line.substr(space + 1)).second)
        << file_name << ": twice: " << line;
  }
  return lines;
}

// Every name must be on both sides, with the same value.
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
  EXPECT_FALSE(golden.empty()) << file_name << " holds nothing";
  for (auto& [name, value] : actual) {
    auto it = golden.find(name);
    if (it == golden.end())
      ADD_FAILURE() << file_name << " lacks '" << name << "', which is now\n" << value;
    else
      EXPECT_EQ(it->second, value) << file_name << ": " << name;
  }
  for (auto& [name, value] : golden)
    EXPECT_TRUE(actual.contains(name)) << file_name << ": '" << name << "' is not written now";
}

}  // namespace database_proxy::test
