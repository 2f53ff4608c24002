#include "proxy/proxy.h"

#include <fmt/format.h>
#include <sys/random.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace linenwinch::proxy {
namespace {

using namespace std::chrono_literals;

// After the word to stop, new connections keep coming for up to 0.4 s and clients keep using theirs. They are
// served as before until this long has passed; then each connection is closed between requests.
constexpr Micros kServeOn = 500ms, kLeast = 700ms;
// By now every request has had its answer; a client that does not read it does not keep the proxy up.
constexpr Micros kMost = 15s;
// Standard streams, epoll, the signals, the listener, discovery, the log: and some to spare.
constexpr std::size_t kOwnDescriptors = 16;
constexpr std::size_t kOfEachProxy = 2;  // of several: each one's epoll, and one to spare
constexpr std::size_t kKeptBack = 8;     // of these, while another proxy of the process makes room
// Clients with requests hold a third of the descriptors at most. Two thirds for all clients leave those their
// part beside as many silent ones, and data servers the last third.
constexpr double kClientShare = 2.0 / 3;
// One turn's share of new clients: a flood of them waits in the backlog, where it costs nothing.
constexpr int kAcceptsPerTurn = 16;
// Where another proxy of this process was asked for room, by then it has closed something.
constexpr Micros kLookAgain = 5ms;
// A client that has been idle for so long, or has not asked for so long since it came, may be closed for
// another one.
constexpr Micros kIdleClient = 2s, kSilentClient = 1s;
// Clients that asked once and keep their connection for good use up what all clients together may hold, a
// third of the descriptors, and the others can open none. So over a quarter, the longest idle ones are
// closed: never one that has asked so lately that it may be about to ask again.
constexpr std::size_t kKeptShare = 4;
constexpr Micros kJustAsked = 50ms, kTrimEvery = 5ms;
// Of the memory allowed: what all buffers may hold together, which leaves as much again for what they are
// copied through and the rest for the process itself. Long answers keep within an eighth.
constexpr double kBufferShare = 3.0 / 8;
// Lines on clients that had to go for want of memory: one in so long.
constexpr Micros kTellOfMemory = 1s;
// Discovery's agent answers at once where it has news. Until it has, or for so long, a list from the
// configuration is not taken for what is in force.
constexpr Micros kFirstWord = 300ms;
// What another process may take up between two looks at what it holds.
constexpr std::size_t kOtherGrows = 16;
// Between two pieces of a command that is written over 2 s lie 0.1 s or a little more; and a command that is
// whole so long before the platform ends the process can still be answered.
constexpr Micros kStillWrites = 400ms, kWrittenBy = 500ms;
// Leaving to another process: idle clients are closed all at one moment, every so often. A request that is on
// its way at that moment crosses the close; so the fewer moments the better, and each request that was taken
// has ended before the last one.
constexpr Micros kSweepEvery = 400ms, kNotJustCome = 100ms;
// Before the platform kills the process: by when all is answered, and by when all is closed.
constexpr Micros kLastAnswer = 350ms, kLastWord = 150ms;

}  // namespace

Proxy::Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, net::Log log)
    : Proxy(loop, decider, std::move(options), std::move(log), nullptr) {
  discovery_.emplace(
      loop_, options_.discovery, options_.known.generation, options_.pace,
      [this](discovery::MemberUpdate update) {
        told_ = true;
        dispatcher_.list(options_.lay_over(std::move(update)));
      },
      log_);
}

Proxy::Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, net::Log log,
             Neighbours& others)
    : Proxy(loop, decider, std::move(options), std::move(log), &others) {}

Proxy::Proxy(net::Loop& loop, routing::Decider& decider, ProxyOptions options, net::Log log,
             Neighbours* others)
    : loop_(loop),
      options_(std::move(options)),
      log_(log),
      others_(others),
      dispatcher_(loop, decider, options_.pool, log, others, options_.number + 1, options_.count),
      on_listener_(*this) {
  auto address = net::parse_address(options_.listen);
  if (!address) throw std::runtime_error("listen is no address: '" + options_.listen + "'");
  dispatcher_.pool().buffered = [this](std::ptrdiff_t change) { buffered(change); };
  dispatcher_.pool().room = [this] {
    auto used = descriptors_in_use();
    if (used < descriptors_allowed() || make_room()) return true;
    // Nothing of this proxy can give way, but something of another may: it closes that while this one goes on
    // with what is kept back for the proxy's own use.
    if (!others_ || used >= options_.descriptors + kKeptBack) return false;
    others_->ask_for_room();
    return true;
  };
  limit_pool();
  auto known = options_.known;
  known.reset = true;
  dispatcher_.list(others_ ? known : options_.lay_over(known), true);
  started_ = loop_.now();
  if (!options_.listens) return;
  std::string error;
  listener_ = options_.listen_fd >= 0 ? net::inherit_listener(options_.listen_fd, *address, &error)
                                      : net::listen_on(*address, &error, options_.count > 1);
  if (!listener_) throw std::runtime_error(fmt::format("cannot listen on {}: {}", options_.listen, error));
  if (options_.listen_fd < 0) start_accepting();  // else once it can serve: until then the other one does
}

