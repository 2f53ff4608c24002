#include "validate.h"

#include <stdexcept>
#include <string>

namespace request_router {
namespace {

void require(bool holds, const char* what) {
  if (!holds) throw std::invalid_argument(std::string("impossible setting: ") + what);
}

void validate_class(const RequestClass& c) {
  require(c.latency_objective.count() > 0 && c.deadline >= c.latency_objective,
          "a class's aim outside 0..deadline");
  require(c.bound.count() >= 0, "a negative bound");
  require(c.priority_weight >= 0, "a negative worth");
  require(c.effect != Effect::kKeyed || c.key_window.count() > 0, "a keyed class without a key window");
}

}  // namespace

void validate(const Settings& settings) {
  require(!settings.classes.empty(), "no request classes");
  require(settings.routers >= 1, "under 1 router");
  require(settings.max_attempts >= 1, "maxAttempts under 1");
  require(settings.step.count() > 0, "step not above 0");
  require(settings.initial_capacity_share > 0 && settings.initial_capacity_share <= 1,
          "coldShare outside 0..1");
  require(settings.overload_multiple > 0, "tipMultiple not above 0");
  require(settings.drain_grace.count() >= 0 && settings.overload_window.count() >= 0 &&
              settings.warm_up.count() >= 0,
          "negative guarantee");
  for (auto& c : settings.classes) validate_class(c);
}

}  // namespace request_router
