#include <request_router/router.h>

#include <chrono>
#include <iostream>

int main() {
  using namespace request_router;
  using namespace std::chrono_literals;

  Settings settings;
  RequestClass view;
  view.name = "view";
  view.level = ReadLevel::kAny;
  view.latency_objective = 200ms;
  view.deadline = 800ms;
  settings.classes.push_back(view);

  Router router(settings, 42);
  MemberList list;
  MemberEntry replica;
  replica.member = 7;
  replica.group = 1;
  list.entries.push_back(replica);
  router.handle(0ms, {list});

  Request request;
  request.id = 1;
  request.group = 1;
  request.expires = 805ms;
  for (auto& action : router.handle(5ms, {request}))
    if (auto* send = std::get_if<Send>(&action)) {
      std::cout << "request " << send->id << " goes to member " << send->member << "\n";
      return 0;
    }
  return 1;
}
