#include "../support/FleetHelpers.h"
#include "../support/Properties.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 4;
constexpr std::size_t kKeys = 4;
constexpr Duration kWarmUp = milliseconds(1200);
/** Period in which sends start and faults are injected. */
constexpr Duration kFaultPeriod = seconds(4);
/** Period after it, without log outages and message loss, in which the
 * remaining requests finish. */
constexpr Duration kRecoveryPeriod = seconds(3);

/** One send of a key by its caller, and its reported outcome. */
struct Send
{
  std::size_t mKey = 0;
  std::size_t mNode = 0;
  bool mIsFirstSend = false;
  /** A request with other content is sent under the same key. */
  bool mIsDifferentRequest = false;
  bool mIsAnswered = false;
  RunOutcome mReportedOutcome = RunOutcome::Unknown;
  unsigned mStatus = 0;
  TimePoint mReportedAt{};
  std::vector<TimePoint> mRunStarts;
};

/** A random schedule of resends and faults, and the recorded outcomes. */
class FaultScenario
{
public:
  explicit FaultScenario(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mFleet(kNodes, 2, aSeed)
  {
    mFleet.AddTargets("ledger", 3);
    PublishDocument(mFleet, kSmallDocument);
    mFleet.mOnStart = [this](std::size_t aNode, RequestId aRequest) {
      if (Send* send = FindSend(aNode, aRequest)) {
        send->mRunStarts.push_back(mFleet.Now());
      }
    };
    mFleet.mOnAnswer = [this](std::size_t aNode,
                              RequestId aRequest,
                              const AnswerCaller& aAnswer) {
      if (Send* send = FindSend(aNode, aRequest)) {
        send->mIsAnswered = true;
        send->mReportedOutcome = aAnswer.mVerdict.mOutcome;
        send->mStatus = aAnswer.mVerdict.mStatus;
        send->mReportedAt = mFleet.Now();
      }
    };
  }

  void Run()
  {
    mFleet.RunFor(kWarmUp);
    for (std::size_t i = 0; i < kKeys; ++i) {
      mKeys.push_back(MakeFreshKey(mFleet));
      ScheduleSends(i);
    }
    ScheduleFaults();
    mFleet.RunFor(kFaultPeriod);
    mFleet.mLog.mIsDown = false;
    mLossPercent = 0;
    mFleet.RunFor(kRecoveryPeriod);
  }

  std::vector<Send> mSends;

  /** Returns the start times of all runs under a key, in ascending order. */
  std::vector<TimePoint> RunStarts(std::size_t aKey) const
  {
    std::vector<TimePoint> starts;
    for (const Send& it : mSends) {
      if (it.mKey == aKey) {
        starts.insert(starts.end(), it.mRunStarts.begin(), it.mRunStarts.end());
      }
    }
    std::sort(starts.begin(), starts.end());
    return starts;
  }

  /** Returns whether a key's original request or, with aIsDifferentRequest, the
   * different request sent under the same key ever ran. */
  bool HasRun(std::size_t aKey, bool aIsDifferentRequest) const
  {
    return std::any_of(mSends.begin(), mSends.end(), [&](const Send& aSend) {
      return aSend.mKey == aKey &&
             aSend.mIsDifferentRequest == aIsDifferentRequest &&
             !aSend.mRunStarts.empty();
    });
  }

private:
  /** Returns true with a probability of aPercent. */
  bool DrawBool(unsigned aPercent)
  {
    return RandomBelow(mRandom, 100) < aPercent;
  }
  /** Returns a random duration below aTime. */
  Duration DrawDuration(Duration aTime)
  {
    return Duration(
      RandomBelow(mRandom, static_cast<std::size_t>(aTime.count())));
  }

  Send* FindSend(std::size_t aNode, RequestId aRequest)
  {
    auto it = mSendIndexes.find({ aNode, aRequest });
    return it == mSendIndexes.end() ? nullptr : &mSends[it->second];
  }

  /** Schedules one to four sends of a key, some of them at the same time. The
   * last one may be a different request under the same key. */
  void ScheduleSends(std::size_t aKey)
  {
    std::size_t n = 1 + RandomBelow(mRandom, 4);
    Duration at = DrawDuration(kFaultPeriod / 2);
    bool isReused = DrawBool(15);
    for (std::size_t i = 0; i < n; ++i) {
      bool isDifferentRequest = isReused && i == n - 1 && i > 0;
      mFleet.mQueue.After(
        at, [this, aKey, isFirstSend = i == 0, isDifferentRequest] {
          SubmitSend(aKey, isFirstSend, isDifferentRequest);
        });
      at += DrawBool(40) ? Duration(0) : DrawDuration(milliseconds(1500));
    }
  }

  void SubmitSend(std::size_t aKey, bool aIsFirstSend, bool aIsDifferentRequest)
  {
    std::size_t node = RandomBelow(mRandom, kNodes);
    if (mFleet.mNodes[node]->mIsDead) {
      return;
    }
    // Request ids keep increasing over restarts of a node, unlike those of a
    // real process. Processes also differ by their incarnation.
    RequestId request = ++mLastRequest;
    mSendIndexes[{ node, request }] = mSends.size();
    Send send;
    send.mKey = aKey;
    send.mNode = node;
    send.mIsFirstSend = aIsFirstSend;
    send.mIsDifferentRequest = aIsDifferentRequest;
    mSends.push_back(send);
    CallerRequest event;
    event.mRequest = request;
    event.mMethod = "POST";
    event.mPath = "/fees";
    event.mKey = mKeys[aKey].mValue;
    event.mFingerprint = aKey + 1 + (aIsDifferentRequest ? 1000 : 0);
    event.mIsFirstAttempt = aIsFirstSend;
    mFleet.Submit(node,
                  event,
                  { DrawExponential(mRandom, milliseconds(40)), false, false });
  }

  /** Draws the loss and delay of the log and of messages, and schedules up to
   * five faults. */
  void ScheduleFaults()
  {
    mFleet.mLog.mLostReplyShare = DrawBool(50) ? 0.4 : 0;
    mFleet.mLog.mDelay = DrawBool(30) ? milliseconds(150) : milliseconds(4);
    mLossPercent = DrawBool(50) ? 8 : 0;
    mFleet.mIsLost = [this](std::size_t, std::size_t, const Message&) {
      return mLossPercent > 0 && DrawBool(mLossPercent);
    };
    std::size_t faults = RandomBelow(mRandom, 6);
    for (std::size_t i = 0; i < faults; ++i) {
      mFleet.mQueue.After(DrawDuration(kFaultPeriod),
                          [this] { InjectFault(); });
    }
  }

  /** Injects a random fault: a killed or paused node, an outage of the log, a
   * crashed target, or targets that answer with errors. */
  void InjectFault()
  {
    std::size_t node = RandomBelow(mRandom, kNodes);
    Duration duration = DrawDuration(milliseconds(1500)) + milliseconds(1);
    switch (RandomBelow(mRandom, 5)) {
      case 0:
        mFleet.KillNode(node);
        mFleet.mQueue.After(duration, [this, node] {
          if (mFleet.mNodes[node]->mIsDead) {
            mFleet.StartNode(node);
          }
        });
        return;
      case 1:
        mFleet.PauseNode(node);
        mFleet.mQueue.After(duration, [this, node] {
          if (mFleet.mNodes[node]->mIsPaused) {
            mFleet.ResumeNode(node);
          }
        });
        return;
      case 2:
        mFleet.mLog.mIsDown = true;
        mFleet.mQueue.After(duration, [this] { mFleet.mLog.mIsDown = false; });
        return;
      case 3: {
        auto it = std::next(mFleet.mTargets.begin(),
                            static_cast<int>(RandomBelow(mRandom, 3)));
        FakeTarget& target = *it->second;
        target.Crash();
        mFleet.mQueue.After(duration, [&target] { target.mIsCrashed = false; });
        return;
      }
      default:
        for (auto& [id, target] : mFleet.mTargets) {
          target->mErrorShare = DrawBool(50) ? 0.5 : 0;
        }
        return;
    }
  }

  Random mRandom;
  FakeFleet mFleet;
  unsigned mLossPercent = 0;
  std::vector<RequestKey> mKeys;
  RequestId mLastRequest = 0;
  std::map<std::pair<std::size_t, RequestId>, std::size_t> mSendIndexes;
};

/** Checks that each key ran at most once and that no caller was told a wrong
 * outcome. */
void
CheckScenario(const FaultScenario& aScenario)
{
  for (std::size_t key = 0; key < kKeys; ++key) {
    auto starts = aScenario.RunStarts(key);
    RC_ASSERT(starts.size() <= 1U);
    for (const Send& it : aScenario.mSends) {
      if (it.mKey != key || !it.mIsAnswered) {
        continue;
      }
      if (it.mReportedOutcome == RunOutcome::NotRun) {
        // It ran neither before nor after the caller was told "not run".
        RC_ASSERT(it.mRunStarts.empty());
        // "Not run" for a first send covers that send alone. "Not run" for a
        // resend covers all sends of the same request, also later ones, but not
        // a different request under the same key.
        RC_ASSERT(it.mIsFirstSend ||
                  !aScenario.HasRun(key, it.mIsDifferentRequest));
      }
      if (it.mReportedOutcome == RunOutcome::Ran) {
        RC_ASSERT(starts.size() == 1U);
        RC_ASSERT(!it.mIsDifferentRequest || !it.mRunStarts.empty());
      }
    }
  }
}

} // namespace

TEST_GROUP(NonIdempotentRequests){};

TEST(NonIdempotentRequests, RunAtMostOnceUnderRandomFaults)
{
  CHECK(PropertyHolds("at most one run for each key", 10000, [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    FaultScenario scenario(seed);
    scenario.Run();
    CheckScenario(scenario);
  }));
}

TEST(NonIdempotentRequests, MostRequestsAreAnswered)
{
  // Guards against a fleet that refuses every request, which would also run
  // nothing twice.
  unsigned answered = 0;
  unsigned sent = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    FaultScenario scenario(seed);
    scenario.Run();
    for (const Send& it : scenario.mSends) {
      sent += 1;
      answered +=
        it.mIsAnswered && it.mReportedOutcome == RunOutcome::Ran ? 1 : 0;
    }
  }
  CHECK(2 * answered > sent);
}
