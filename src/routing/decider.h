// Where a dispatcher gets its decisions: from a facade in its own thread, or from a thread that owns one.
// Nothing here knows a protocol or decides anything. Called by the dispatcher's thread only.
#pragma once

#include <string_view>

#include "routing/decision_facade.h"

namespace database_proxy::routing {

class Decider {
 public:
  Decider() = default;
  Decider(const Decider&) = delete;
  Decider& operator=(const Decider&) = delete;
  virtual ~Decider() = default;
  virtual const RequestClassInfo* find_class(std::string_view name) const = 0;
  virtual bool ready() const = 0;  // as DecisionFacade::ready()

  // What has happened. Within one iteration of the loop: list changes first, then results, clients that left,
  // and new requests.
  virtual void update(Micros now, const discovery::EndpointListUpdate& list, bool cached) = 0;
  virtual void report(Micros now, AttemptResult result) = 0;
  virtual void report(Micros now, ProbeResult result) = 0;
  virtual void on_client_disconnected(Micros now, RequestId request) = 0;
  // False: the queue to the decisions is full, and this request was not taken.
  virtual bool submit(Micros now, const Request& request) = 0;
  // As DecisionFacade::share_sessions().
  virtual void share_sessions(Micros now, bool is_shared) = 0;
  // The plan of zones, and DecisionFacade::spare_capacity(). Only where decisions are made in this thread: a
  // group of daemons goes with one worker.
  virtual void plan(Micros now, request_router::Plan plan) = 0;
  virtual double spare_capacity(const std::string& server) const = 0;
  // What was decided since the last call, in order. `next_due`: call again by then.
  virtual TickResult collect(Micros now) = 0;
};

// Decisions made in the same thread, within collect().
class LocalDecider : public Decider {
 public:
  explicit LocalDecider(DecisionFacade& facade) : facade_(facade) {}
  const RequestClassInfo* find_class(std::string_view name) const override {
    return facade_.find_class(name);
  }
  bool ready() const override { return facade_.ready(); }
  void update(Micros now, const discovery::EndpointListUpdate& list, bool cached) override {
    facade_.update(now, list, cached);
  }
  void report(Micros now, AttemptResult result) override { facade_.report(now, result); }
  void report(Micros now, ProbeResult result) override { facade_.report(now, result); }
  void on_client_disconnected(Micros now, RequestId request) override {
    facade_.on_client_disconnected(now, request);
  }
  bool submit(Micros now, const Request& request) override {
    facade_.submit(now, request);
    return true;
  }
  void share_sessions(Micros now, bool is_shared) override { facade_.share_sessions(now, is_shared); }
  void plan(Micros now, request_router::Plan plan) override { facade_.plan(now, std::move(plan)); }
  double spare_capacity(const std::string& server) const override { return facade_.spare_capacity(server); }
  TickResult collect(Micros now) override { return facade_.tick(now); }

 private:
  DecisionFacade& facade_;
};

}  // namespace database_proxy::routing
