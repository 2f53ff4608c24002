#include "operator/call.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace linenwinch::operation {
namespace {

Call bad(std::string why) {
  Call call;
  call.why = std::move(why);
  return call;
}

}  // namespace

Call parse_call(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.size() > kLongestCall) return bad(fmt::format("a call has {} bytes at most", kLongestCall));
  auto strange = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
  if (std::any_of(line.begin(), line.end(), strange)) return bad("a call has no control characters");
  std::vector<std::string_view> words;
  while (!line.empty()) {
    auto end = std::min(line.find(' '), line.size());
    if (end > 0) words.push_back(line.substr(0, end));
    line.remove_prefix(std::min(end + 1, line.size()));
  }
  if (words.empty()) return bad("the line is empty; calls are health, counters, cordon ID, uncordon ID");
  Call call;
  std::size_t arguments = 0;
  if (words[0] == "health") {
    call.what = Call::What::kHealth;
  } else if (words[0] == "counters") {
    call.what = Call::What::kCounters;
  } else if (words[0] == "cordon" || words[0] == "uncordon") {
    call.what = words[0] == "cordon" ? Call::What::kCordon : Call::What::kUncordon;
    arguments = 1;
  } else {
    return bad("unknown call; calls are health, counters, cordon ID, uncordon ID");
  }
  if (words.size() != arguments + 1)
    return bad(arguments > 0 ? fmt::format("{} takes one id", words[0])
                             : fmt::format("{} takes no argument", words[0]));
  if (arguments > 0) call.id = words[1];
  return call;
}

void Figures::add(const Figures& other) {
  for (std::size_t i = 0; i < std::min(classes.size(), other.classes.size()); ++i) {
    classes[i].fulfilled += other.classes[i].fulfilled;
    classes[i].throttled += other.classes[i].throttled;
    classes[i].faulted += other.classes[i].faulted;
  }
  relayed += other.relayed;
  open_requests += other.open_requests;
  registry_entries = std::max(registry_entries, other.registry_entries);
  out_of_rotation = std::max(out_of_rotation, other.out_of_rotation);
}

std::string text_of(const Figures& figures) {
  std::string text;
  for (auto& c : figures.classes) {
    text += fmt::format("proxy.fulfilled.{}:{}|c\n", c.name, c.fulfilled);
    text += fmt::format("proxy.throttled.{}:{}|c\n", c.name, c.throttled);
    text += fmt::format("proxy.faulted.{}:{}|c\n", c.name, c.faulted);
  }
  text += fmt::format("proxy.relayed:{}|c\n", figures.relayed);
  text += fmt::format("proxy.open_requests:{}|g\n", figures.open_requests);
  text += fmt::format("proxy.registry_entries:{}|g\n", figures.registry_entries);
  text += fmt::format("proxy.out_of_rotation:{}|g\nEND\n", figures.out_of_rotation);
  return text;
}

std::string yes(std::string_view more) {
  return more.empty() ? std::string("YES\n") : fmt::format("YES {}\n", more);
}
std::string no(std::string_view why) { return fmt::format("NO {}\n", why); }

}  // namespace linenwinch::operation
