// A temporary directory for a daemon's files, and the path of the daemon.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace database_proxy::testbench {

// A directory that is created empty and removed with its contents by the destructor.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    auto pattern = (std::filesystem::temp_directory_path() / "database-proxy-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
      throw std::runtime_error("cannot create a temporary directory for the daemon's files");
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

// Returns the path of the daemon in the directory of this program.
inline std::string daemon_path() {
  std::error_code none;
  auto own = std::filesystem::read_symlink("/proc/self/exe", none);
  return (own.parent_path() / "database-proxy").string();
}

}  // namespace database_proxy::testbench
