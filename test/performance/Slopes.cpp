#include "../support/FleetHelpers.h"

#include "Codec.h"
#include "Hash.h"
#include "IntentFold.h"
#include "Rendezvous.h"
#include "TargetChoice.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>

/** Measures what one more of each thing costs, with the daemon's own reducers
 * and codecs, at four sizes over two decades or more. Prints a line of CSV for
 * each figure: kind, thing, size, value, unit; and for each thing its slope and
 * how far the worst size lies from the line, in percent. */
namespace {

using namespace vanillascale;
using namespace vanillascale::fake;

constexpr std::size_t kSizes[] = { 100, 1000, 10000, 40000 };
constexpr int kRepeats = 5;

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
PrintSlope(const char* aKind,
           const char* aThing,
           const char* aUnit,
           const std::vector<std::pair<double, double>>& aPoints)
{
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  // Weighted by 1/x, so that the small sizes count as much as the large.
  for (const auto& [x, y] : aPoints) {
    double w = 1 / x;
    n += w;
    sx += w * x;
    sy += w * y;
    sxx += w * x * x;
    sxy += w * x * y;
  }
  double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  double start = (sy - slope * sx) / n;
  double worst = 0;
  for (const auto& [x, y] : aPoints) {
    std::printf("%s,%s,%.0f,%.1f,%s\n", aKind, aThing, x, y, aUnit);
    double line = start + slope * x;
    worst = std::max(worst, std::abs(y - line) / std::max(std::abs(y), 1.0));
  }
  std::printf("slope,%s,%s,%.3f,%s each; worst size off by %.0f%%\n",
              aThing,
              aKind,
              slope,
              aUnit,
              100 * worst);
}

/** Bytes on the heap that aMake's result holds, by size. */
template<typename Make>
void
MeasureState(const char* aThing, Make aMake)
{
  std::vector<std::pair<double, double>> points;
  for (std::size_t n : kSizes) {
    double before = HeapBytes();
    auto state = aMake(n);
    points.emplace_back(static_cast<double>(n), HeapBytes() - before);
  }
  PrintSlope("state", aThing, "bytes", points);
}

/** The least time of a few repeats of aWork, in ns, by size. */
template<typename Make, typename Work>
void
MeasureTime(const char* aThing, Make aMake, Work aWork)
{
  std::vector<std::pair<double, double>> points;
  for (std::size_t n : kSizes) {
    auto state = aMake(n);
    double least = 1e18;
    for (int i = 0; i < kRepeats; ++i) {
      auto begin = std::chrono::steady_clock::now();
      aWork(state);
      std::chrono::duration<double, std::nano> time =
        std::chrono::steady_clock::now() - begin;
      least = std::min(least, time.count());
    }
    points.emplace_back(static_cast<double>(n), least);
  }
  PrintSlope("time", aThing, "ns", points);
}

void
MeasureMessage(const char* aThing, const Message& aMessage)
{
  std::size_t n =
    Encode("production", { NodeId("10.20.30.40:7000"), aMessage }).size();
  std::printf("message,%s,1,%zu,bytes\n", aThing, n);
}

Document
MakeDocument(std::size_t aRoutes)
{
  Document document;
  for (std::size_t i = 0; i < aRoutes; ++i) {
    Route route;
    route.mName = RouteName("route-" + std::to_string(i));
    route.mService = ServiceName("service-" + std::to_string(i / 10));
    route.mMethod = "GET";
    route.mPath =
      "/service-" + std::to_string(i / 10) + "/" + std::to_string(i);
    route.mDeadline = seconds(2);
    document.mRoutes.emplace(route.mName, route);
    document.mServices.try_emplace(
      route.mService, Service{ route.mService, "group", 60, 0, 5, 1 });
  }
  return document;
}

TargetPool
MakePool(std::size_t aTargets)
{
  TargetPool pool;
  std::vector<Vm> vms;
  for (std::size_t i = 0; i < aTargets; ++i) {
    vms.push_back({ "g",
                    "10.1." + std::to_string(i / 250) + "." +
                      std::to_string(i % 250) + ":8080",
                    "",
                    ZoneName("zone-" + std::to_string(i % 3)),
                    3,
                    false });
  }
  UpdatePool(pool, kStart, "g", vms);
  return pool;
}

MembershipState
MakeMembers(std::size_t aMembers)
{
  MembershipState members =
    MembershipState::Make(NodeId("10.0.0.1:7000"), ZoneName("zone-0"), 1);
  for (std::size_t i = 0; i < aMembers; ++i) {
    Member member;
    member.mZone = ZoneName("zone-" + std::to_string(i % 34));
    member.mIncarnation = 1;
    members.mMembers.emplace(NodeId(FakeFleet::NodeName(i)), std::move(member));
  }
  return members;
}

IntentFoldState
MakeIntents(std::size_t aKeys)
{
  IntentFoldState fold;
  Random random(1);
  for (std::size_t i = 0; i < aKeys; ++i) {
    IntentRequest intent;
    intent.mKey =
      MakeRequestKey(WallTime(milliseconds(kStartWallMs)), random(), i);
    intent.mOwner = { NodeId("10.20.30.40:7000"), 1, i };
    FoldIntents(fold, { i + 1, kStartWallMs, SerializeIntents({ intent }) });
  }
  return fold;
}

void
MeasureStates()
{
  MeasureState("worker at its scheduler", MakePool);
  MeasureState("route and its share of services", [](std::size_t aSize) {
    Document document = MakeDocument(aSize);
    RouteTable table = RouteTable::Make(document);
    return std::make_pair(std::move(document), std::move(table));
  });
  MeasureState("member", MakeMembers);
  MeasureState("remembered key", MakeIntents);
  MeasureState("account with traffic", [](std::size_t aSize) {
    AccountLimits accounts;
    for (std::size_t i = 0; i < aSize; ++i) {
      accounts.try_emplace(Hash64(std::to_string(i)));
    }
    return accounts;
  });
  MeasureState("lease", [](std::size_t aSize) {
    std::unordered_map<LeaseId, ActiveLease> leases;
    for (std::size_t i = 0; i < aSize; ++i) {
      ActiveLease lease;
      lease.mHolder = NodeId("10.20.30.40:7000");
      lease.mZone = ZoneName("zone-1");
      lease.mTarget = TargetId("10.1.2.3:8080");
      leases.emplace(i, std::move(lease));
    }
    return leases;
  });
}

void
MeasureTimes()
{
  MeasureTime("grant: one pick of a target", MakePool, [](TargetPool& aPool) {
    SlotDemand demand;
    demand.mZone = ZoneName("zone-1");
    PickTarget(aPool, kStart + seconds(9), demand);
  });
  MeasureTime("membership: one tick", MakeMembers, [](MembershipState& aState) {
    Random random(1);
    Effects effects;
    MembershipTick(aState, kStart, random, effects);
  });
  MeasureTime(
    "owner of a duty: one pick",
    [](std::size_t aSize) { return LiveMembers(MakeMembers(aSize)); },
    [](std::vector<NodeId>& aMembers) { PickOwner(aMembers, "duty"); });
  MeasureTime(
    "configuration: one change folded",
    [](std::size_t aSize) {
      ConfigState state;
      state.mDocument = MakeDocument(aSize);
      state.mDocument.mEnvironment = "test";
      state.mRoutes = RouteTable::Make(state.mDocument);
      return state;
    },
    [](ConfigState& aState) {
      Route route = aState.mDocument.mRoutes.begin()->second;
      route.mDeadline += milliseconds(1);
      Change change{
        std::to_string(aState.mOffset),
        "who",
        "test",
        { { "route", route.mName.mValue, route.mVersion, FormatRoute(route) } }
      };
      FoldRecord(aState, { aState.mOffset + 1, 0, FormatChange(change) });
    });
}

void
MeasureMessages()
{
  LeaseRequest request;
  request.mService = ServiceName("service-1234");
  request.mRequest = 1000000;
  request.mRoute = 4000000000U;
  request.mDeadline = seconds(2);
  request.mFingerprint = UINT64_MAX;
  request.mAccount = UINT64_MAX;
  MeasureMessage("lease request", request);
  MeasureMessage(
    "lease grant",
    LeaseGrant{
      1000000, UINT64_MAX, TargetId("10.20.30.40:8080"), seconds(2) });
  LeaseReport report;
  report.mService = ServiceName("service-1234");
  report.mLease = UINT64_MAX;
  report.mLatency = milliseconds(180);
  MeasureMessage("lease report", report);
  IntentRequest intent;
  intent.mKey = MakeRequestKey(WallTime(milliseconds(kStartWallMs)), 1, 2);
  intent.mOwner = { NodeId("10.20.30.40:7000"), UINT64_MAX, 1000000 };
  intent.mFingerprint = UINT64_MAX;
  MeasureMessage("intent request", intent);
  MeasureMessage("intent decision", IntentDecision{ 1000000, {}, {} });
  std::printf("message,intent in the log,1,%zu,bytes\n",
              SerializeIntents({ intent }).size());
  Ping ping{ 1000000, 64000, {} };
  for (int i = 0; i < 2; ++i) {
    ping.mUpdates.push_back({ NodeId("10.20.30.40:7000"),
                              ZoneName("zone-1"),
                              UINT64_MAX,
                              MemberStatus::Alive });
  }
  MeasureMessage("probe or its answer with two statements", ping);
  Route route = MakeDocument(1).mRoutes.begin()->second;
  Change change{
    "01a3185c-54b0-7687-b21a-49198d312362",
    "operator",
    "production",
    { { "route", route.mName.mValue, 64000, FormatRoute(route) } }
  };
  MeasureMessage(
    "one change pushed",
    ConfigPush{ 1, 2, "", { { 2, kStartWallMs, FormatChange(change) } } });
}

} // namespace

int
main()
{
  std::printf("kind,thing,size,value,unit\n");
  MeasureStates();
  MeasureTimes();
  MeasureMessages();
  return 0;
}
