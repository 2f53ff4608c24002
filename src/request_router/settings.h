// The one reader of the settings: the adapter feeds it the pairs of a SPAWN line, the proxy its JSON
// configuration in the same form (path=value, a list's length under .count, plain lists joined by commas).
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "request_router/router.h"

namespace request_router {

std::vector<std::string_view> split_at(std::string_view s, char by);
std::optional<double> to_number(std::string_view s);  // whole text, finite
std::optional<Micros> millis_to_micros(std::string_view s);

// Every look-up throws std::invalid_argument, naming the setting, when its value is impossible.
class SettingsReader {
 public:
  explicit SettingsReader(std::map<std::string, std::string, std::less<>> pairs)
      : values_(std::move(pairs)) {}
  std::string_view text(const std::string& path, std::string_view otherwise = "") const;
  double number(const std::string& path, double otherwise) const;
  int count(const std::string& path, int otherwise) const;
  bool flag(const std::string& path) const;
  Micros millis(const std::string& path, double otherwise = 0) const;
  Settings settings() const;

 private:
  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace request_router
