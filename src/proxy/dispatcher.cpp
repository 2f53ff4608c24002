#include "proxy/dispatcher.h"

#include <fmt/format.h>

#include <utility>

namespace linenwinch::proxy {
namespace {

using namespace std::chrono_literals;
using What = routing::Decision::What;

// The module ends each request by itself before it expires. Should that ever fail, the client still gets its
// one answer: this long after, which is before it gives up.
constexpr Micros kGuard = 5ms;

}  // namespace

Dispatcher::Dispatcher(net::Loop& loop, routing::Facade& facade, PoolLimits limits, net::Log log)
    : loop_(loop), facade_(facade), log_(log), pool_(loop, limits, *this, log) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::list(discovery::MemberUpdate update, bool cached) {
  lists_.emplace_back(std::move(update), cached);
}

RequestId Dispatcher::submit(ClientPort* client, routing::Request request, std::string_view name) {
  if (names_.count(name)) return 0;
  request.id = next_++;
  ++counters_.taken;
  auto guard = loop_.at(request.expires + kGuard, [this, id = request.id] { overdue(id); });
  auto& open = open_[request.id] = {client, guard, std::string(name)};
  names_.insert(open.name);  // nodes of the map stay where they are
  new_.push_back(request);
  return request.id;
}

ClientPort* Dispatcher::close(RequestId request) {
  auto it = open_.find(request);
  if (it == open_.end()) return nullptr;
  auto* client = it->second.client;
  loop_.cancel(&it->second.guard);
  names_.erase(it->second.name);
  open_.erase(it);
  return client;
}

void Dispatcher::leave(RequestId request) {
  if (!close(request)) return;
  ++counters_.gone;
  if (std::erase_if(new_, [&](auto& r) { return r.id == request; }) > 0) return;
  left_.push_back(request);
  pool_.cancel(request);
}

void Dispatcher::overdue(RequestId request) {
  log_(net::Level::kError, fmt::format("request {} was still undecided when its time ended", request));
  auto* client = close(request);
  if (!client) return;
  ++counters_.failed;
  left_.push_back(request);
  pool_.cancel(request);
  client->fail("no answer in time");
}

void Dispatcher::attempt_ended(AttemptEnd end) { ends_.push_back(std::move(end)); }
void Dispatcher::probe_ended(routing::ProbeResult result) { probes_.push_back(std::move(result)); }

ClientPort* Dispatcher::client_of(RequestId request) {
  auto it = open_.find(request);
  return it == open_.end() ? nullptr : it->second.client;
}

void Dispatcher::settle(AttemptEnd& end) {
  if (end.answer) {
    if (auto* client = close(end.result.request)) {
      ++counters_.served;
      client->serve(*end.answer);
    }
    pool_.give_back(end.connection);
  }
  // A request that is no longer open here has had its end, whatever this attempt brought.
  end.result.closed = open_.count(end.result.request) == 0;
  facade_.report(loop_.now(), end.result);
}

void Dispatcher::carry_out(const routing::Decision& d) {
  switch (d.what) {
    case What::kHold:
      return;
    case What::kSend:
      ++counters_.sends;
      return pool_.start(d.request, d.attempt, d.server, d.wait);
    case What::kRefuse:
      if (auto* client = close(d.request)) {
        ++counters_.refused;
        client->refuse(d.retry_after);
      }
      return;
    case What::kFail:
      if (auto* client = close(d.request)) {
        ++counters_.failed;
        client->fail("no data server could serve this request");
      }
      return;
    case What::kCancel:
      return pool_.cancel(d.request);
    case What::kProbe:
      ++counters_.probes;
      return pool_.probe(d.server);
  }
}

void Dispatcher::end_of_turn() {
  auto now = loop_.now();
  std::optional<Micros> next_due;
  // What is carried out may bring results at once, such as a refused connection; attempts are few, so this
  // ends.
  do {
    for (auto& [update, cached] : std::exchange(lists_, {})) {
      pool_.update(update);
      facade_.update(now, update, cached);
    }
    for (auto& end : std::exchange(ends_, {})) settle(end);
    for (auto& probe : std::exchange(probes_, {})) facade_.report(now, probe);
    for (auto request : std::exchange(left_, {})) facade_.gone(now, request);
    for (auto& request : std::exchange(new_, {}))
      if (open_.count(request.id)) carry_out(facade_.pick(now, request));
    auto ticked = facade_.tick(now);
    for (auto& decision : ticked.decisions) carry_out(decision);
    next_due = ticked.next_due;
  } while (!lists_.empty() || !ends_.empty() || !probes_.empty() || !left_.empty() || !new_.empty());
  pool_.sweep();
  loop_.cancel(&due_);
  if (next_due) due_ = loop_.at(*next_due, [] {});  // the turn itself does what is due
}

}  // namespace linenwinch::proxy
