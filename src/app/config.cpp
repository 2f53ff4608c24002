#include "app/config.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

#include "net/fd.h"
#include "net/socket.h"
#include "net/system_errors.h"
#include "request_router/settings.h"

namespace database_proxy::app {
namespace {

using nlohmann::json;
using Pairs = std::map<std::string, std::string, std::less<>>;

std::string scalar_text(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "";
  return value.dump();
}

// Flattens the nested object into the pairs in which the simulator's first message carries the same settings.
void flatten(const json& value, const std::string& path, Pairs* pairs) {
  if (value.is_object()) {
    for (auto& [name, inner] : value.items()) flatten(inner, path.empty() ? name : path + "." + name, pairs);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    (*pairs)[path + ".count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), pairs);
  } else if (value.is_array()) {
    std::string joined;
    for (auto& item : value) {
      if (!joined.empty()) joined.push_back(',');
      joined.append(scalar_text(item));
    }
    (*pairs)[path] = joined;
  } else {
    (*pairs)[path] = scalar_text(value);
  }
}

std::uint64_t seed_of(const json& value) {
  if (value.is_number_integer()) return value.get<std::uint64_t>();
  auto text = value.get<std::string>();
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed is not a hexadecimal number");
  return seed;
}

std::string address_of(const json& config, const char* name) {
  auto text = config.at(name).get<std::string>();
  if (!net::parse_address(text)) throw ConfigError(fmt::format("{} is no address: '{}'", name, text));
  return text;
}

}  // namespace

Config parse_config(std::string_view text) try {
  auto root = json::parse(text);
  if (!root.is_object()) throw ConfigError("the configuration is not a JSON object");
  Config c;
  c.name = root.value("name", c.name);
  c.listen = address_of(root, "listen");
  c.discovery = address_of(root, "discovery");
  if (root.contains("operator")) c.operator_address = address_of(root, "operator");
  if (root.contains("seed")) c.seed = seed_of(root.at("seed"));
  if (root.contains("limits")) c.sockets = root.at("limits").value("sockets", c.sockets);
  if (c.sockets < 32) throw ConfigError("limits.sockets is less than 32");
  if (root.contains("limits")) {
    auto mb = root.at("limits").value("memory_mb", static_cast<double>(c.memory >> 20));
    if (!(mb >= 8 && mb <= 1 << 20)) throw ConfigError("limits.memory_mb is not between 8 and 1048576");
    c.memory = static_cast<std::size_t>(mb * (1 << 20));
  }
  if (root.contains("known")) c.known = discovery::endpoint_list_from_json(root.at("known"));
  Pairs pairs;
  flatten(root.at("settings"), "", &pairs);
  c.settings_text = root.at("settings").dump();
  request_router::SettingsReader settings(std::move(pairs));
  c.settings = settings.settings();
  if (c.settings.classes.empty()) throw ConfigError("settings.RequestClasses is empty");
  request_router::Router trial(c.settings, c.seed);  // throws if the settings are invalid
  c.pool.connect_timeout = settings.millis("Limits.ConnectTimeoutMs", 250);
  c.pool.probe_timeout = c.pool.connect_timeout;
  auto keepalive = settings.millis("Limits.KeepaliveMs", 30000);
  if (keepalive.count() <= 0 || c.pool.connect_timeout.count() <= 0)
    throw ConfigError("Limits.KeepaliveMs or Limits.ConnectTimeoutMs is not greater than 0");
  c.pool.idle = keepalive * 2 / 3;
  return c;
} catch (const json::exception& e) {
  throw ConfigError(e.what());
} catch (const std::invalid_argument& e) {
  throw ConfigError(e.what());
}

std::string read_file(const std::string& path, const std::string& kind) {
  auto fail = [&](int error) {
    throw UnreadableFile(fmt::format("{} {} cannot be read: {}", kind, path, net::message_of(error)), error);
  };
  net::Fd file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) fail(errno);
  std::string text;
  std::array<char, 16 * 1024> chunk{};
  while (true) {
    ssize_t size = read(file.get(), chunk.data(), chunk.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) fail(errno);
    if (size == 0) return text;
    text.append(chunk.data(), static_cast<std::size_t>(size));
  }
}

Config read_config(const std::string& path) {
  auto text = read_file(path, "configuration");
  try {
    return parse_config(text);
  } catch (const ConfigError& e) {
    throw ConfigError(fmt::format("configuration {}: {}", path, e.what()));
  }
}

}  // namespace database_proxy::app
