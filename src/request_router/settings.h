// Reads the router's settings from pairs of path and value: the simulator adapter passes the pairs of a SPAWN
// line, the proxy its JSON configuration in the same form (path=value, the length of a list under .count,
// lists of plain values joined by commas).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "request_router/router.h"

namespace request_router {

// Splits the text at each separator. An empty text has no parts, and a separator at the end adds no empty
// part.
std::vector<std::string_view> split_at(std::string_view text, char separator);

// Parses the complete text as a number; returns nothing if it is not a number or not finite.
std::optional<double> to_number(std::string_view text);

// Parses the complete text as a time in milliseconds; returns nothing if it is not a number or out of range.
std::optional<Micros> millis_to_micros(std::string_view text);

// Looks up values by the path of their setting. A look-up throws std::invalid_argument, which names the
// setting, if the value is invalid; a setting that is missing has the default value of the caller.
class SettingsReader {
 public:
  explicit SettingsReader(std::map<std::string, std::string, std::less<>> pairs)
      : values_(std::move(pairs)) {}
  std::string_view text(const std::string& path, std::string_view default_value = "") const;
  double number(const std::string& path, double default_value) const;
  int count(const std::string& path, int default_value) const;  // a whole number
  bool flag(const std::string& path) const;
  Micros millis(const std::string& path, double default_value = 0) const;  // the value is in milliseconds

  // Reads all settings of a router.
  Settings settings() const;

 private:
  void read_classes(Settings& settings) const;
  void read_tenants(Settings& settings) const;
  void read_fleet(Settings& settings) const;
  void read_family(Settings& settings) const;
  void read_limits(Settings& settings) const;
  void read_guarantees(Settings& settings) const;
  RequestClass request_class(const std::string& prefix, std::string_view level, std::string_view bound) const;

  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace request_router
