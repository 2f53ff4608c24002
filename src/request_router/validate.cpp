#include "validate.h"

#include <stdexcept>
#include <string>

namespace request_router {
namespace {

void require(bool holds, const char* violation) {
  if (!holds) throw std::invalid_argument(std::string("impossible setting: ") + violation);
}

void validate_class(const RequestClass& request_class) {
  require(request_class.latency_objective.count() > 0 &&
              request_class.deadline >= request_class.latency_objective,
          "a class's aim outside 0..deadline");
  require(request_class.bound.count() >= 0, "a negative bound");
  require(request_class.priority_weight >= 0, "a negative worth");
  require(request_class.effect != Effect::kKeyed || request_class.key_window.count() > 0,
          "a keyed class without a key window");
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
  for (const auto& request_class : settings.classes) validate_class(request_class);
}

}  // namespace request_router
