#include "validate.h"

#include <stdexcept>
#include <string>

namespace badgercourse {
namespace {

void require(bool holds, const char* what) {
  if (!holds) throw std::invalid_argument(std::string("impossible setting: ") + what);
}

void validate_class(const RequestClass& c) {
  require(c.aim.count() > 0 && c.deadline >= c.aim, "a class's aim outside 0..deadline");
  require(c.bound.count() >= 0, "a negative bound");
  require(c.worth >= 0, "a negative worth");
  require(c.effect != Effect::Keyed || c.keyWindow.count() > 0, "a keyed class without a key window");
}

}  // namespace

void validate(const Settings& settings) {
  require(!settings.classes.empty(), "no request classes");
  require(settings.routers >= 1, "under 1 router");
  require(settings.maxAttempts >= 1, "maxAttempts under 1");
  require(settings.step.count() > 0, "step not above 0");
  require(settings.coldShare > 0 && settings.coldShare <= 1, "coldShare outside 0..1");
  require(settings.tipMultiple > 0, "tipMultiple not above 0");
  require(settings.drainGrace.count() >= 0 && settings.fallTime.count() >= 0 && settings.warmUp.count() >= 0,
          "negative guarantee");
  for (auto& c : settings.classes) validate_class(c);
}

}  // namespace badgercourse
