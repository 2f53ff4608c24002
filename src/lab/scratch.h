// A folder of its own for a daemon's files, gone at the end; and where the daemon is.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace linenwinch::lab {

class ScratchFolder {
 public:
  ScratchFolder() {
    auto pattern = (std::filesystem::temp_directory_path() / "linenwinch-XXXXXX").string();
    if (!mkdtemp(pattern.data())) throw std::runtime_error("cannot make a folder for the daemon's files");
    path_ = pattern;
  }
  ~ScratchFolder() {
    std::error_code none;
    std::filesystem::remove_all(path_, none);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The daemon that was built beside this program.
inline std::string daemon_beside() {
  std::error_code none;
  auto own = std::filesystem::read_symlink("/proc/self/exe", none);
  return (own.parent_path() / "linenwinch").string();
}

}  // namespace linenwinch::lab
