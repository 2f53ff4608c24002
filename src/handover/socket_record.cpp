#include "handover/socket_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "net/system_errors.h"

namespace database_proxy::handover {
namespace {

// Returns the part of the record that fits: without the endpoint list if the record is too long with it, and
// then also without the cordons that were lifted.
ProcessRecord shortened(ProcessRecord record) {
  record.cancels.clear();
  record.descriptors = 0;
  auto is_too_long = [&record] { return encode_record(record).size() > kMaxSocketTextBytes; };
  if (is_too_long()) record.endpoints = {};
  if (is_too_long()) std::erase_if(record.cordons, [](auto& mark) { return !mark.second.is_cordoned; });
  return record;
}

bool holds_cordons(const ProcessRecord& stored, const ProcessRecord& required) {
  return std::all_of(required.cordons.begin(), required.cordons.end(), [&stored](auto& mark) {
    auto found = stored.cordons.find(mark.first);
    return found != stored.cordons.end() && found->second.changed_at >= mark.second.changed_at;
  });
}

// Returns whether the stored endpoint list makes storing the required one unnecessary. A newer stored list
// does so while its process has not ended. Afterwards an older required list replaces it: no process has the
// newer list any more, because the discovery service has restarted its count of generations.
bool holds_endpoints(const ProcessRecord& stored, const ProcessRecord& required) {
  if (stored.endpoints == required.endpoints || required.endpoints.generation == 0) return true;
  bool is_newer = stored.endpoints.generation >= required.endpoints.generation;
  return is_newer && state_of(stored.process) != ProcessState::kGone;
}

}  // namespace

const std::optional<ProcessRecord>& SocketRecord::read() {
  auto text = socket_text_.read();
  if (!text || *text == last_text_) return record_;
  last_text_ = *text;
  RecordError error = RecordError::kNone;
  record_ = decode_record(last_text_, &error);
  if (!record_)
    log_(net::Level::kWarning,
         fmt::format("the record stored on the listening socket is ignored: {}", describe(error)));
  return record_;
}

bool SocketRecord::is_stored() const {
  return record_ && holds_cordons(*record_, required_) && holds_endpoints(*record_, required_);
}

bool SocketRecord::store(const ProcessRecord& own) {
  required_ = shortened(own);
  read();
  if (is_stored()) return true;
  int error = socket_text_.write(encode_record(required_));
  if (error == 0) read();
  if (std::exchange(is_failing_, error != 0) != is_failing_)
    log_(is_failing_ ? net::Level::kWarning : net::Level::kInfo,
         is_failing_
             ? fmt::format("cannot store a record on the listening socket: {}", net::message_of(error))
             : std::string("the record on the listening socket is stored again"));
  return error == 0;
}

}  // namespace database_proxy::handover
