// A folder of its own for a daemon's files, gone at the end; and where the daemon is.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace database_proxy::testbench {

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    auto pattern = (std::filesystem::temp_directory_path() / "database-proxy-XXXXXX").string();
    if (!mkdtemp(pattern.data())) throw std::runtime_error("cannot make a folder for the daemon's files");
    path_ = pattern;
  }
  ~TemporaryDirectory() {
    std::error_code none;
    std::filesystem::remove_all(path_, none);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The daemon that was built beside this program.
inline std::string daemon_path() {
  std::error_code none;
  auto own = std::filesystem::read_symlink("/proc/self/exe", none);
  return (own.parent_path() / "database-proxy").string();
}

}  // namespace database_proxy::testbench