void Proxy::start_accepting() {
  if (!listener_ || accepting_ || stopping_since_) return;
  if (!loop_.add(listener_.get(), &on_listener_)) throw std::runtime_error("cannot watch the listener");
  accepting_ = true;
}

void Proxy::tell(discovery::MemberUpdate update, std::function<void()> applied) {
  dispatcher_.list(std::move(update));
  after_turn_.push_back(std::move(applied));
}

operation::Figures Proxy::figures() const {
  operation::Figures figures;
  for (auto& c : dispatcher_.class_counts())
    figures.classes.push_back({"", c.fulfilled, c.throttled, c.faulted});
  figures.relayed = dispatcher_.pool().written();
  figures.open_requests = dispatcher_.open_requests();
  auto registry = dispatcher_.registry();
  figures.registry_entries = registry.entries;
  figures.out_of_rotation = registry.avoided;
  return figures;
}

std::string Proxy::unable() const {
  if (stopping_since_) return "it has been told to stop";
  if (!dispatcher_.ready()) return "no data server is known that is up and not cordoned";
  if (!others_ && !told_ && loop_.now() - started_ < kFirstWord) return "discovery has not answered yet";
  return "";
}

Proxy::~Proxy() {
  if (accepting_) loop_.remove(listener_.get(), &on_listener_);
}

void Proxy::reconfigure(const ProxyOptions& options) {
  options_.descriptors = options.descriptors;
  options_.memory = options.memory;
  options_.pool = options.pool;
  limit_pool();
  if (discovery_) discovery_->move_to(options.discovery);
}

void Proxy::beside(int others, std::size_t descriptors) {
  others_hold_ = descriptors;
  processes_ = 1 + static_cast<std::size_t>(others);
  limit_pool();
  dispatcher_.beside(others);
}

void Proxy::limit_pool() {
  auto limits = options_.pool;
  limits.stream_memory /= processes_ * options_.count;
  dispatcher_.pool().set_limits(limits);
}

int Proxy::port() const { return net::local_port(listener_.get()); }

void Proxy::run() {
  if (discovery_) discovery_->start();
  loop_.run([this] { end_of_turn(); });
}

void Proxy::cancel_requested(std::uint32_t number, std::uint32_t secret) {
  if (others_ && number % options_.count != options_.number) return others_->cancel(number, secret);
  cancel(number, secret);
}

void Proxy::cancel(std::uint32_t number, std::uint32_t secret) {
  for (auto& [session, owned] : sessions_)
    if (session->number() == number && session->secret() == secret) return session->cancel();
}

std::size_t Proxy::descriptors_in_use() const {
  auto own = loop_.watched() + kOwnDescriptors + options_.kept_back;
  return others_ ? own + kOfEachProxy * options_.count + others_->others().descriptors : own;
}

std::size_t Proxy::descriptors_allowed() const {
  if (others_hold_ == 0) return options_.descriptors;
  return options_.descriptors - std::min(others_hold_ + kOtherGrows, options_.descriptors / 2);
}

// While another process serves beside this one, what is more than this one's part goes as it becomes idle.
void Proxy::give_way() {
  for (int i = 0; i < kAcceptsPerTurn && descriptors_in_use() > descriptors_allowed(); ++i)
    if (!make_room()) return;
}

std::size_t Proxy::clients_in_all() const {
  return sessions_.size() + (others_ ? others_->others().clients : 0);
}

void Proxy::publish() {
  if (!others_) return;
  held_.descriptors = loop_.watched();
  held_.clients = sessions_.size();
  held_.buffered = buffered_;
  // Those that have asked are counted only where trim_idle() may want to know.
  if (clients_in_all() > options_.descriptors / kKeptShare && loop_.now() - published_at_ >= kTrimEvery) {
    published_at_ = loop_.now();
    held_.asked = 0;
    for (auto& [session, owned] : sessions_) held_.asked += !session->draining() && !session->spare();
  }
  others_->publish(held_);
}

