#include "app/group_runner.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>

namespace linenwinch::app {
namespace {

// Beside what the configuration allows the proxy: links to hundreds of followers, the store, probes.
constexpr rlim_t kGroupDescriptors = 2048;
// Between two probes of a server by its owner: where no class bounds the age, and at least.
// Left alone together, proxies ask the list service so far apart, one by one: a hundred calls a second.
constexpr group::Micros kAskApart{10'000};
constexpr group::Micros kNoBound{500'000}, kLeastProbeEvery{20'000};

// The owner's probes go over connections of their own, in the group's thread.
class PoolProber : public group::Prober, private proxy::ServerEvents {
 public:
  PoolProber(net::Loop& loop, proxy::PoolLimits limits, net::Log log, group::Probed probed)
      : probed_(std::move(probed)), pool_(loop, limits, *this, std::move(log)) {}
  void servers(const discovery::MemberUpdate& list) override { pool_.update(list); }
  void probe(const std::string& server) override { pool_.probe(server); }
  void sweep() override { pool_.sweep(); }

 private:
  void attempt_ended(proxy::AttemptEnd) override {}
  void probe_ended(routing::ProbeResult r) override { probed_(r.server, r.ok, r.taken, r.load); }
  proxy::ClientPort* client_of(routing::RequestId) override { return nullptr; }

  group::Probed probed_;
  proxy::ServerPool pool_;
};

}  // namespace

GroupRunner::GroupRunner(net::Loop& loop, proxy::Proxy& proxy, group::Options options,
                         const proxy::ProxyOptions& of, const badgercourse::Settings& settings,
                         std::uint64_t seed, net::Log log)
    : loop_(loop), proxy_(proxy), mailbox_(loop) {
  signal(SIGXFSZ, SIG_IGN);  // a limit on files is a full disk, not the end
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::min(limit.rlim_max, limit.rlim_cur + kGroupDescriptors);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  options.seed = seed;
  options.spread = std::max(options.spread, kAskApart * settings.routers);
  if (options.probe_every.count() == 0) {
    // Replicas are asked in turn: of two, one was asked within a third of the bound, which leaves two thirds
    // for lag and the way here; of one, it is asked twice as often.
    options.probe_every = kNoBound;
    for (auto& c : settings.classes)
      if (c.bound.count() > 0) options.probe_every = std::min(options.probe_every, c.bound * 2 / 3);
    options.probe_every = std::max(options.probe_every, kLeastProbeEvery);
  }
  group::Hooks hooks;
  hooks.list = [this](discovery::MemberUpdate update) {
    mailbox_.post([this, update = std::move(update)] {
      proxy_.dispatcher().await_facts(true);
      proxy_.given(update);
    });
  };
  hooks.facts = [this](std::vector<group::Fact> facts) {
    mailbox_.post([this, facts = std::move(facts)] {
      for (auto& f : facts) proxy_.dispatcher().fact({f.server, true, f.taken, f.load}, f.age);
    });
  };
  hooks.alone = [this](bool alone) {
    mailbox_.post([this, alone] {
      proxy_.dispatcher().await_facts(!alone);
      proxy_.watch_discovery(alone);
    });
  };
  hooks.prober = [limits = of.pool, log](net::Loop& group_loop, group::Probed probed) {
    return std::make_unique<PoolProber>(group_loop, limits, log, std::move(probed));
  };
  proxy.dispatcher().use_facts([this](const std::string& server) { node_->want(server); });
  proxy.before_turn_end = [this] { mailbox_.drain(); };
  node_ = std::make_unique<group::Node>(std::move(options), of.discovery, of.pace, of.known, std::move(hooks),
                                        std::move(log));
}

GroupRunner::~GroupRunner() {
  node_.reset();
  proxy_.before_turn_end = [] {};
}

}  // namespace linenwinch::app
