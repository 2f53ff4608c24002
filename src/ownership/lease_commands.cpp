#include "ownership/lease_commands.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "ownership/cbor.h"
#include "ownership/fencing_token_guard.h"

namespace database_proxy::ownership {
namespace {

using nlohmann::json;

struct CommandWriter {
  json operator()(const Grant& grant) const {
    return {
        {"c", "grant"}, {"job", grant.job}, {"owner", grant.lease_holder}, {"after", grant.previous_token}};
  }
  json operator()(const Release& release) const {
    return {{"c", "release"}, {"job", release.job}, {"token", release.token}};
  }
  json operator()(const Publish& publish) const {
    return {{"c", "publish"},
            {"job", publish.job},
            {"token", publish.token},
            {"version", publish.version},
            {"data", to_bytes(publish.data)}};
  }
  json operator()(const SetConfigurationEntry& entry) const {
    return {{"c", "put"}, {"key", entry.key}, {"value", entry.value}};
  }
};

Grant read_grant(const json& encoded) {
  return {encoded.at("job").get<std::string>(), encoded.at("owner").get<std::string>(),
          encoded.at("after").get<Token>()};
}

Release read_release(const json& encoded) {
  return {encoded.at("job").get<std::string>(), encoded.at("token").get<Token>()};
}

Publish read_publish(const json& encoded) {
  return {encoded.at("job").get<std::string>(), encoded.at("token").get<Token>(),
          encoded.at("version").get<std::uint64_t>(), text_of_bytes(encoded.at("data"))};
}

SetConfigurationEntry read_configuration_entry(const json& encoded) {
  return {encoded.at("key").get<std::string>(), encoded.at("value").get<std::string>()};
}

}  // namespace

std::string encode(const Command& command) { return to_cbor(std::visit(CommandWriter{}, command)); }

std::optional<Command> decode(const std::string& text) try {
  auto encoded = json::from_cbor(text);
  const auto& kind = encoded.at("c").get_ref<const std::string&>();
  if (kind == "grant") return read_grant(encoded);
  if (kind == "release") return read_release(encoded);
  if (kind == "publish") return read_publish(encoded);
  if (kind == "put") return read_configuration_entry(encoded);
  return std::nullopt;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace database_proxy::ownership
