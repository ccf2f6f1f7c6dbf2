#ifndef VANILLASCALE_TEST_QUOTAFLEET_H
#define VANILLASCALE_TEST_QUOTAFLEET_H

#include "FleetHelpers.h"

namespace vanillascale::fake {

/** A fleet with one account that has a quota and uses several services. Counts
 * what is sent and what is refused. */
class QuotaFleet
{
public:
  QuotaFleet(std::size_t aNodes,
             std::size_t aServices,
             double aRate,
             double aBurst,
             std::uint64_t aSeed,
             unsigned aSlots = 200)
    : mFleet(aNodes, 3, aSeed)
    , mServices(aServices)
    , mRate(aRate)
    , mBurst(aBurst)
  {
    for (std::size_t i = 0; i < aServices; ++i) {
      mFleet.AddTargets("s" + std::to_string(i), 6);
    }
    for (auto& [id, target] : mFleet.mTargets) {
      target->mSlots = aSlots;
    }
    for (Vm& it : mFleet.mVms) {
      it.mSlots = it.mGroup == "proxies" ? 0 : aSlots;
    }
    mFleet.mOnStart = [this](std::size_t aNode, RequestId aRequest) {
      if (mStarted.emplace(aNode, aRequest).second) {
        mSends.push_back(mFleet.Now());
      }
    };
    mFleet.mOnAnswer =
      [this](std::size_t, RequestId, const AnswerCaller& aAnswer) {
        if (aAnswer.mAnswer) {
          ++mAnswered;
        } else if (aAnswer.mVerdict.mStatus == 429) {
          ++mRefused;
          mRetryAfters.emplace_back(mFleet.Now(), aAnswer.mVerdict.mRetryAfter);
        } else {
          ++mOthers;
        }
      };
    PublishRate(aRate, aBurst, "first");
    mFleet.RunFor(seconds(6));
  }

  /** Puts a rate in force; the configuration takes a moment to arrive. */
  void PublishRate(double aRate, double aBurst, const std::string& aId)
  {
    std::string services;
    std::string routes;
    for (std::size_t i = 0; i < mServices; ++i) {
      std::string name = "s" + std::to_string(i);
      std::string comma = i > 0 ? "," : "";
      services.append(comma)
        .append(R"({"name":")")
        .append(name)
        .append(R"(","vmGroup":")")
        .append(name)
        .append(R"(","floorPercent":60})");
      routes.append(comma)
        .append(R"({"name":")")
        .append(name)
        .append(R"(","service":")")
        .append(name)
        .append(R"(","method":"GET","path":"/)")
        .append(name)
        .append(R"(","priority":1,"deadlineMs":2000})");
    }
    std::string document = R"({"environment":"test","services":[)" + services +
                           R"(],"routes":[)" + routes +
                           R"(],"accounts":[{"name":"acme","keys":["key"],)" +
                           R"("rate":)" + std::to_string(aRate) +
                           R"(,"burst":)" + std::to_string(aBurst) + "}]}";
    auto parsed = ParseDocument(document);
    if (!parsed) {
      throw std::logic_error(parsed.error().front().mProblem);
    }
    Change change;
    change.mId = aId;
    change.mWho = "test";
    change.mEnvironment = "test";
    change.mObjects = DiffDocument(mConfig, *parsed);
    LogOffset offset =
      mFleet.mLog.Append(mFleet.Now(), "test.config", FormatChange(change));
    LogRecord record{ offset, 0, FormatChange(change) };
    FoldRecord(mConfig, record);
  }

  void Send(std::size_t aNode, std::size_t aService)
  {
    CallerRequest request;
    request.mRequest = ++mLastRequest;
    request.mMethod = "GET";
    request.mPath = "/s" + std::to_string(aService);
    request.mApiKey = "key";
    ++mOffered;
    mFleet.Submit(aNode, request, { milliseconds(20) });
  }

  /** Sends requests at a constant rate for a time, to random nodes among the
   * first aNodes that run, and to random services. */
  void Offer(Duration aTime,
             double aPerSecond,
             std::size_t aNodes,
             std::size_t aServices)
  {
    TimePoint end = mFleet.Now() + aTime;
    auto gap = Duration(std::llround(1e6 / aPerSecond));
    while (mFleet.Now() < end) {
      std::size_t node = RandomBelow(mFleet.mRandom, aNodes);
      while (mFleet.mNodes[node]->mIsDead || mFleet.mNodes[node]->mIsPaused) {
        node = RandomBelow(mFleet.mRandom, mFleet.mNodes.size());
      }
      Send(node, RandomBelow(mFleet.mRandom, aServices));
      mFleet.RunFor(gap);
    }
  }

  /** Returns the largest number of requests sent in any 5 s from aFrom on, less
   * what a rate and a burst allow. */
  double WorstExcess(double aRate, double aBurst, TimePoint aFrom) const
  {
    double allowed = (aRate * 5 + aBurst) * 1.1 + 20;
    double worst = -allowed;
    for (auto first = mSends.begin(); first != mSends.end(); ++first) {
      if (*first >= aFrom) {
        auto last = std::upper_bound(first, mSends.end(), *first + seconds(5));
        worst = std::max(worst, static_cast<double>(last - first) - allowed);
      }
    }
    return worst;
  }
  double WorstExcess() const { return WorstExcess(mRate, mBurst, TimePoint{}); }

  /** Returns the node that owns the account's ledger, as node 0 sees it. */
  std::size_t OwnerIndex(std::size_t aSeenBy = 0)
  {
    NodeState& state = mFleet.mNodes[aSeenBy]->mState;
    QuotaOwners owners;
    UpdateQuotaOwners(owners, mFleet.Now(), state.mMembers);
    return mFleet.IndexOf(
      FindQuotaOwner(owners, AccountIdOf(AccountName("acme"))));
  }

  FakeFleet mFleet;
  std::size_t mServices;
  double mRate;
  double mBurst;
  ConfigState mConfig;
  RequestId mLastRequest = 0;
  std::uint64_t mOffered = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mOthers = 0;
  std::vector<TimePoint> mSends;
  std::vector<std::pair<TimePoint, Duration>> mRetryAfters;
  std::set<std::pair<std::size_t, RequestId>> mStarted;
};

} // namespace vanillascale::fake

#endif
