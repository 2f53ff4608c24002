// Tests of parsing and printing the simulator's messages.
#include "simulator_adapter/wire.h"

#include "request_router/support.h"

namespace request_router::wire {
namespace {

using namespace std::chrono_literals;

constexpr const char* kSpawn =
    "SPAWN RngSeed=5 FamilyInfo.Behind=reject FamilyInfo.CountedFromMs=1000.5 "
    "FamilyInfo.OldestDataMs=200.0,0.0 "
    "FamilyInfo.Positions=true FamilyInfo.ReadLevel=recent,update FamilyInfo.WriteMarks=client "
    "Report.Fields=x0,x1,new "
    "Report.How=inline RequestClasses.count=2 RequestClasses.0.Name=view RequestClasses.0.Effect=pure "
    "RequestClasses.0.TargetMs=100.0 RequestClasses.0.DeadlineMs=400.0 RequestClasses.1.Name=put "
    "RequestClasses.1.Effect=token RequestClasses.1.Group=cell RequestClasses.1.KeyTtlMs=2000.0 "
    "RequestClasses.1.TargetMs=100.0 RequestClasses.1.DeadlineMs=400.0 Limits.Probes=true "
    "Limits.MaxAttempts=6 "
    "Guarantees.ColdShare=0.25 Orgs= Some.Future.Setting=maybe";

struct Wire : ::testing::Test {
  Line spawn{kSpawn};
  InstanceNames names{spawn};
  std::vector<Row> rows{
      parse_row(Line("ROW Host=h1 FailureDomain=z Head=1 Cell=4 Condition=1 StartedAtMs=7.25 New=1"))};
  void SetUp() override { names.member_list(Line("ROSTER_CHANGE Form=2 Generation=1 Ref=0"), rows); }
};

TEST_F(Wire, SettingsOfASpawnLineAreRead) {
  const auto& settings = names.settings();
  ASSERT_EQ(settings.classes.size(), 2U);
  EXPECT_EQ(settings.classes[0].level, ReadLevel::kBounded);
  EXPECT_EQ(settings.classes[0].bound, 200ms);
  EXPECT_EQ(settings.classes[1].effect, Effect::kKeyed);
  EXPECT_EQ(settings.classes[1].scope, KeyScope::kGroup);
  EXPECT_EQ(settings.classes[1].key_window, 2s);
  EXPECT_EQ(settings.lag_check, LagCheck::kReject);
  EXPECT_TRUE(settings.client_carries_write_age && settings.answers_carry_position &&
              settings.report_position && settings.report_role && settings.probes);
  EXPECT_EQ(rows[0].entry.started_at, Micros(7250));
}

TEST_F(Wire, ARequestItsAttemptAndItsOutcomeHaveOneTicket) {
  auto request = names.request(Line("ORDER Ticket=abc Key=9 ExpiresMs=2000.25 Opts=6 DbNo=4 Kind=put Odd=1"));
  EXPECT_EQ(request.request_class, 1U);
  EXPECT_EQ(request.expires, Micros(2000250));
  EXPECT_TRUE(request.retry);
  std::string out;
  names.print(Send{request.id, 0, Micros(80500)}, out);
  EXPECT_EQ(out, "DELIVER Ticket=abc Host=h1 TryForMs=80.500\n");
  auto ended = names.outcome(
      Line("RETURNED Ticket=abc Hop=0 Host=h1 Code=success Last=1 Stand=25485 ServerStats=x0:6.204,x1:1"));
  EXPECT_EQ(ended.id, request.id);
  EXPECT_EQ(ended.role, Role::kPrimary);
  EXPECT_EQ(*ended.position, Micros(1000500 + 6371000));
  EXPECT_EQ(*ended.report.position, Micros(1000500 + 6204000));
  EXPECT_TRUE(*ended.report.primary);
}

TEST_F(Wire, MalformedLinesAreRejectedAndQuoted) {
  for (const auto* bad :
       {"ORDER Ticket=a ExpiresMs=x DbNo=4 Kind=put", "ORDER Ticket=a DbNo=4 Kind=put",
        "ORDER Ticket=a ExpiresMs=5 DbNo=4 Kind=other", "ORDER Ticket=a ExpiresMs=1e300 DbNo=4 Kind=put",
        "ORDER Ticket=a ExpiresMs=5 DbNo=4 Kind=put Key=-1"})
    try {
      names.request(Line(bad));
      ADD_FAILURE() << "accepted: " << bad;
    } catch (const MalformedInput& e) {
      EXPECT_NE(std::string(e.what()).find(bad), std::string::npos);
    }
  EXPECT_THROW(names.outcome(Line("RETURNED Ticket=a Hop=0 Host=h9 Code=success")), MalformedInput);
  EXPECT_THROW(names.outcome(Line("RETURNED Ticket=a Hop=0 Host=h1 Code=fine")), MalformedInput);
  EXPECT_THROW(Line("ORDER Ticket"), MalformedInput);
  EXPECT_THROW(parse_row(Line("ROW Host=h1 Condition=7")), MalformedInput);
}

}  // namespace
}  // namespace request_router::wire
