#include "validate.h"

#include <stdexcept>
#include <string>

namespace request_router {
namespace {

void require(bool holds, const char* violation) {
  if (!holds) throw std::invalid_argument(std::string("invalid setting: ") + violation);
}

void validate_class(const RequestClass& request_class) {
  require(request_class.latency_objective.count() > 0 &&
              request_class.deadline >= request_class.latency_objective,
          "the latency objective of a request class is outside 0..deadline");
  require(request_class.bound.count() >= 0, "the bound on the age of data of a request class is negative");
  require(request_class.priority_weight >= 0, "the priority weight of a request class is negative");
  require(request_class.effect != Effect::kKeyed || request_class.key_window.count() > 0,
          "a keyed request class has no key window");
}

}  // namespace

void validate(const Settings& settings) {
  require(!settings.classes.empty(), "no request classes");
  require(settings.routers >= 1, "the number of routers is below 1");
  require(settings.max_attempts >= 1, "the maximum number of attempts is below 1");
  require(settings.step.count() > 0, "the step is not above 0");
  require(settings.initial_capacity_share > 0 && settings.initial_capacity_share <= 1,
          "the initial capacity share is outside 0..1");
  require(settings.overload_multiple > 0, "the overload multiple is not above 0");
  require(settings.drain_grace.count() >= 0 && settings.overload_window.count() >= 0 &&
              settings.warm_up.count() >= 0,
          "the drain grace period, the overload window or the warm-up time is negative");
  for (const auto& request_class : settings.classes) validate_class(request_class);
}

}  // namespace request_router
