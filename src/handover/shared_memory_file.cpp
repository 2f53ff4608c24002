#include "handover/shared_memory_file.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <system_error>

namespace database_proxy::handover {
namespace {

namespace fs = std::filesystem;

// Without these seals, another process could cut the file, and the next access here would end this process.
constexpr int kSeals = F_SEAL_SHRINK | F_SEAL_GROW;

bool is_usable(int file, std::size_t size) {
  struct stat info {};
  bool has_size = fstat(file, &info) == 0 && static_cast<std::size_t>(info.st_size) == size;
  return has_size && (fcntl(file, F_GET_SEALS) & kSeals) == kSeals;
}

bool is_process_directory(const fs::path& path) {
  auto name = path.filename().string();
  return std::all_of(name.begin(), name.end(),
                     [](unsigned char character) { return std::isdigit(character) != 0; });
}

// Processes may end, and descriptors be closed, while they are looked through.
net::Fd find_in_process(const fs::path& process, const std::string& link, std::size_t size) {
  std::error_code error;
  for (fs::directory_iterator it(process / "fd", error), end; !error && it != end; it.increment(error)) {
    std::error_code link_error;
    if (fs::read_symlink(it->path(), link_error).string() != link || link_error) continue;
    net::Fd file(open(it->path().c_str(), O_RDWR | O_CLOEXEC));
    if (file && is_usable(file.get(), size)) return file;
  }
  return {};
}

net::Fd find(const std::string& name, std::size_t size) {
  auto link = "/memfd:" + name + " (deleted)";
  std::error_code error;
  for (fs::directory_iterator it("/proc", error), end; !error && it != end; it.increment(error)) {
    if (!is_process_directory(it->path())) continue;
    if (auto file = find_in_process(it->path(), link, size)) return file;
  }
  return {};
}

net::Fd create(const std::string& name, std::size_t size) {
  net::Fd file(memfd_create(name.c_str(), MFD_CLOEXEC | MFD_ALLOW_SEALING));
  if (!file || ftruncate(file.get(), static_cast<off_t>(size)) != 0) return {};
  if (fcntl(file.get(), F_ADD_SEALS, kSeals) != 0) return {};
  return file;
}

}  // namespace

net::Fd open_shared_memory_file(const std::string& name, std::size_t size) {
  if (auto file = find(name, size)) return file;
  return create(name, size);
}

}  // namespace database_proxy::handover
