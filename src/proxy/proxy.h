// The proxy as a whole: accepts clients, keeps the watch on discovery, counts descriptors, shuts down.
#pragma once

#include <memory>
#include <unordered_map>

#include "discovery/watch.h"
#include "proxy/client_session.h"
#include "proxy/dispatcher.h"

namespace linenwinch::proxy {

struct ProxyOptions {
  std::string listen, discovery;
  std::size_t descriptors = 1024;
  std::size_t memory = 64 << 20;  // bytes
  PoolLimits pool;
  discovery::MemberUpdate known;
};

class Proxy : public SessionOwner {
 public:
  // Throws std::runtime_error when it cannot listen.
  Proxy(net::Loop& loop, routing::Facade& facade, ProxyOptions options, net::Log log);
  ~Proxy() override;

  void run();        // until it has shut down
  void shut_down();  // finishes what was taken; run() returns after that
  // Takes over what may change under load: discovery's address, descriptors, the pool's limits.
  void reconfigure(const ProxyOptions& options);
  int port() const;
  ServerPool& pool() { return dispatcher_.pool(); }
  void session_closed(ClientSession* session) override;
  void cancel_requested(std::uint32_t number, std::uint32_t secret) override;
  bool buffered(std::ptrdiff_t change) override;

 private:
  class Listener : public net::Handler {
   public:
    explicit Listener(Proxy& proxy) : proxy_(proxy) {}
    void on_ready(std::uint32_t) override { proxy_.accept_all(); }

   private:
    Proxy& proxy_;
  };

  void accept_all();
  std::unique_ptr<discovery::Watch> watch(const std::string& address, std::optional<std::int64_t> generation);
  void told(int number, discovery::MemberUpdate update);
  void end_of_turn();
  bool make_room();
  bool close_client(bool any);
  void trim_idle();
  void close_idle_clients();
  std::size_t descriptors_in_use() const;

  net::Loop& loop_;
  ProxyOptions options_;
  net::Log log_;
  Dispatcher dispatcher_;
  std::unique_ptr<discovery::Watch> watch_, next_watch_;  // next_: of a new address, until it has answered
  std::string watched_;                                   // the address of the newest
  int watches_ = 0;                                       // made so far: the newest has this number
  Listener on_listener_;
  net::Fd listener_;
  bool accept_again_ = false, was_ready_ = false;
  std::unordered_map<ClientSession*, std::unique_ptr<ClientSession>> sessions_;
  std::vector<std::unique_ptr<ClientSession>> closed_;
  std::size_t buffered_ = 0;  // what clients' unfinished statements hold
  std::optional<Micros> stopping_since_;
  Micros trimmed_at_{0};
  std::uint64_t without_descriptor_ = 0;
  std::uint32_t next_number_ = 1;
};

}  // namespace linenwinch::proxy
