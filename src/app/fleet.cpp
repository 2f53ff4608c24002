#include "app/fleet.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <iostream>
#include <stdexcept>
#include <thread>

#include "app/fleet_placement.h"
#include "app/operator_file.h"
#include "net/socket.h"
#include "peers/codec.h"

namespace database_proxy::app {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr const char* kConsequence = "what only the lost nodes knew is gone";
// A new member receives the complete state before it may vote, which takes a while if its disk is slow.
constexpr int kPromoteAttempts = 150, kPromoteRetryMs = 200;

constexpr const char* kHelp =
    "database-proxy fleet COMMAND [argument] --operator FILE [--node ADDRESS] [--json]\n\n"
    "  status            state of the node: role, leader, term, leases that it holds\n"
    "  members           voters, progress and last contact of each (query the leader)\n"
    "  owners            lease holder of each job, with its fencing token\n"
    "  transfer [NODE]   transfer leadership to that node, or to the most advanced one\n"
    "  step-down         the leader transfers leadership and becomes a follower\n"
    "  init              create the group from the voters in the operator's file; all must be running and "
    "new\n"
    "  add NODE          add a voter, once it has caught up\n"
    "  remove NODE       remove a voter (--id if its name has been reused)\n"
    "  recover           make this node the only voter; requires --consequence, spelled out\n"
    "  put KEY VALUE     store a setting in the group; get KEY reads it from the confirmed leader\n"
    "  placement show    the placement plan: phases, reasons, proxies that follow it\n"
    "  placement explain SET    where the reads of a set are sent, by zone of the clients\n"
    "  placement evacuate ZONE  evacuate a zone in steps, if the others have the capacity (else --force)\n"
    "  placement restore ZONE   return a zone to service, in steps\n"
    "  placement freeze|resume  suspend planning, or resume it\n";

void print(const json& j, bool as_json) {
  if (as_json) {
    std::cout << j.dump(1) << "\n";
    return;
  }
  auto to_text = [](const json& v) { return v.is_string() ? v.get<std::string>() : v.dump(); };
  auto table = [&](const json& rows) {
    for (auto& row : rows) {
      std::string line;
      for (auto& [key, value] : row.items())
        line += fmt::format("{}{}={}", line.empty() ? "" : "  ", key, to_text(value));
      std::cout << line << "\n";
    }
  };
  for (auto& [key, value] : j.items()) {
    if (key == "t" || key == "ok" || key == "node" || key == "via") continue;
    if (key == "status")
      for (auto& [k, v] : value.items()) std::cout << fmt::format("{:16} {}\n", k, to_text(v));
    else if (value.is_array())
      table(value);
    else if (!(value.is_string() && value.get<std::string>().empty()))
      std::cout << fmt::format("{:16} {}\n", key, to_text(value));
  }
}

}  // namespace

