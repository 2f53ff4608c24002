#include "handover/page.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace linenwinch::handover {
namespace {

using nlohmann::json;

constexpr std::string_view kTitle = "linenwinch-page 1 ";  // with the version of what follows

std::uint64_t sum_of(std::string_view text) {  // FNV-1a
  std::uint64_t hash = 14695981039346656037u;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211u;
  return hash;
}

std::chrono::microseconds micros(const json& count) {
  return std::chrono::microseconds(count.get<std::int64_t>());
}

std::string title(std::string_view body) { return fmt::format("{}{:016x}\n", kTitle, sum_of(body)); }

}  // namespace

std::string text_of(const Page& page) {
  json marks = json::object();
  for (auto& [id, m] : page.marks)
    marks[id] = {{"stamp", m.stamp}, {"out", m.out}, {"since_ms", m.since_ms}, {"back_ms", m.back_ms}};
  json body = {{"process", page.process},
               {"since", page.since},
               {"stage", static_cast<int>(page.stage)},
               {"descriptors", page.descriptors},
               {"marks", std::move(marks)}};
  // Whole numbers do; a build that does not know this reads past it.
  for (std::size_t i = 0; i < std::min(page.learned.size(), kMostServers); ++i) {
    auto& l = page.learned[i];
    json latency = json::array();
    for (double us : l.latency) latency.push_back(std::llround(us));
    body["servers"][l.server] = {l.role,  l.role_as_of.count(), l.heard_at.count(), l.position_unix.count(),
                                 l.limit, std::move(latency)};
  }
  auto dump = [&] { return body.dump(-1, ' ', false, json::error_handler_t::replace); };
  auto text = dump();
  if (text.size() + title(text).size() > kLargestPage) {  // the marks must go over
    body.erase("servers");
    text = dump();
  }
  return title(text) + text;
}

std::optional<Page> read_page(std::string_view text, std::string* why) try {
  auto fail = [&](const char* what) {
    *why = what;
    return std::nullopt;
  };
  if (text.size() > kLargestPage) return fail("it is too large");
  if (!text.starts_with(kTitle)) return fail("it is not of this program, or of another version");
  auto end = text.find('\n');
  if (end == std::string_view::npos) return fail("it is torn");
  auto body = text.substr(end + 1);
  if (text.substr(0, end + 1) != title(body)) return fail("it is torn");
  auto read = json::parse(body);
  Page page;
  page.process = read.at("process").get<std::int64_t>();
  page.since = read.at("since").get<std::int64_t>();
  auto stage = read.at("stage").get<int>();
  if (page.process <= 0 || stage < 0 || stage > static_cast<int>(Stage::kLeaving))
    return fail("its figures are impossible");
  page.stage = static_cast<Stage>(stage);
  page.descriptors = read.at("descriptors").get<std::size_t>();
  for (auto& [id, m] : read.at("marks").items()) {
    if (page.marks.size() >= membership::kMostMarks) return fail("it holds too many marks");
    page.marks[id] = {m.at("stamp").get<std::int64_t>(), m.at("out").get<bool>(),
                      m.at("since_ms").get<std::int64_t>(), m.at("back_ms").get<std::int64_t>()};
  }
  auto servers = read.value("servers", json::object());
  for (auto& [id, l] : servers.items()) {
    routing::LearnedServer server{id,
                                  l.at(0).get<int>(),
                                  micros(l.at(1)),
                                  micros(l.at(2)),
                                  micros(l.at(3)),
                                  l.at(4).get<double>(),
                                  l.at(5).get<std::vector<double>>()};
    if (server.role < 0 || server.role > 2 || !(server.limit >= 0)) return fail("its figures are impossible");
    page.learned.push_back(std::move(server));
  }
  return page;
} catch (const json::exception& e) {
  *why = e.what();
  return std::nullopt;
}

}  // namespace linenwinch::handover
