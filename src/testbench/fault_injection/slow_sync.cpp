// Library that the fault harness preloads into a process (LD_PRELOAD). Delays each sync of a file by the
// number of milliseconds that the file named by DATABASE_PROXY_SLOW_SYNC holds at that time. The process
// needs no support for it.
#include <dlfcn.h>
#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

namespace {

void delay_sync() {
  const char* path = getenv("DATABASE_PROXY_SLOW_SYNC");
  if (!path) return;
  int fd = open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0) return;
  char text[16] = {};
  [[maybe_unused]] auto n = read(fd, text, sizeof text - 1);
  close(fd);
  long ms = strtol(text, nullptr, 10);
  timespec t{ms / 1000, ms % 1000 * 1'000'000};
  if (ms > 0) nanosleep(&t, nullptr);
}

using Sync = int (*)(int);

}  // namespace

extern "C" int fsync(int fd) {
  static auto real = reinterpret_cast<Sync>(dlsym(RTLD_NEXT, "fsync"));
  delay_sync();
  return real(fd);
}

extern "C" int fdatasync(int fd) {
  static auto real = reinterpret_cast<Sync>(dlsym(RTLD_NEXT, "fdatasync"));
  delay_sync();
  return real(fd);
}
