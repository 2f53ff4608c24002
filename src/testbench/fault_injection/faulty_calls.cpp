// Library preloaded into a process (LD_PRELOAD). Injects the system call failures that the shared fault
// control configures, with errors that Linux documents. The process needs no support for it.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <initializer_list>

#include "testbench/fault_injection/fault_control.h"

namespace {

using database_proxy::testbench::CallFault;
using database_proxy::testbench::FaultControl;

constexpr long kCallDelayNanos = 150'000'000, kSlowOpenExtraNanos = 200'000'000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000, kNanosPerMicro = 1000;

template <class Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// Returns nullptr if no file is configured or it cannot be opened or mapped.
FaultControl* open_control() {
  const char* path = getenv(database_proxy::testbench::kFaultControlVariable);
  auto* open_file = real<int (*)(const char*, int, ...)>("open");
  int file = path ? open_file(path, O_RDWR | O_CLOEXEC) : -1;
  if (file < 0) return nullptr;
  void* memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  real<int (*)(int)>("close")(file);
  return memory == MAP_FAILED ? nullptr : static_cast<FaultControl*>(memory);
}

FaultControl* control() {
  static FaultControl* memory = open_control();
  return memory;
}

std::uint64_t next_random() {
  thread_local std::uint64_t state =
      control()->seed.load() * 0x9e3779b97f4a7c15u + static_cast<std::uint64_t>(gettid());
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return state;
}

bool should_inject(CallFault fault) {
  if (!control()) return false;
  auto one_in = control()->rate(fault).load(std::memory_order_relaxed);
  return one_in > 0 && next_random() % one_in == 0;
}

// Sets errno to one of the errors and returns true if this call is to fail.
bool inject_error(CallFault fault, std::initializer_list<int> errors) {
  if (!should_inject(fault)) return false;
  errno = errors.begin()[next_random() % errors.size()];
  return true;
}

bool inject_interrupt() { return inject_error(CallFault::kInterrupted, {EINTR}); }

bool is_regular_file(int file) {
  struct stat info {};
  return fstat(file, &info) == 0 && S_ISREG(info.st_mode);
}

bool is_socket(int file) {
  struct stat info {};
  return fstat(file, &info) == 0 && S_ISSOCK(info.st_mode);
}

void delay_call(timespec delay = {0, kCallDelayNanos}) { nanosleep(&delay, nullptr); }

// Only files in the folder that processes share are affected: the configuration belongs to the platform.
bool is_in_shared_folder(const char* path) {
  const char* folder = getenv("TMPDIR");
  return folder && path && strncmp(path, folder, strlen(folder)) == 0;
}

}  // namespace

extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static auto* call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (inject_interrupt() || inject_error(CallFault::kReceive, {ETIMEDOUT})) return -1;
  if (size > 1 && should_inject(CallFault::kShortRead))
    size = 1 + next_random() % std::min<size_t>(size - 1, 64);
  return call(fd, buffer, size, flags);
}

extern "C" ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (inject_interrupt()) return -1;
  if (should_inject(CallFault::kDelayedWrite)) delay_call();
  bool is_short =
      message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 1 && should_inject(CallFault::kShortWrite);
  if (!is_short) return call(fd, message, flags);
  iovec part{message->msg_iov[0].iov_base, 1 + next_random() % (message->msg_iov[0].iov_len - 1)};
  msghdr shortened = *message;
  shortened.msg_iov = &part;
  shortened.msg_iovlen = 1;
  return call(fd, &shortened, flags);
}

extern "C" int shutdown(int fd, int how) noexcept {
  static auto* call = real<int (*)(int, int)>("shutdown");
  if (should_inject(CallFault::kDelayedClose)) delay_call();
  return call(fd, how);
}

extern "C" int close(int fd) {
  static auto* call = real<int (*)(int)>("close");
  if (should_inject(CallFault::kDelayedClose) && is_socket(fd)) delay_call();
  return call(fd);
}

extern "C" int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static auto* call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (inject_interrupt() || inject_error(CallFault::kAccept, {ECONNABORTED, ENFILE, ENOBUFS})) return -1;
  return call(fd, address, length, flags);
}

extern "C" int socket(int domain, int type, int protocol) {
  static auto* call = real<int (*)(int, int, int)>("socket");
  if (inject_error(CallFault::kSocket, {ENFILE, ENOBUFS})) return -1;
  return call(domain, type, protocol);
}

extern "C" int connect(int fd, const sockaddr* address, socklen_t length) {
  static auto* call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (inject_error(CallFault::kConnect, {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH})) return -1;
  return call(fd, address, length);
}

extern "C" int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static auto* call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (inject_interrupt()) return -1;
  return call(fd, events, max_events, timeout);
}

extern "C" ssize_t read(int fd, void* buffer, size_t size) {
  static auto* call = real<ssize_t (*)(int, void*, size_t)>("read");
  if (inject_interrupt()) return -1;
  if (control() && is_regular_file(fd) && inject_error(CallFault::kFileError, {EIO})) return -1;
  return call(fd, buffer, size);
}

extern "C" ssize_t write(int fd, const void* buffer, size_t size) {
  static auto* call = real<ssize_t (*)(int, const void*, size_t)>("write");
  bool is_excluded = !control() || fd <= STDERR_FILENO || !is_regular_file(fd);
  if (is_excluded) return call(fd, buffer, size);
  if (inject_interrupt() || inject_error(CallFault::kDiskFull, {ENOSPC}) ||
      inject_error(CallFault::kFileError, {EIO}))
    return -1;
  if (!should_inject(CallFault::kTruncatedWrite)) return call(fd, buffer, size);
  [[maybe_unused]] auto written = call(fd, buffer, size / 2);
  return static_cast<ssize_t>(size);
}

extern "C" int open(const char* path, int flags, ...) {
  static auto* call = real<int (*)(const char*, int, ...)>("open");
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  bool is_shared = is_in_shared_folder(path);
  if (is_shared && should_inject(CallFault::kSlowOpen)) delay_call({1, kSlowOpenExtraNanos});
  if (is_shared && (flags & O_CREAT) != 0 && inject_error(CallFault::kDiskFull, {ENOSPC})) return -1;
  if (is_shared && inject_error(CallFault::kFileError, {EIO})) return -1;
  return call(path, flags, mode);
}

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static auto* call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  int result = call(clock, time);
  if (clock != CLOCK_REALTIME || !control()) return result;
  auto micros = time->tv_sec * kMicrosPerSecond + time->tv_nsec / kNanosPerMicro +
                control()->wall_clock_offset_us.load(std::memory_order_relaxed);
  time->tv_sec = micros / kMicrosPerSecond;
  time->tv_nsec = micros % kMicrosPerSecond * kNanosPerMicro;
  return result;
}
