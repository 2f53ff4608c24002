#include "app/operations.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdlib>
#include <cstring>

namespace linenwinch::app {
namespace {

std::vector<std::string> names_of(const badgercourse::Settings& settings) {
  std::vector<std::string> names;
  for (auto& c : settings.classes) names.push_back(c.name);
  return names;
}

}  // namespace

Started Started::from_environment() {
  Started s;
  if (const char* address = std::getenv("NODE_OPERATOR")) s.operators = address;
  if (const char* folder = std::getenv("TMPDIR")) s.folder = folder;
  if (const char* number = std::getenv("NODE_ACCEPT_FD"); number && *number) {
    auto [end, error] = std::from_chars(number, number + std::strlen(number), s.listen_fd);
    if (error != std::errc() || *end || s.listen_fd < 3)
      throw ConfigError(fmt::format("NODE_ACCEPT_FD is no number of a descriptor: '{}'", number));
  }
  return s;
}

Operations::Operations(net::Loop& loop, const Config& config, const Started& started, net::Log log)
    : loop_(loop),
      log_(log),
      address_(started.operators.empty() ? config.operators : started.operators),
      folder_(started.folder),
      listen_fd_(started.listen_fd),
      desk_(names_of(config.settings), log) {}

void Operations::prepare(proxy::ProxyOptions* options) {
  options->listen_fd = listen_fd_;
  options->kept_back = address_.empty() ? 0 : operation::kDoorDescriptors;
  options->lay_over = [this](discovery::MemberUpdate update) { return desk_.lay_over(std::move(update)); };
}

void Operations::open(House house) {
  house.desk.marked = [this] {
    if (exchange_) exchange_->marked();
  };
  desk_.open(std::move(house.desk));
  // Only with an inherited socket can another process serve beside this one.
  if (listen_fd_ >= 0 && !folder_.empty())
    exchange_.emplace(
        loop_, folder_,
        handover::Exchange::House{[this] { return desk_.marks(); },
                                  [this](auto& marks) { desk_.merge(marks); }, std::move(house.descriptors),
                                  std::move(house.beside), std::move(house.learned), std::move(house.learn)},
        log_);
  if (address_.empty()) return;
  door_.emplace(loop_, address_, [this](auto& call, auto answer) { desk_.serve(call, answer); });
  log_(net::Level::kInfo, fmt::format("operators are served on {}", address_));
}

}  // namespace linenwinch::app