FleetConnection::FleetConnection(const std::string& address, const std::string& installation, int timeout_ms)
    : address_(address) {
  auto to = net::parse_address(address);
  if (!to) throw std::runtime_error(fmt::format("'{}' is not an address", address));
  fd_ = socket(to->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  try {
    if (connect(fd_, reinterpret_cast<sockaddr*>(&to->storage), to->length) != 0)
      throw std::runtime_error(fmt::format("{}: {}", address, std::strerror(errno)));
    auto answer = send_request({{"t", "hello"},
                                {"v", peers::kVersion},
                                {"least", peers::kMinVersion},
                                {"installation", installation},
                                {"name", "fleet"},
                                {"id", 0},
                                {"kind", "tool"}});
    if (answer.value("t", "") != "welcome")
      throw std::runtime_error(
          fmt::format("{}: {}", address, answer.value("why", "the node did not accept the connection")));
  } catch (...) {
    close(fd_);
    throw;
  }
}

FleetConnection::~FleetConnection() { close(fd_); }

json FleetConnection::send_request(json request) {
  if (!request.contains("t")) request["t"] = "tool";
  auto text = peers::frame(request);
  for (std::size_t at = 0; at < text.size();) {
    auto n = send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (n <= 0) throw std::runtime_error(fmt::format("{}: the connection broke", address_));
    at += static_cast<std::size_t>(n);
  }
  return receive_answer();
}

json FleetConnection::receive_answer() {
  while (true) {
    json message;
    std::size_t size = 0;
    auto parse = peers::parse_frame(received_, &message, &size);
    if (parse == peers::FrameParse::kBad)
      throw std::runtime_error(fmt::format("{}: received a malformed message", address_));
    if (parse == peers::FrameParse::kOk) {
      received_.erase(0, size);
      auto t = message.value("t", "");
      if (t == "answer" || t == "welcome" || t == "no") return message;
      continue;
    }
    char chunk[16384];
    auto n = recv(fd_, chunk, sizeof chunk, 0);
    if (n == 0) throw std::runtime_error(fmt::format("{}: the connection ended", address_));
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
      throw std::runtime_error(fmt::format("{}: the connection broke", address_));
    if (n < 0) throw std::runtime_error(fmt::format("{}: no answer in time", address_));
    received_.append(chunk, static_cast<std::size_t>(n));
  }
}

int run_fleet(const std::vector<std::string>& arguments) {
  po::options_description options("Options");
  options.add_options()("operator,o", po::value<std::string>()->default_value(""), "the operator's file")(
      "node", po::value<std::string>()->default_value(""),
      "address of the node to query (default: listen of the file)")("json", "print the answer as JSON")(
      "force", "placement evacuate: even if the others lack the capacity")(
      "id", po::value<std::uint64_t>()->default_value(0), "remove: id of the voter")(
      "consequence", po::value<std::string>()->default_value(""), "recover: the consequence, spelled out")(
      "help,h", "show this text");
  po::options_description hidden;
  hidden.add_options()("words", po::value<std::vector<std::string>>());
  po::options_description all;
  all.add(options).add(hidden);
  po::positional_options_description positions;
  positions.add("words", -1);
  po::variables_map given;
  po::store(po::command_line_parser(arguments).options(all).positional(positions).run(), given);
  po::notify(given);
  std::vector<std::string> words;
  if (given.count("words")) words = given["words"].as<std::vector<std::string>>();
  if (words.empty() || words[0] == "help" || given.count("help")) {
    std::cout << kHelp << "\n" << options;
    return 0;
  }
  auto path = given["operator"].as<std::string>();
  if (path.empty()) throw std::runtime_error("fleet: --operator FILE is required; it describes the group");
  auto file = read_operator_file(path);
  if (!file.group)
    throw std::runtime_error(fmt::format("operator's file {}: the section group is missing", path));
  auto& group = *file.group;
  auto node = given["node"].as<std::string>();
  if (node.empty()) node = group.listen.empty() ? group.nodes[0].address : group.listen;
  auto command = words[0];
  auto required = [&](std::size_t i, const char* name) {
    if (words.size() <= i) throw std::runtime_error(fmt::format("fleet {}: {} is missing", command, name));
    return words[i];
  };
  bool as_json = given.count("json") > 0;

  if (command == "init") {
    std::vector<std::uint64_t> ids;
    for (auto& n : group.nodes) {
      auto answer = FleetConnection(n.address, group.installation).send_request({{"do", "identify"}});
      if (answer.value("name", "") != n.name)
        throw std::runtime_error(
            fmt::format("fleet init: {} is {}, not {}", n.address, answer.value("name", "?"), n.name));
      ids.push_back(answer.at("id").get<std::uint64_t>());
    }
    for (auto& n : group.nodes) {
      auto answer =
          FleetConnection(n.address, group.installation).send_request({{"do", "bootstrap"}, {"voters", ids}});
      if (!answer.value("ok", false))
        throw std::runtime_error(fmt::format("fleet init: {}: {}", n.name, answer.value("why", "?")));
    }
    std::cout << fmt::format("created the group of {} voters\n", ids.size());
    return 0;
  }

  FleetConnection connection(node, group.installation);
  json request = {{"do", command}};
  if (command == "transfer") {
    if (words.size() > 1) request["name"] = words[1];
  } else if (command == "add" || command == "remove") {
    request["name"] = required(1, "NODE");
    if (auto id = given["id"].as<std::uint64_t>()) request["id"] = id;
  } else if (command == "put") {
    request["key"] = required(1, "KEY");
    request["value"] = required(2, "VALUE");
  } else if (command == "get") {
    request["key"] = required(1, "KEY");
  } else if (command == "placement") {
    auto subcommand = required(1, "show, explain, evacuate, restore, freeze or resume");
    request["what"] = subcommand;
    if (subcommand == "evacuate" || subcommand == "restore") request["zone"] = required(2, "ZONE");
    if (subcommand == "evacuate") request["force"] = given.count("force") > 0;
    if (subcommand == "explain") {
      auto text = required(2, "SET");
      std::int64_t set = 0;
      auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), set);
      if (error != std::errc() || end != text.data() + text.size())
        throw std::runtime_error(
            fmt::format("fleet placement explain: '{}' is not the number of a set", text));
      request["set"] = set;
    }
  } else if (command == "recover") {
    request["consequence"] = given["consequence"].as<std::string>();
    if (request["consequence"] != kConsequence)
      throw std::runtime_error(fmt::format("fleet recover: requires --consequence \"{}\"", kConsequence));
  } else if (command != "status" && command != "members" && command != "owners" && command != "step-down") {
    throw std::runtime_error(
        fmt::format("fleet: unknown command '{}'; see database-proxy fleet help", command));
  }
  auto answer = connection.send_request(request);
  if (command == "add" && answer.value("ok", false)) {
    request["do"] = "promote";
    for (int i = 0; i < kPromoteAttempts; ++i) {
      answer = connection.send_request(request);
      if (answer.value("ok", false)) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(kPromoteRetryMs));
    }
  }
  if (!answer.value("ok", false))
    throw std::runtime_error(fmt::format("fleet {}: {}", command, answer.value("why", "refused")));
  if (command == "placement" && !as_json) {
    auto subcommand = request.at("what").get<std::string>();
    if (subcommand == "show")
      std::cout << format_plan(answer);
    else if (subcommand == "explain")
      std::cout << format_explanation(answer, request.at("set").get<std::int64_t>());
    else
      std::cout << fmt::format("committed in plan {}{}\n", answer.value("plan", 0),
                               answer.value("takes_ms", 0) > 0
                                   ? fmt::format("; completes in {:.0f} s if nothing delays it",
                                                 answer.value("takes_ms", 0) / 1000.0)
                                   : "");
    return 0;
  }
  print(answer, as_json);
  return 0;
}

}  // namespace database_proxy::app
