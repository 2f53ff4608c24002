#include "handover/exchange.h"

#include <dirent.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <vector>

namespace linenwinch::handover {
namespace {

using namespace std::chrono_literals;

// A cordon at one process must hold at the other within a second, most of which is left for the way to it.
constexpr net::Micros kLookEvery = 100ms;
// What was learned of data servers is renewed so often, and taken over in the first moments only: then this
// process knows better.
constexpr net::Micros kTellEvery = 500ms, kLearnFor = 2s;
constexpr std::string_view kBegin = "linenwinch-", kEnd = ".page";
// Processes of one socket: two, and those that died lately. What else lies there is not looked at.
constexpr std::size_t kMostPages = 16;

bool runs(std::int64_t process) { return kill(static_cast<pid_t>(process), 0) == 0 || errno == EPERM; }

std::optional<std::string> contents(const std::string& path) {
  net::Fd fd(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
  if (!fd) return std::nullopt;
  std::string text;
  char chunk[16384];
  for (ssize_t n; text.size() <= kLargestPage && (n = ::read(fd.get(), chunk, sizeof chunk)) > 0;)
    text.append(chunk, static_cast<std::size_t>(n));
  return text;
}

}  // namespace

Exchange::Exchange(net::Loop& loop, std::string folder, House house, net::Log log)
    : loop_(loop), folder_(std::move(folder)), house_(std::move(house)), log_(std::move(log)) {
  page_.process = getpid();
  started_ = net::monotonic_now();
  page_.since = started_.count();
  own_ = fmt::format("{}{}{}", kBegin, page_.process, kEnd);
  look();  // cordons hold from the first decision on
}

Exchange::~Exchange() {
  loop_.cancel(&timer_);
  // Where another one serves, it may not have read the last marks yet: it takes them over and removes the
  // page.
  if (!relieved_) unlink((folder_ + "/" + own_).c_str());
}

void Exchange::set_stage(Stage stage) {
  if (std::exchange(page_.stage, stage) != stage) publish(true);
}

// Written beside and renamed: a reader finds the old page or the new one, whole.
void Exchange::publish(bool must) {
  auto held = house_.descriptors();
  if (!must && held == page_.descriptors) return;
  page_.descriptors = held;
  page_.marks = house_.marks();
  auto text = text_of(page_), path = folder_ + "/" + own_, beside = path + ".new";
  net::Fd fd(open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0600));
  bool good = fd && write(fd.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
              rename(beside.c_str(), path.c_str()) == 0;
  if (!good && !failing_)
    log_(net::Level::kError,
         fmt::format("cannot write {}: {}; a process that takes over will not know of cordons", path,
                     std::strerror(errno)));
  failing_ = !good;
}

void Exchange::read(const std::string& name) {
  auto path = folder_ + "/" + name;
  struct stat info {};
  if (lstat(path.c_str(), &info) != 0) return;
  auto& known = known_[name];
  auto changed = info.st_mtim.tv_sec * 1'000'000'000 + info.st_mtim.tv_nsec;
  if (known.file == info.st_ino && known.changed == changed) return;
  known.file = info.st_ino;
  known.changed = changed;
  std::string why = "it cannot be read";
  auto text = S_ISREG(info.st_mode) ? contents(path) : std::nullopt;
  auto page = text ? read_page(*text, &why) : std::nullopt;
  if (!page) log_(net::Level::kWarning, fmt::format("{} is passed over: {}", path, why));
  known.good = page.has_value();
  if (!page) return;
  known.page = *page;
  // A clock that is ahead of ours belongs to another start of the machine.
  std::erase_if(known.page.marks, [&](auto& m) { return m.second.stamp > net::monotonic_now().count(); });
  house_.merge(known.page.marks);
  if (net::monotonic_now() - started_ >= kLearnFor || page->learned.empty()) return;
  if (std::exchange(learned_from_, page->process) != page->process)
    log_(net::Level::kInfo, fmt::format("taken over from process {}: what it has learned of {} data servers",
                                        page->process, page->learned.size()));
  house_.learn(page->learned);
}

void Exchange::look() {
  std::vector<std::string> names;
  if (auto* folder = opendir(folder_.c_str())) {
    while (auto* entry = readdir(folder)) {
      std::string_view name = entry->d_name;
      if (name.starts_with(kBegin) && name.ends_with(kEnd) && name != own_ && names.size() < kMostPages)
        names.emplace_back(name);
    }
    closedir(folder);
  }
  std::erase_if(known_,
                [&](auto& k) { return std::find(names.begin(), names.end(), k.first) == names.end(); });
  std::size_t hold = 0;
  int others = 0;
  bool relieved = false;
  for (auto& name : names) {
    read(name);
    auto it = known_.find(name);
    if (it == known_.end() || !it->second.good) continue;
    auto& page = it->second.page;
    if (!runs(page.process)) {  // its marks are ours now, which this process's own page tells
      publish(true);
      unlink((folder_ + "/" + name).c_str());
      continue;
    }
    hold += page.descriptors;
    ++others;
    relieved |= page.stage == Stage::kServing;
  }
  relieved_ = relieved;
  bool changed = std::exchange(others_, others) != others;
  if (std::exchange(others_hold_, hold) != hold || changed) house_.beside(others, hold);
  if (!names.empty()) publish(false);
  if (page_.stage == Stage::kServing && loop_.now() - told_at_ >= kTellEvery) {
    told_at_ = loop_.now();
    house_.learned([this](routing::Learned learned) {
      page_.learned = std::move(learned);
      publish(true);
    });
  }
  loop_.cancel(&timer_);
  timer_ = loop_.at(loop_.now() + kLookEvery, [this] { look(); });
}

}  // namespace linenwinch::handover