void Proxy::accept_all() {
  accept_again_ = false;
  for (int accepted = 0;; ++accepted) {
    if (accepted == kAcceptsPerTurn) {
      loop_.again(&on_listener_);
      break;
    }
    auto most = static_cast<double>(descriptors_allowed() - kOwnDescriptors) * kClientShare;
    if ((static_cast<double>(clients_in_all()) >= most && !close_client(has_its_part())) ||
        (descriptors_in_use() >= descriptors_allowed() && !make_room())) {
      accept_again_ = true;  // the edge has passed: look again when something has ended
      if (others_) {
        others_->ask_for_room();
        loop_.cancel(&look_again_);
        look_again_ = loop_.at(loop_.now() + kLookAgain, [] {});
      }
      break;
    }
    int error = 0;
    auto fd = net::accept_from(listener_.get(), &error);
    if (!fd) {
      if (error == EAGAIN || error == EWOULDBLOCK) break;
      if ((error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM) && !make_room()) {
        if (++without_descriptor_ == 1) log_(net::Level::kError, "no descriptor is left to accept clients");
        accept_again_ = true;
        break;
      }
      // A client that went before it was accepted takes only itself along; anything else could repeat for
      // ever.
      if (error == EMFILE || error == ENFILE || error == ECONNABORTED || error == EINTR || error == EPROTO)
        continue;
      accept_again_ = true;
      break;
    }
    admit(std::move(fd));
  }
}

void Proxy::admit(net::Fd fd) {
  std::uint32_t secret = 0;
  if (getrandom(&secret, sizeof secret, GRND_NONBLOCK) != sizeof secret) secret = ~next_number_;
  auto number = next_number_++ * options_.count + options_.number;
  auto session = std::make_unique<ClientSession>(loop_, dispatcher_, *this, std::move(fd), number, secret);
  if (!session->start()) return;
  if (stopping_since_ && loop_.now() - *stopping_since_ >= kServeOn) session->close_when_idle();
  sessions_.emplace(session.get(), std::move(session));
}

void Proxy::adopt(net::Fd client) { admit(std::move(client)); }

void Proxy::give_room() { make_room(); }

// Frees a descriptor. Clients that have nothing to lose go first, then an idle connection to a data server: a
// new one costs that server work and the next request time, so silent clients must not drive them out.
bool Proxy::make_room() {
  return close_client(false) || dispatcher_.pool().close_one_idle() || close_client(has_its_part());
}

// Of several proxies, one that holds less than its part of the clients leaves it to the others to close some
// that came just now: its own are too few to choose from.
bool Proxy::has_its_part() const { return sessions_.size() * options_.count >= clients_in_all(); }

// Closes the client that is easiest to miss: one that was turned away, one that has never asked and has given
// nothing for a while (who writes a command slowly gives something all the time, who stopped half way does
// not), one that has long been idle. Only where `any` of them must go, those that came or asked just now: a
// usual client needs a moment to send its first request.
bool Proxy::close_client(bool any) {
  ClientSession* best[5] = {};
  auto now = loop_.now();
  for (auto& [session, owned] : sessions_) {
    auto quiet = now - session->quiet_since();
    // Whoever came in this very turn has had no chance to speak.
    int rank = session->draining() ? 0
               : session->spare()  ? (quiet >= kSilentClient ? 1
                                      : quiet.count() > 0    ? 4
                                                             : -1)
               : session->idle()   ? (quiet >= kIdleClient ? 2 : 3)
                                   : -1;
    if (rank < 0) continue;
    if (!best[rank] || session->quiet_since() < best[rank]->quiet_since()) best[rank] = session;
  }
  for (int rank = 0; rank < (any ? 5 : 3); ++rank) {
    if (!best[rank]) continue;
    best[rank]->close();
    return true;
  }
  return false;
}

void Proxy::trim_idle() {
  auto most = options_.descriptors / kKeptShare;
  if (clients_in_all() <= most || loop_.now() - trimmed_at_ < kTrimEvery) return;
  trimmed_at_ = loop_.now();
  std::vector<ClientSession*> idle;
  std::size_t asked = 0;
  for (auto& [session, owned] : sessions_) {
    if (session->draining() || session->spare()) continue;
    ++asked;
    if (session->idle() && loop_.now() - session->idle_since() >= kJustAsked) idle.push_back(session);
  }
  // Of several, each closes its part of what all have too many.
  auto all = asked + (others_ ? others_->others().asked : 0);
  if (all <= most) return;
  auto own = others_ ? (all - most) * asked / all + 1 : all - most;
  auto count = std::min(own, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end(),
                    [](auto* a, auto* b) { return a->idle_since() < b->idle_since(); });
  for (std::size_t i = 0; i < count; ++i) idle[i]->close();
}

bool Proxy::buffered(std::ptrdiff_t change) {
  buffered_ += static_cast<std::size_t>(change);
  auto all = buffered_ + (others_ ? others_->others().buffered : 0);
  return static_cast<double>(all) <= static_cast<double>(options_.memory / processes_) * kBufferShare;
}

