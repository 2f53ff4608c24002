#include "handover/record_folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>

#include "net/fd.h"
#include "net/system_errors.h"

namespace database_proxy::handover {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPrefix = "database-proxy-", kSuffix = ".process", kTemporarySuffix = ".new";
// Limit of the records that are read of one listening socket: an upgrade has two or three processes.
constexpr std::size_t kMaxRecords = 64;
// Age at which the record of an ended process is removed. By then its successor, if there is one, has merged
// it.
constexpr Micros kStaleAfter = 60s;
// The same for a record with cordons, because the next process may start much later.
constexpr Micros kStaleAfterWithCordons = 7 * 24h;
constexpr mode_t kOwnerOnly = 0600;

bool write_all(int file, std::string_view text) {
  while (!text.empty()) {
    ssize_t written = ::write(file, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// Returns the pid in the name of a record file, or 0 if the name has another form.
pid_t pid_from_name(std::string_view name) {
  auto begin = name.rfind('-') + 1;
  pid_t pid = 0;
  std::from_chars(name.data() + begin, name.data() + name.size(), pid);
  return pid;
}

bool is_record_name(std::string_view name) {
  return name.starts_with(kPrefix) && (name.ends_with(kSuffix) || name.ends_with(kTemporarySuffix));
}

}  // namespace

RecordFolder::RecordFolder(std::string path, std::uint64_t socket_inode, ProcessIdentity own, net::Log log)
    : path_(std::move(path)),
      socket_prefix_(fmt::format("{}{}-", kPrefix, socket_inode)),
      own_name_(fmt::format("{}{}{}", socket_prefix_, own.pid, kSuffix)),
      log_(std::move(log)) {}

bool RecordFolder::write(const ProcessRecord& record) {
  auto target = path_ + "/" + own_name_;
  auto temporary = target + std::string(kTemporarySuffix);
  auto text = encode_record(record);
  int flags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW;
  net::Fd file(open(temporary.c_str(), flags, kOwnerOnly));
  bool is_written = file && write_all(file.get(), text) && rename(temporary.c_str(), target.c_str()) == 0;
  int error = errno;
  if (!is_written && file) unlink(temporary.c_str());
  if (std::exchange(is_failing_, !is_written) == is_failing_) return is_written;
  if (is_failing_)
    log_(net::Level::kWarning,
         fmt::format("cannot write {}: {}; until it is written, other processes receive no "
                     "cancel requests or limits from this one",
                     target, net::message_of(error)));
  else
    log_(net::Level::kInfo, fmt::format("{} is written again", target));
  return is_written;
}

std::vector<std::string> RecordFolder::list_names(const std::string& prefix) const {
  std::vector<std::string> names;
  std::error_code error;
  for (std::filesystem::directory_iterator entry(path_, error), end; !error && entry != end;
       entry.increment(error)) {
    auto name = entry->path().filename().string();
    if (name.starts_with(prefix) && is_record_name(name) && names.size() < kMaxRecords)
      names.push_back(std::move(name));
  }
  return names;
}

std::optional<std::string> RecordFolder::read_file(const std::string& name) const {
  net::Fd file(open((path_ + "/" + name).c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
  if (!file) return std::nullopt;
  std::string text;
  std::array<char, 16 * 1024> chunk{};
  while (text.size() <= kMaxRecordBytes) {
    ssize_t size = ::read(file.get(), chunk.data(), chunk.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return std::nullopt;
    if (size == 0) break;
    text.append(chunk.data(), static_cast<std::size_t>(size));
  }
  return text;
}

std::optional<RecordFolder::FileVersion> RecordFolder::version_of(const std::string& name) const {
  struct stat info {};
  if (lstat((path_ + "/" + name).c_str(), &info) != 0) return std::nullopt;
  if (!S_ISREG(info.st_mode) || info.st_uid != geteuid()) return std::nullopt;
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  return FileVersion{info.st_ino, info.st_mtim.tv_sec * kNanosPerSecond + info.st_mtim.tv_nsec, info.st_size};
}

// If the file cannot be read at the moment, the last valid record stays, and it is read again at the next
// scan.
void RecordFolder::read_if_changed(const std::string& name) {
  auto version = version_of(name);
  if (!version || versions_[name] == *version) return;
  auto text = read_file(name);
  if (!text) return;
  versions_[name] = *version;
  RecordError error = RecordError::kNone;
  if (auto record = decode_record(*text, &error))
    records_[name] = std::move(*record);
  else
    log_(net::Level::kWarning, fmt::format("{}/{} is ignored: {}", path_, name, describe(error)));
}

const std::map<std::string, ProcessRecord>& RecordFolder::read_other_records() {
  auto names = list_names(socket_prefix_);
  std::erase_if(names, [this](auto& name) { return name == own_name_ || name.ends_with(kTemporarySuffix); });
  auto is_absent = [&](auto& entry) {
    return std::find(names.begin(), names.end(), entry.first) == names.end();
  };
  std::erase_if(versions_, is_absent);
  std::erase_if(records_, is_absent);
  for (auto& name : names) read_if_changed(name);
  return records_;
}

void RecordFolder::remove(const std::string& name) { unlink((path_ + "/" + name).c_str()); }

void RecordFolder::remove_stale(Micros now) {
  for (auto& name : list_names(std::string(kPrefix))) {
    auto text = read_file(name);
    if (!text) continue;
    RecordError error = RecordError::kNone;
    auto record = decode_record(*text, &error);
    if (!record) {
      // An unfinished or corrupt record is of no use once its process has ended.
      bool is_useless = name.ends_with(kTemporarySuffix) || error == RecordError::kCorrupt;
      if (is_useless && state_of(pid_from_name(name)) == ProcessState::kGone) remove(name);
      continue;
    }
    if (state_of(record->process) != ProcessState::kGone) continue;
    bool has_cordons = std::any_of(record->cordons.begin(), record->cordons.end(),
                                   [](auto& mark) { return mark.second.is_cordoned; });
    auto stale_after = has_cordons ? kStaleAfterWithCordons : kStaleAfter;
    // A time in the future of the monotonic clock is from an earlier boot of the machine.
    bool is_old = record->written_at > now || now - record->written_at > stale_after;
    if (is_old) remove(name);
  }
}

}  // namespace database_proxy::handover
