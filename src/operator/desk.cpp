#include "operator/desk.h"

#include <fmt/format.h>

#include <chrono>

#include "net/loop.h"

namespace linenwinch::operation {

void Desk::serve(const Call& call, const Answer& answer) {
  switch (call.what) {
    case Call::What::kHealth: {
      auto why = house_.unable();
      return answer(why.empty() ? yes() : no(why));
    }
    case Call::What::kCounters:
      return house_.figures([this, answer](Figures figures) {
        figures.classes.resize(classes_.size());
        for (std::size_t i = 0; i < classes_.size(); ++i) figures.classes[i].name = classes_[i];
        answer(text_of(figures));
      });
    case Call::What::kCordon:
    case Call::What::kUncordon:
      return cordon(call.id, call.what == Call::What::kCordon, answer);
    case Call::What::kBad:
      return answer(no(call.why));
  }
}

void Desk::cordon(const std::string& id, bool out, const Answer& answer) {
  using Said = membership::Cordons::Said;
  using namespace std::chrono;
  discovery::MemberUpdate changed;
  auto unix_ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  switch (cordons_.set(id, out, net::monotonic_now().count(), unix_ms, &changed)) {
    case Said::kUnknown:
      return answer(no(fmt::format("no data server {} is known", id)));
    case Said::kTooMany:
      return answer(no(fmt::format("{} ids are cordoned already", membership::kMostMarks)));
    case Said::kAlready:
      return answer(yes(out ? "it was cordoned already" : "it was not cordoned"));
    case Said::kDone:
      break;
  }
  house_.marked();
  bool last = out && cordons_.last_of_its_set(id);
  log_(last ? net::Level::kWarning : net::Level::kInfo,
       fmt::format("{} {} by an operator{}", id, out ? "cordoned" : "put back",
                   last ? "; no other data server of its set takes work" : ""));
  house_.tell(std::move(changed), [answer, last] {
    answer(yes(last ? "warning: no other data server of its set takes work" : ""));
  });
}

void Desk::merge(const membership::Marks& marks) {
  if (auto changed = cordons_.merge(marks)) house_.tell(std::move(*changed), [] {});
}

}  // namespace linenwinch::operation
