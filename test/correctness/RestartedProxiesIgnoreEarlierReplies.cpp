#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 4;
constexpr std::size_t kTargets = 4;
constexpr RequestId kRequests = 60;
/** Ids of requests beside those of the test, which start from 1. */
constexpr RequestId kOtherRequests = 1000;

constexpr const char* kTwoServices = R"({
  "environment": "test",
  "services": [ { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 },
                { "name": "billing", "vmGroup": "billing", "floorPercent": 60 } ],
  "routes": [
    { "name": "balance", "service": "ledger", "method": "GET",
      "path": "/balance", "priority": 1, "deadlineMs": 20000 },
    { "name": "invoice", "service": "billing", "method": "GET",
      "path": "/invoice", "priority": 1, "deadlineMs": 20000 } ] })";

/** Sends kRequests requests to each of some nodes by turns, numbered from
 * aFirst on. */
void
SendBurst(FakeFleet& aFleet,
          const std::vector<std::size_t>& aNodes,
          RequestId aFirst,
          const std::string& aPath)
{
  for (RequestId id = aFirst; id < aFirst + kRequests; ++id) {
    for (std::size_t node : aNodes) {
      CallerRequest request;
      request.mRequest = id;
      request.mMethod = "GET";
      request.mPath = aPath;
      aFleet.Submit(node, request, { milliseconds(180) });
    }
    aFleet.RunFor(microseconds(200));
  }
}

/** Returns two nodes that schedule nothing. */
std::vector<std::size_t>
TwoPlainNodes(const FakeFleet& aFleet)
{
  std::vector<std::size_t> schedulers = SchedulerNodes(aFleet);
  std::vector<std::size_t> nodes;
  for (std::size_t i = 0; i < kNodes && nodes.size() < 2; ++i) {
    if (std::count(schedulers.begin(), schedulers.end(), i) == 0) {
      nodes.push_back(i);
    }
  }
  return nodes;
}

/** A process of a node whose configuration holds one keyed route. */
NodeState
MakeProcess(std::uint64_t aIncarnation)
{
  NodeOptions options;
  options.mSelf = NodeId("10.0.0.1:7000");
  options.mEnvironment = "test";
  options.mIncarnation = aIncarnation;
  NodeState state = NodeState::Make(options, kStart);
  Step(state, kStart, Tick{});
  LogReadResult read{ "test.config", true, 1, 1, {} };
  read.mRecords.push_back(
    { 1, kStartWallMs, FormatChange(MakeChange(kSmallDocument, "first")) });
  Step(state, kStart, read);
  return state;
}

/** Submits a process's first request, which has a key. */
void
SubmitFirstPost(NodeState& aState)
{
  CallerRequest request;
  request.mRequest = 1;
  request.mMethod = "POST";
  request.mPath = "/fees";
  request.mWallTime = WallTime(milliseconds(kStartWallMs));
  request.mKey =
    MakeRequestKey(request.mWallTime, 1, aState.mOptions.mIncarnation).mValue;
  Step(aState, kStart, request);
}

/** Returns the owner that a process's only request has in its intent. */
IntentOwner
OwnerOf(const NodeState& aState)
{
  const ProxyRequest& request = aState.mProxy.mRequests.at(1);
  return { aState.mOptions.mSelf,
           aState.mOptions.mIncarnation,
           request.mPeerId };
}

} // namespace

TEST_GROUP(RestartedProxies){};

// A process that is killed leaves requests in a scheduler's queue. Its
// successor numbers its own requests from 1 again, and the scheduler still
// grants those of its predecessor: used for requests with the same numbers, the
// grants send work of one service to targets of another.
TEST(RestartedProxies, DoNotUseGrantsToTheirPredecessors)
{
  std::size_t unmatched = 0;
  for (std::uint64_t seed : TestSeeds(8)) {
    FakeFleet fleet(kNodes, 2, seed);
    fleet.AddTargets("ledger", kTargets);
    fleet.AddTargets("billing", kTargets);
    PublishDocument(fleet, kTwoServices);
    fleet.RunFor(seconds(3));
    // The first requests create the schedulers.
    SendBurst(fleet, { 0 }, kOtherRequests, "/balance");
    SendBurst(fleet, { 0 }, 2 * kOtherRequests, "/invoice");
    fleet.RunFor(seconds(3));
    std::vector<std::size_t> nodes = TwoPlainNodes(fleet);
    std::size_t node = nodes.front();
    std::size_t misrouted = 0;
    bool isRestarted = false;
    fleet.mOnArrival = [&](std::size_t aFrom, const TargetId& aTarget) {
      bool isLedger = aTarget.mValue.rfind("ledger", 0) == 0;
      misrouted += isRestarted && aFrom == node && isLedger ? 1 : 0;
    };
    // Both nodes wait for slots of ledger; one of them is restarted meanwhile.
    SendBurst(fleet, nodes, 1, "/balance");
    fleet.KillNode(node);
    fleet.RunFor(milliseconds(500));
    fleet.StartNode(node);
    isRestarted = true;
    fleet.RunFor(milliseconds(100));
    SendBurst(fleet, { node }, 1, "/invoice");
    fleet.RunFor(seconds(5));
    LONGS_EQUAL(0, misrouted);
    unmatched += fleet.mNodes[node]->mState.mProxy.mCounters.mUnmatchedGrants;
  }
  CHECK(unmatched > 0);
}

// A decision that a predecessor's intent has won must not send a request whose
// own intent is not in the log, and an answer that a predecessor has asked for
// belongs to another caller.
TEST(RestartedProxies, DoNotApplyDecisionsOrAnswersToTheirPredecessors)
{
  NodeState before = MakeProcess(kStartWallMs);
  SubmitFirstPost(before);
  NodeState after = MakeProcess(kStartWallMs + 700);
  SubmitFirstPost(after);
  IntentOwner owner = OwnerOf(before);
  CHECK(owner.mRequest != OwnerOf(after).mRequest);
  NodeId peer("10.0.0.2:7000");
  Step(after,
       kStart,
       PeerMessageReceived{
         { peer, IntentDecision{ owner.mRequest, IntentState::Won, owner } } });
  CHECK(after.mProxy.mRequests.at(1).mStage == RequestStage::AwaitingIntent);
  Step(after,
       kStart,
       PeerMessageReceived{ { peer,
                              IntentDecision{ OwnerOf(after).mRequest,
                                              IntentState::Lost,
                                              { peer, 1, 1 } } } });
  CHECK(after.mProxy.mRequests.at(1).mStage ==
        RequestStage::AwaitingCachedAnswer);
  CachedAnswerReply reply{ owner.mRequest, CachedAnswerState::Cached, {} };
  Step(after, kStart, PeerMessageReceived{ { peer, reply } });
  LONGS_EQUAL(1, after.mProxy.mRequests.count(1));
}
