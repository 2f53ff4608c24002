// What a dispatcher asks for decisions: the facade in its own thread, or a thread that owns one. Nothing here
// knows a protocol or decides anything.
#pragma once

#include <string_view>

#include "routing/facade.h"

namespace linenwinch::routing {

class Decider {
 public:
  virtual ~Decider() = default;
  virtual const ClassInfo* find_class(std::string_view name) const = 0;
  virtual bool ready() const = 0;  // it knows of a server that is up

  // What has happened. Within one turn: list changes first, then results, those who left, and new requests.
  virtual void update(Micros now, const discovery::MemberUpdate& list, bool cached) = 0;
  virtual void report(Micros now, Result result) = 0;
  virtual void report(Micros now, ProbeResult result) = 0;
  virtual void gone(Micros now, RequestId request) = 0;
  // False: it has no room for one more, and this request was not taken.
  virtual bool ask(Micros now, const Request& request) = 0;
  virtual Facade::Registry registry(Micros now) const = 0;
  // Of another process that is this same proxy; nothing where a thread of its own decides, which is told.
  virtual Learned learned() const { return {}; }
  virtual void learn(const Learned&) {}
  virtual void beside(int) {}
  // What was decided since the last call, in order. `next_due`: call again by then.
  virtual Ticked collect(Micros now) = 0;
};

// Decisions made in the same thread, within collect().
class LocalDecider : public Decider {
 public:
  explicit LocalDecider(Facade& facade) : facade_(facade) {}
  const ClassInfo* find_class(std::string_view name) const override { return facade_.find_class(name); }
  bool ready() const override { return facade_.ready(); }
  void update(Micros now, const discovery::MemberUpdate& list, bool cached) override {
    facade_.update(now, list, cached);
  }
  void report(Micros now, Result result) override { facade_.report(now, result); }
  void report(Micros now, ProbeResult result) override { facade_.report(now, result); }
  void gone(Micros now, RequestId request) override { facade_.gone(now, request); }
  bool ask(Micros now, const Request& request) override {
    facade_.ask(now, request);
    return true;
  }
  Facade::Registry registry(Micros now) const override { return facade_.registry(now); }
  Learned learned() const override { return facade_.learned(); }
  void learn(const Learned& learned) override { facade_.learn(learned); }
  void beside(int others) override { facade_.beside(others); }
  Ticked collect(Micros now) override { return facade_.tick(now); }

 private:
  Facade& facade_;
};

}  // namespace linenwinch::routing
