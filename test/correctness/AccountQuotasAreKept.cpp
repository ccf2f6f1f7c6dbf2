#include "../support/QuotaFleet.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 16;
constexpr std::size_t kServices = 3;
constexpr double kRate = 60;
constexpr double kBurst = 60;
/** An account's usual traffic: its rate is 1.6 times that. */
constexpr double kUsual = kRate / 1.6;

/** Returns what is sent of a load that lasts and exceeds the quota, if the
 * quota is used up exactly. */
double
Ideal(Duration aTime)
{
  return kRate * std::chrono::duration<double>(aTime).count();
}

} // namespace

/** Guards against accounts that exceed their quota because several nodes spend
 * it at the same time, and against requests within the quota that are refused
 * because a node does not know how much of it is left. */
TEST_GROUP(AccountQuotas){};

TEST(AccountQuotas, UsualTrafficIsNotRefused)
{
  for (std::size_t nodes : { kNodes, std::size_t(1) }) {
    for (std::size_t services : { kServices, std::size_t(1) }) {
      QuotaFleet fleet(kNodes, kServices, kRate, kBurst, 1);
      fleet.Offer(seconds(12), kUsual, nodes, services);
      fleet.Offer(seconds(8), kRate, nodes, services);
      LONGS_EQUAL(0, fleet.mRefused);
      CHECK(fleet.WorstExcess() <= 0);
    }
  }
}

/** Without the ledger, each of the services' schedulers would allow the whole
 * rate. */
TEST(AccountQuotas, HotAccountIsHeldToItsRate)
{
  for (double factor : { 4.0, 8.0 }) {
    for (std::size_t services : { kServices, std::size_t(1) }) {
      QuotaFleet fleet(kNodes, kServices, kRate, kBurst, 2);
      fleet.Offer(seconds(4), kUsual, kNodes, services);
      std::uint64_t before = fleet.mSends.size();
      fleet.Offer(seconds(6), kUsual * factor, kNodes, services);
      std::uint64_t during = fleet.mSends.size() - before;
      std::uint64_t refused = fleet.mRefused;
      fleet.Offer(seconds(8), kUsual, kNodes, services);
      CHECK(fleet.WorstExcess() <= 0);
      CHECK(static_cast<double>(during) >= 0.95 * Ideal(seconds(6)));
      CHECK(fleet.mRefused - refused < 5);
    }
  }
}

TEST(AccountQuotas, FullBurstIsAvailableAfterIdleness)
{
  for (std::size_t nodes : { kNodes, std::size_t(1) }) {
    QuotaFleet fleet(kNodes, kServices, kRate, kBurst, 3);
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < static_cast<int>(kBurst); ++i) {
        fleet.Send(RandomBelow(fleet.mFleet.mRandom, nodes),
                   RandomBelow(fleet.mFleet.mRandom, kServices));
      }
      fleet.mFleet.RunFor(round == 0 ? seconds(3) : seconds(9));
    }
    LONGS_EQUAL(0, fleet.mRefused);
    CHECK(fleet.WorstExcess() <= 0);
  }
}

TEST(AccountQuotas, RefusalsStateWhenATokenIsAvailable)
{
  QuotaFleet fleet(kNodes, 1, 2, 2, 4);
  for (int i = 0; i < 20; ++i) {
    fleet.Send(0, 0);
  }
  fleet.mFleet.RunFor(milliseconds(50));
  CHECK(fleet.mRefused > 0);
  Duration wait = fleet.mRetryAfters.back().second -
                  (fleet.mFleet.Now() - fleet.mRetryAfters.back().first);
  CHECK(wait > milliseconds(100));
  CHECK(wait < seconds(2));
  std::uint64_t refused = fleet.mRefused;
  fleet.mFleet.RunFor(wait - milliseconds(100));
  fleet.Send(0, 0);
  fleet.mFleet.RunFor(milliseconds(200));
  LONGS_EQUAL(refused + 1, fleet.mRefused);
  fleet.Send(0, 0);
  fleet.mFleet.RunFor(milliseconds(200));
  LONGS_EQUAL(refused + 1, fleet.mRefused);
}

TEST(AccountQuotas, LoweredRateIsEnforced)
{
  QuotaFleet fleet(kNodes, kServices, kRate, kBurst, 5);
  fleet.Offer(seconds(6), kRate * 2, kNodes, kServices);
  fleet.PublishRate(kRate / 4, kBurst / 4, "second");
  fleet.Offer(seconds(8), kRate * 2, kNodes, kServices);
  TimePoint from = fleet.mFleet.Now();
  fleet.Offer(seconds(10), kRate * 2, kNodes, kServices);
  double excess = fleet.WorstExcess(kRate / 4, kBurst / 4, from);
  CHECK(excess <= 0);
}

TEST(AccountQuotas, TokensOfUnsentRequestsAreReturned)
{
  // The targets do not answer, so that few requests are sent.
  QuotaFleet fleet(kNodes, kServices, kRate, kBurst, 6, 1);
  std::uint64_t arrivals = 0;
  fleet.mFleet.mOnArrival = [&](std::size_t, const TargetId&) { ++arrivals; };
  for (auto& [id, target] : fleet.mFleet.mTargets) {
    target->mIsFrozen = true;
  }
  fleet.Offer(seconds(10), kRate * 2, kNodes, kServices);
  fleet.mFleet.RunFor(seconds(1));
  std::uint64_t taken = 0;
  std::uint64_t returned = 0;
  for (auto& node : fleet.mFleet.mNodes) {
    taken += node->mState.mQuota.mSpender->mTaken;
    returned += node->mState.mQuota.mSpender->mReturned;
  }
  CHECK(returned > 0);
  CHECK(taken - returned <= arrivals);
  CHECK(static_cast<double>(arrivals) < kRate * 10);
  LONGS_EQUAL(0, fleet.mRefused);
}

TEST(AccountQuotas, RetriesTakeNoToken)
{
  QuotaFleet fleet(kNodes, kServices, kRate, kBurst, 7);
  for (auto& [id, target] : fleet.mFleet.mTargets) {
    target->mShedShare = 0.3;
  }
  fleet.Offer(seconds(8), kRate, kNodes, kServices);
  fleet.mFleet.RunFor(seconds(1));
  std::uint64_t spent = 0;
  std::uint64_t retries = 0;
  for (auto& node : fleet.mFleet.mNodes) {
    const QuotaSpender& spender = *node->mState.mQuota.mSpender;
    spent += spender.mTaken - spender.mReturned;
    retries += node->mState.mProxy.mCounters.mRetries;
  }
  CHECK(retries > 20);
  CHECK(spent <= fleet.mOffered);
  LONGS_EQUAL(0, fleet.mRefused);
}

TEST(AccountQuotas, AccountsWithoutARateCostNothing)
{
  QuotaFleet fleet(kNodes, kServices, 0, 0, 8);
  std::uint64_t messages = 0;
  fleet.mFleet.mIsLost =
    [&](std::size_t, std::size_t, const Message& aMessage) {
      messages += std::holds_alternative<QuotaReport>(aMessage) ? 1 : 0;
      return false;
    };
  fleet.Offer(seconds(4), 200, kNodes, kServices);
  LONGS_EQUAL(0, messages);
  LONGS_EQUAL(0, fleet.mRefused);
  for (auto& node : fleet.mFleet.mNodes) {
    LONGS_EQUAL(0, node->mState.mQuota.mSpender->mBuckets.size());
  }
}
