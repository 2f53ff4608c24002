// A folder for one test, which goes with it.
#pragma once

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

namespace linenwinch::lab {

struct Folder {
  Folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "linenwinch-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()));
    path = pattern;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace linenwinch::lab
