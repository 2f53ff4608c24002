// Loaded into a process (LD_PRELOAD): its system calls fail as the shared fault control says, in ways that
// Linux documents. The process itself knows nothing of it.
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

constexpr long kHeldUpNanos = 150'000'000, kSlowFolderNanos = 200'000'000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000, kNanosPerMicro = 1000;

template <class Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// nullptr: no file is named, or it is not there.
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

std::uint64_t draw() {
  thread_local std::uint64_t state =
      control()->seed.load() * 0x9e3779b97f4a7c15u + static_cast<std::uint64_t>(gettid());
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return state;
}

bool is_hit(CallFault fault) {
  if (!control()) return false;
  auto one_in = control()->rate(fault).load(std::memory_order_relaxed);
  return one_in > 0 && draw() % one_in == 0;
}

// Fails with one of the errors. False: this call is spared.
bool fails(CallFault fault, std::initializer_list<int> errors) {
  if (!is_hit(fault)) return false;
  errno = errors.begin()[draw() % errors.size()];
  return true;
}

bool is_interrupted() { return fails(CallFault::kInterrupted, {EINTR}); }

bool is_regular_file(int file) {
  struct stat info {};
  return fstat(file, &info) == 0 && S_ISREG(info.st_mode);
}

bool is_socket(int file) {
  struct stat info {};
  return fstat(file, &info) == 0 && S_ISSOCK(info.st_mode);
}

void hold_up(timespec delay = {0, kHeldUpNanos}) { nanosleep(&delay, nullptr); }

// Only what lies in the folder that processes share: the configuration is the platform's.
bool is_in_shared_folder(const char* path) {
  const char* folder = getenv("TMPDIR");
  return folder && path && strncmp(path, folder, strlen(folder)) == 0;
}

}  // namespace

extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static auto* call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (is_interrupted() || fails(CallFault::kReceive, {ETIMEDOUT})) return -1;
  if (size > 1 && is_hit(CallFault::kShortRead)) size = 1 + draw() % std::min<size_t>(size - 1, 64);
  return call(fd, buffer, size, flags);
}

extern "C" ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (is_interrupted()) return -1;
  if (is_hit(CallFault::kHeldUpBeforeWrite)) hold_up();
  bool is_short =
      message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 1 && is_hit(CallFault::kShortWrite);
  if (!is_short) return call(fd, message, flags);
  iovec part{message->msg_iov[0].iov_base, 1 + draw() % (message->msg_iov[0].iov_len - 1)};
  msghdr shortened = *message;
  shortened.msg_iov = &part;
  shortened.msg_iovlen = 1;
  return call(fd, &shortened, flags);
}

extern "C" int shutdown(int fd, int how) noexcept {
  static auto* call = real<int (*)(int, int)>("shutdown");
  if (is_hit(CallFault::kHeldUpBeforeEnd)) hold_up();
  return call(fd, how);
}

extern "C" int close(int fd) {
  static auto* call = real<int (*)(int)>("close");
  if (is_hit(CallFault::kHeldUpBeforeEnd) && is_socket(fd)) hold_up();
  return call(fd);
}

extern "C" int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static auto* call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (is_interrupted() || fails(CallFault::kAccept, {ECONNABORTED, ENFILE, ENOBUFS})) return -1;
  return call(fd, address, length, flags);
}

extern "C" int socket(int domain, int type, int protocol) {
  static auto* call = real<int (*)(int, int, int)>("socket");
  if (fails(CallFault::kSocket, {ENFILE, ENOBUFS})) return -1;
  return call(domain, type, protocol);
}

extern "C" int connect(int fd, const sockaddr* address, socklen_t length) {
  static auto* call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (fails(CallFault::kConnect, {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH})) return -1;
  return call(fd, address, length);
}

extern "C" int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static auto* call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (is_interrupted()) return -1;
  return call(fd, events, most, timeout);
}

extern "C" ssize_t read(int fd, void* buffer, size_t size) {
  static auto* call = real<ssize_t (*)(int, void*, size_t)>("read");
  if (is_interrupted()) return -1;
  if (control() && is_regular_file(fd) && fails(CallFault::kFolderError, {EIO})) return -1;
  return call(fd, buffer, size);
}

extern "C" ssize_t write(int fd, const void* buffer, size_t size) {
  static auto* call = real<ssize_t (*)(int, const void*, size_t)>("write");
  bool is_spared = !control() || fd <= STDERR_FILENO || !is_regular_file(fd);
  if (is_spared) return call(fd, buffer, size);
  if (is_interrupted() || fails(CallFault::kFolderFull, {ENOSPC}) || fails(CallFault::kFolderError, {EIO}))
    return -1;
  if (!is_hit(CallFault::kTornWrite)) return call(fd, buffer, size);
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
  if (is_shared && is_hit(CallFault::kSlowFolder)) hold_up({1, kSlowFolderNanos});
  if (is_shared && (flags & O_CREAT) != 0 && fails(CallFault::kFolderFull, {ENOSPC})) return -1;
  if (is_shared && fails(CallFault::kFolderError, {EIO})) return -1;
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
