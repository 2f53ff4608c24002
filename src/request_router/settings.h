// The one reader of the settings: the adapter feeds it the pairs of a SPAWN line, the proxy its JSON
// configuration in the same form (path=value, a list's length under .count, plain lists joined by commas).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "request_router/router.h"

namespace request_router {

// The parts of a text between separators; an empty text has none, and a separator at its end starts none.
std::vector<std::string_view> split_at(std::string_view text, char separator);

// The number that the whole text states; nothing if it is none, or is not finite.
std::optional<double> to_number(std::string_view text);

// A time that the whole text states in milliseconds; nothing if it is none, or is out of range.
std::optional<Micros> millis_to_micros(std::string_view text);

// Looks up values by the path of their setting. Every look-up throws std::invalid_argument, naming the
// setting, when its value is impossible; a setting that is missing has the value that the caller names.
class SettingsReader {
 public:
  explicit SettingsReader(std::map<std::string, std::string, std::less<>> pairs)
      : values_(std::move(pairs)) {}
  std::string_view text(const std::string& path, std::string_view default_value = "") const;
  double number(const std::string& path, double default_value) const;
  int count(const std::string& path, int default_value) const;  // a whole number
  bool flag(const std::string& path) const;
  Micros millis(const std::string& path, double default_value = 0) const;  // stated in milliseconds

  // All settings of a router.
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
