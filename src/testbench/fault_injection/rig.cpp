#include "testbench/fault_injection/rig.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace database_proxy::testbench::faults {
namespace {

namespace fs = std::filesystem;
constexpr const char* kSlowSync = "libslow_sync.so";

}  // namespace

FaultHarness::FaultHarness(FaultHarnessOptions options) : options_(std::move(options)) {
  links_ = std::make_unique<Links>();
  for (std::size_t i = 0; i < options_.zones.size(); ++i) {
    auto& zone = options_.zones[i].name;
    links_->add_source(fmt::format("127.0.{}.1", i + 1), zone);
    for (auto& other : options_.zones) links_->add_link(zone, other.name);
  }
  if (!options_.zones.empty()) {
    options_.fake_servers.zones.clear();
    for (auto& zone : options_.zones) options_.fake_servers.zones.push_back(zone.name);
    options_.fake_servers.advertised_address = [this](const std::string& zone, int port) {
      return fmt::format("127.0.0.1:{}",
                         links_->add_shared_listener(zone, fmt::format("127.0.0.1:{}", port)));
    };
    options_.fake_servers.lag_between = [this](const std::string& a, const std::string& b) {
      return a == b                         ? Micros(0)
             : region_of(a) == region_of(b) ? options_.intra_region_lag
                                            : options_.inter_region_lag;
    };
  }
  fake_servers_ = std::make_unique<FakeServers>(options_.fake_servers);
  std::vector<std::string> names;
  for (int i = 1; i <= options_.voters; ++i) voters_.push_back(fmt::format("n{}", i));
  names = voters_;
  for (int i = 1; i <= options_.followers; ++i) names.push_back(fmt::format("p{}", i));
  for (auto& name : voters_) processes_[name].address = fmt::format("127.0.0.1:{}", free_port());
  for (std::size_t i = 0; i < names.size(); ++i) {
    auto& name = names[i];
    auto& p = processes_[name];
    bool voter = i < voters_.size();
    json group = {{"installation", "lab"}, {"name", name}, {"nodes", json::array()}};
    if (voter) {
      group["listen"] = p.address;
      group["directory"] = folder(name) + "/state";
    }
    for (auto& other : voters_) {
      auto to = processes_[other].address;
      if (other != name && options_.grouped) {
        to = fmt::format("127.0.0.1:{}", links_->add_listener(name, other, to));
        process_links_.emplace_back(name, other);
      }
      group["nodes"].push_back({{"name", other}, {"address", to}});
    }
    if (options_.placement) {
      json regions = json::object();
      for (auto& zone : options_.zones) regions[zone.region].push_back(zone.name);
      group["placement"] = {{"regions", regions}, {"requests_per_weight", options_.requests_per_weight}};
    }
    group.merge_patch(options_.group);
    fs::create_directories(folder(name));
    auto& d = p.options;
    d.program = options_.program;
    d.folder = folder(name);
    d.discovery = fake_servers_->discovery_address();
    d.known_members = fake_servers_->members();
    d.name = name;
    d.sockets = 512;
    d.memory_mb = 64;
    d.seed = options_.seed * 1000 + i;
    d.settings = options_.settings;
    d.settings["NInstances"] = names.size();
    p.client_port = d.port = free_port();
    if (options_.grouped) d.operator_file = {{"group", group}};
    if (!options_.zones.empty()) {
      auto at = i % options_.zones.size();
      p.zone = options_.zones[at].name;
      d.settings["Zone"] = p.zone;
      if (d.operator_file.is_null()) d.operator_file = json::object();
      auto source = fmt::format("127.0.{}.1", at + 1);
      if (std::count(options_.own_sources.begin(), options_.own_sources.end(), name)) {
        source = fmt::format("127.1.{}.1", i + 1);
        links_->add_source(source, name);
        for (auto& zone : options_.zones) links_->add_link(name, zone.name);
      }
      d.operator_file["network"] = {{"source", source}};
    }
    auto slow = fs::path(options_.program).parent_path() / kSlowSync;
    if (voter && fs::exists(slow)) {
      std::ofstream(folder(name) + "/slow") << "0";
      d.environment = {{"LD_PRELOAD", slow.string()},
                       {"DATABASE_PROXY_SLOW_SYNC", folder(name) + "/slow"},
                       {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
    }
  }
  history_.add("rig",
               {{"voters", options_.voters}, {"followers", options_.followers}, {"seed", options_.seed}});
  heal();
  if (!options_.start) return;
  for (auto& name : names) start(name);
  if (!options_.grouped || !options_.bootstrap) return;
  json ids = json::array();
  for (auto& name : voters_) ids.push_back(send_command(name, {{"do", "identify"}}, 5000).at("id"));
  for (auto& name : voters_)
    if (auto answer = send_command(name, {{"do", "bootstrap"}, {"voters", ids}}, 5000);
        !answer.value("ok", false))
      throw std::runtime_error(
          fmt::format("{} cannot bootstrap the group: {}", name, answer.value("why", "?")));
  if (!wait_until([&] { return !leader().empty(); })) throw std::runtime_error("no leader was elected");
}

FaultHarness::~FaultHarness() {
  for (auto& [name, p] : processes_) p.daemon.reset();
}

std::string FaultHarness::folder(const std::string& name) const {
  return (fs::path(options_.folder) / name).string();
}
std::string FaultHarness::operator_file(const std::string& name) const {
  return folder(name) + "/operator.json";
}

std::string FaultHarness::log(const std::string& name) const {
  auto& p = processes_.at(name);
  return p.earlier_log + (p.daemon ? p.daemon->log() : "");
}

std::vector<std::string> FaultHarness::followers() const {
  std::vector<std::string> names;
  for (int i = 1; i <= options_.followers; ++i) names.push_back(fmt::format("p{}", i));
  return names;
}

std::vector<std::string> FaultHarness::all() const {
  auto names = voters_;
  for (auto& f : followers()) names.push_back(f);
  return names;
}

void FaultHarness::start(const std::string& name) {
  auto& p = processes_.at(name);
  if (p.daemon) {
    p.earlier_log += p.daemon->log();
    p.daemon.reset();
  }
  p.paused = false;
  history_.add("start", {{"node", name}});
  p.daemon = std::make_unique<ProcessUnderTest>(p.options);
}

void FaultHarness::launch(const std::vector<std::string>& names, const json& known) {
  for (auto& name : names) {
    auto& p = processes_.at(name);
    if (p.daemon) p.earlier_log += p.daemon->log();
    p.daemon.reset();
    p.paused = false;
    auto options = p.options;
    options.wait_until_ready = false;
    options.known_members = known;
    history_.add("launch", {{"node", name}});
    p.daemon = std::make_unique<ProcessUnderTest>(options);
  }
}

void FaultHarness::kill(const std::string& name) {
  auto& p = processes_.at(name);
  history_.add("kill", {{"node", name}});
  if (!p.daemon) return;
  p.daemon->signal(SIGKILL);
  p.daemon->wait();
}

void FaultHarness::pause(const std::string& name) {
  history_.add("pause", {{"node", name}});
  processes_.at(name).paused = true;
  processes_.at(name).daemon->signal(SIGSTOP);
}

void FaultHarness::resume(const std::string& name) {
  history_.add("resume", {{"node", name}});
  processes_.at(name).paused = false;
  if (processes_.at(name).daemon) processes_.at(name).daemon->signal(SIGCONT);
}

int FaultHarness::terminate(const std::string& name) {
  history_.add("terminate", {{"node", name}});
  auto& d = processes_.at(name).daemon;
  d->signal(SIGTERM);
  return d->wait();
}

void FaultHarness::empty_directory(const std::string& name) {
  history_.add("empty directory", {{"node", name}});
  fs::remove_all(folder(name) + "/state");
}

void FaultHarness::corrupt_store(const std::string& name) {
  history_.add("tear directory", {{"node", name}});
  auto path = folder(name) + "/state/group.db";
  // Replay of the write-ahead log would repair the damaged pages.
  std::error_code none;
  fs::remove(path + "-wal", none);
  auto size = fs::file_size(path);
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(static_cast<std::streamoff>(std::min<std::uintmax_t>(size / 2, 100)));
  file << std::string(std::min<std::size_t>(size / 2, 4000), '\x5a');
}

void FaultHarness::limit_file_size(const std::string& name, std::uint64_t bytes) {
  history_.add("limit files", {{"node", name}, {"bytes", bytes}});
  processes_.at(name).options.max_file_bytes = bytes;
}

void FaultHarness::set_sync_delay(const std::string& name, int ms) {
  history_.add("slow disk", {{"node", name}, {"ms", ms}});
  std::ofstream(folder(name) + "/slow") << ms;
}

bool FaultHarness::running(const std::string& name) {
  auto& d = processes_.at(name).daemon;
  return d && d->running();
}

void FaultHarness::set_links(const std::function<bool(const std::string&, const std::string&)>& predicate,
                             LinkState state) {
  for (auto& [from, to] : process_links_)
    if (predicate(from, to)) links_->set(from, to, state);
}

void FaultHarness::cut(const std::string& a, const std::string& b) {
  history_.add("cut", {{"a", a}, {"b", b}});
  LinkState cut;
  cut.hold_forward = cut.hold_backward = true;
  set_links([&](auto& from, auto& to) { return (from == a && to == b) || (from == b && to == a); }, cut);
}

void FaultHarness::isolate(const std::string& name) {
  history_.add("isolate", {{"node", name}});
  LinkState cut;
  cut.hold_forward = cut.hold_backward = true;
  set_links([&](auto& from, auto& to) { return from == name || to == name; }, cut);
}

void FaultHarness::block_outgoing(const std::string& name) {
  history_.add("mute", {{"node", name}});
  for (auto& [from, to] : process_links_) {
    LinkState s;
    if (from == name) s.hold_forward = true;
    if (to == name) s.hold_backward = true;
    if (from == name || to == name) links_->set(from, to, s);
  }
}

void FaultHarness::block_incoming(const std::string& name) {
  history_.add("deafen", {{"node", name}});
  for (auto& [from, to] : process_links_) {
    LinkState s;
    if (from == name) s.hold_backward = true;
    if (to == name) s.hold_forward = true;
    if (from == name || to == name) links_->set(from, to, s);
  }
}

void FaultHarness::shape(const std::string& from, const std::string& to, LinkState s) {
  history_.add("shape", {{"from", from},
                         {"to", to},
                         {"delay_ms", s.delay.count() / 1000},
                         {"bytes_per_second", s.bytes_per_second},
                         {"stall_after", s.stall_after}});
  links_->set(from, to, s);
}

void FaultHarness::reset_links(const std::string& name) {
  history_.add("reset links", {{"node", name}});
  for (auto& [from, to] : process_links_)
    if (from == name || to == name) links_->reset(from, to);
}

void FaultHarness::heal() {
  history_.add("heal");
  set_links([](auto&, auto&) { return true; }, LinkState{});
  for (auto& a : options_.zones)
    for (auto& b : options_.zones) links_->set(a.name, b.name, link_state_between(a, b));
  for (auto& name : options_.own_sources)
    for (auto& b : options_.zones)
      links_->set(name, b.name, link_state_between({zone_of(name), region_of(zone_of(name))}, b));
  for (auto& [from, to] : process_links_)
    if (!options_.zones.empty() && zone_of(from) != zone_of(to)) {
      LinkState s;
      s.delay = region_of(zone_of(from)) == region_of(zone_of(to)) ? options_.intra_region_delay
                                                                   : options_.inter_region_delay;
      links_->set(from, to, s);
    }
}

LinkState FaultHarness::link_state_between(const HarnessZone& a, const HarnessZone& b) const {
  LinkState s;
  if (a.name != b.name)
    s.delay = a.region == b.region ? options_.intra_region_delay : options_.inter_region_delay;
  return s;
}

std::string FaultHarness::region_of(const std::string& zone) const {
  for (auto& z : options_.zones)
    if (z.name == zone) return z.region;
  return "";
}

std::vector<std::string> FaultHarness::in_zone(const std::string& zone) const {
  std::vector<std::string> names;
  for (auto& name : all())
    if (zone_of(name) == zone) names.push_back(name);
  return names;
}

void FaultHarness::cut_zone_direction(const std::string& from, const std::string& to) {
  history_.add("cut zone way", {{"from", from}, {"to", to}});
  LinkState cut;
  cut.hold_forward = cut.hold_backward = true;
  links_->set(from, to, cut);
}

void FaultHarness::cut_zones(const std::string& a, const std::string& b) {
  history_.add("cut zones", {{"a", a}, {"b", b}});
  LinkState cut;
  cut.hold_forward = cut.hold_backward = true;
  links_->set(a, b, cut);
  links_->set(b, a, cut);
  set_links(
      [&](auto& from, auto& to) {
        return (zone_of(from) == a && zone_of(to) == b) || (zone_of(from) == b && zone_of(to) == a);
      },
      cut);
}

void FaultHarness::isolate_zone(const std::string& zone) {
  for (auto& other : options_.zones)
    if (other.name != zone) cut_zones(zone, other.name);
}

json FaultHarness::send_command(const std::string& name, json command, int timeout_ms) {
  return app::FleetConnection(processes_.at(name).address, "lab", timeout_ms)
      .send_request(std::move(command));
}

std::optional<json> FaultHarness::status(const std::string& name, int timeout_ms) {
  auto& p = processes_.at(name);
  if (p.paused || !p.daemon || !p.daemon->running()) return std::nullopt;
  try {
    auto answer = send_command(name, {{"do", "status"}}, timeout_ms);
    if (answer.contains("status")) return answer.at("status");
  } catch (const std::runtime_error&) {
  }
  return std::nullopt;
}

std::string FaultHarness::leader() {
  std::map<std::string, std::size_t> named;
  for (auto& name : voters_)
    if (auto s = status(name)) ++named[s->value("leader", "")];
  for (auto& [name, count] : named)
    if (!name.empty() && count > voters_.size() / 2)
      if (auto s = status(name); s && s->value("role", "") == "leader") return name;
  return "";
}

json FaultHarness::lease_holders() {
  json newest_answer;
  std::uint64_t newest_applied = 0;
  for (auto& name : voters_) {
    auto s = status(name);
    if (!s || s->value("applied", std::uint64_t{0}) < newest_applied) continue;
    try {
      auto answer = send_command(name, {{"do", "owners"}});
      newest_applied = s->value("applied", std::uint64_t{0});
      newest_answer = answer.value("owners", json::array());
    } catch (const std::runtime_error&) {
    }
  }
  return newest_answer;
}

std::string FaultHarness::lease_holder(const std::string& job) {
  for (auto& o : lease_holders())
    if (o.at("job") == job) return o.value("owner", "");
  return "";
}

bool FaultHarness::wait_until(const std::function<bool()>& condition, Micros timeout) {
  auto end = net::monotonic_now() + timeout;
  while (true) {
    if (condition()) return true;
    if (net::monotonic_now() >= end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

}  // namespace database_proxy::testbench::faults
