// The part of ClientSession that finds out whether its client is connected. The rules are in PresenceMonitor.
#include "proxy/client_session.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// The time after which a client's system has sent what it may send since its input was read.
constexpr Micros kSettleTime = 5ms;

}  // namespace

// Returns what is known at this moment, not at the begin of the iteration, which may have taken long.
ClientPresence ClientSession::presence() {
  if (!fd_) return ClientPresence::kGone;
  bool was_read_to_end = read_in_ == loop_.iteration();
  if (was_read_to_end && presence_.is_known(net::monotonic_now())) return ClientPresence::kConnected;
  bool is_known = look_for_presence();
  if (!fd_) return ClientPresence::kGone;
  if (is_known) return ClientPresence::kConnected;
  ask_for_presence();
  return fd_ ? ClientPresence::kUnknown : ClientPresence::kGone;
}

// Looks at the connection, and closes the session if it has ended. Returns whether the client is known to be
// connected.
bool ClientSession::look_for_presence() {
  bool awaits_check = presence_timer_ != net::Loop::kNoTimer;
  if (awaits_check) return presence_.is_known(net::monotonic_now());
  auto state = net::peer_state(fd_.get());
  if (state == net::PeerState::kUnreadInput && !input_.is_paused()) {
    fill();
    if (!fd_) return false;
    continue_next_iteration();  // the input that was read is reported by no event
    if (read_in_ == loop_.iteration()) state = net::PeerState::kConnected;
  }
  auto now = net::monotonic_now();
  if (state == net::PeerState::kClosed) {
    close_lost_peer();
    return false;
  }
  if (state == net::PeerState::kConnected && now >= settles_at_) presence_.on_present(now);
  bool was_known = presence_.is_known(now);
  if (!was_known && presence_.awaits_confirmation())
    presence_.on_output_confirmed(output_bytes_ - out_.size() - net::unconfirmed_bytes(fd_.get()));
  return presence_.is_known(now);
}

// Sends something that the client's system has to confirm, unless something is out already or the end of the
// connection may be seen in a moment.
void ClientSession::ask_for_presence() {
  bool is_settling = !input_.is_paused() && net::monotonic_now() < settles_at_;
  if (!is_settling && !presence_.awaits_confirmation() && out_.empty() && !has_ended_output_) {
    write({pg::repeated_parameter()});
    if (fd_ && net::peer_state(fd_.get()) == net::PeerState::kClosed) close_lost_peer();
    if (!fd_) return;
    update_timeout();
  }
  check_presence_again();
}

// Makes the loop run again when there may be a sign: presence() is asked then.
void ClientSession::check_presence_again() {
  if (presence_timer_ != net::Loop::kNoTimer) return;
  auto now = net::monotonic_now();
  presence_timer_ =
      loop_.at(now + presence_.check_interval(now), [this] { presence_timer_ = net::Loop::kNoTimer; });
}

// Called when the socket has accepted output for the client.
void ClientSession::on_output_written() {
  presence_.on_output_accepted(output_bytes_ - out_.size(), net::monotonic_now());
}

// Called when all input was read, and the end of the connection was not behind it. `may_be_held_back`: the
// client's system may have more, and the end, which it was not allowed to send before.
void ClientSession::on_input_at_end(bool may_be_held_back) {
  auto now = net::monotonic_now();
  if (may_be_held_back) settles_at_ = now + kSettleTime;
  if (now < settles_at_) return;
  presence_.on_present(loop_.now());
  read_in_ = loop_.iteration();
}

}  // namespace database_proxy::proxy
