#include "consensus/election.h"

namespace database_proxy::consensus {

void ElectionTimer::reset(Micros now) {
  const auto span = static_cast<std::uint64_t>((max_ - min_).count());
  deadline_ = now + min_ + Micros(static_cast<std::int64_t>(next_random() % span));
}

// SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014). It is small and
// gives the same values on every platform, unlike the distributions of the standard library.
std::uint64_t ElectionTimer::next_random() {
  random_state_ += 0x9e3779b97f4a7c15;
  std::uint64_t mixed = random_state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

bool VoteTally::has_majority(const Membership& members) const {
  if (members.voters.empty()) return false;
  std::size_t granted = 0;
  for (const auto& [voter, is_granted] : votes_) {
    if (is_granted && members.is_voter(voter)) ++granted;
  }
  return granted >= members.majority();
}

}  // namespace database_proxy::consensus
