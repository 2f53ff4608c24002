// The source of a dispatcher's decisions: a facade in its own thread, or another thread that owns a facade.
// Independent of protocols, and makes no decisions itself. Called by the dispatcher's thread only.
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

  // Events. The order within one iteration of the loop: list changes, results, disconnected clients, new
  // requests.
  virtual void update(Micros now, const discovery::EndpointListUpdate& list, bool cached) = 0;
  virtual void report(Micros now, AttemptResult result) = 0;
  virtual void report(Micros now, ProbeResult result) = 0;
  virtual void on_client_disconnected(Micros now, RequestId request) = 0;
  // Submits a request. Returns false if the queue to the decision thread is full and the request was not
  // accepted.
  virtual bool submit(Micros now, const Request& request) = 0;
  // As DecisionFacade::share_sessions().
  virtual void share_sessions(Micros now, bool is_shared) = 0;
  // Passes on the plan of zones, and DecisionFacade::spare_capacity(). Only available where decisions are
  // made in this thread, because a group of daemons is used with one worker only.
  virtual void plan(Micros now, request_router::Plan plan) = 0;
  virtual double spare_capacity(const std::string& server) const = 0;
  // Returns the decisions made since the last call, in order. `next_due`: the time by which to call again.
  virtual TickResult collect(Micros now) = 0;
};

// A decider that makes its decisions in the same thread, within collect().
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