// Where all buffers hold too much, the clients go that take nothing of their answers, the longest so first.
void Proxy::spare_memory() {
  std::size_t gone = 0;
  // Of several, one that holds less than its part leaves it to the others.
  while (!buffered(0) &&
         buffered_ * options_.count >= buffered_ + (others_ ? others_->others().buffered : 0)) {
    ClientSession* longest = nullptr;
    for (auto& [session, owned] : sessions_) {
      auto since = session->unread_since();
      if (since && (!longest || *since < *longest->unread_since())) longest = session;
    }
    if (!longest) break;
    longest->close();
    ++gone;
  }
  if (gone == 0 || loop_.now() - told_of_memory_ < kTellOfMemory) return;
  told_of_memory_ = loop_.now();
  log_(net::Level::kWarning,
       fmt::format("memory is short: {} clients that read no answers are closed", gone));
}

void Proxy::session_closed(ClientSession* session) {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  closed_.push_back(std::move(it->second));  // it may be in one of its own calls
  sessions_.erase(it);
}

void Proxy::end_of_turn() {
  before_turn_end();
  if (accept_again_ && accepting_) accept_all();
  if (stopping_since_) accepting_on_ ? close_idle_clients() : leave_to_the_other();
  if (others_hold_ > 0) give_way();
  trim_idle();
  dispatcher_.end_of_turn();
  if (!was_ready_ && dispatcher_.ready()) {
    was_ready_ = true;
    start_accepting();
    if (!others_) log_(net::Level::kInfo, "ready to serve");
    on_ready();
    std::vector<ClientSession*> all;
    for (auto& [session, owned] : sessions_) all.push_back(session);
    for (auto* session : all) session->resume();
    dispatcher_.end_of_turn();  // for what stood behind the empty query
  }
  // A client that turns out to be gone gives back what it had out.
  while (!to_flush_.empty()) {
    auto open = sessions_.size();
    for (auto* session : std::exchange(to_flush_, {})) session->flush();
    if (sessions_.size() < open) dispatcher_.end_of_turn();
  }
  spare_memory();
  closed_.clear();
  publish();
  for (auto& call : std::exchange(after_turn_, {})) call();
}

void Proxy::shut_down(bool relieved) {
  if (stopping_since_) return;
  stopping_since_ = loop_.now();
  if (!others_)
    log_(net::Level::kInfo, fmt::format("told to stop: {} clients, {} requests open", sessions_.size(),
                                        dispatcher_.open_requests()));
  for (auto after : {kServeOn, kLeast, kMost}) loop_.at(loop_.now() + after, [] {});
  accepting_on_ = !relieved;
  if (accepting_on_) return;
  // Out of this loop's set: whoever waits in the backlog wakes the other process only. The socket itself is
  // the platform's and stays as it is.
  if (std::exchange(accepting_, false)) loop_.remove(listener_.get(), &on_listener_);
  sweep_at_ = loop_.now();
  dispatcher_.answer_by(*stopping_since_ + options_.kill_after - kLastAnswer);
}

void Proxy::leave_to_the_other() {
  auto now = loop_.now();
  bool last = now >= *stopping_since_ + options_.kill_after - kLastWord;
  if (now >= sweep_at_ || last) {
    sweep_at_ = now + kSweepEvery;
    loop_.at(sweep_at_, [] {});
    std::vector<ClientSession*> all;
    for (auto& [session, owned] : sessions_) all.push_back(session);
    for (auto* session : all) {
      if (!sessions_.count(session)) continue;
      bool quiet = session->idle() && (!session->spare() || now - session->idle_since() >= kNotJustCome);
      if (quiet && !session->read_once()) continue;  // what has come unseen is served
      if ((quiet && session->idle()) || last) session->close();
    }
  }
  if (!sessions_.empty()) return;
  if (!others_) log_(net::Level::kInfo, dispatcher_.counters().stopped());
  loop_.stop();
}

void Proxy::close_idle_clients() {
  auto past = loop_.now() - *stopping_since_;
  if (past < kServeOn) return;
  if (accepting_) accept_all();
  std::vector<ClientSession*> all;
  for (auto& [session, owned] : sessions_) all.push_back(session);
  for (auto* session : all) {
    session->close_when_idle();
    if (sessions_.count(session) && session->idle()) session->read_once();
  }
  if (past < kLeast) return;
  // Whoever has not even sent a whole request by now waits for nothing, but for those that are writing one,
  // where the platform leaves them the time.
  bool may_write = past < options_.kill_after - kWrittenBy;
  for (auto* session : all) {
    if (!sessions_.count(session) || (may_write && session->writing(loop_.now() - kStillWrites))) continue;
    if (!session->busy() || past >= kMost) session->close();
  }
  if (may_write && !sessions_.empty()) {
    loop_.cancel(&look_again_);
    look_again_ = loop_.at(loop_.now() + kStillWrites, [] {});
  }
  if (!sessions_.empty()) return;
  if (!others_) log_(net::Level::kInfo, dispatcher_.counters().stopped());
  loop_.stop();
}

}  // namespace linenwinch::proxy
