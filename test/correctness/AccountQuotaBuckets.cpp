#include "../support/Properties.h"

#include "QuotaLedger.h"
#include "Random.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kAccount = 7;
constexpr TimePoint kStart{ std::chrono::hours(1) };

/** Spenders and one owner, connected by links that delay, reorder, repeat and
 * lose messages. */
struct Exchange
{
  struct Report
  {
    std::size_t mFrom;
    std::uint64_t mIncarnation;
    TimePoint mSentAt;
    QuotaCount mCount;
  };
  struct Answer
  {
    std::size_t mTo;
    TimePoint mSentAt;
    QuotaLevel mLevel;
  };

  Exchange(std::size_t aSpenders, QuotaLimits aLimits)
    : mLimits(aLimits)
    , mSpenders(aSpenders)
    , mIncarnations(aSpenders, 1)
  {
    for (QuotaSpender& it : mSpenders) {
      it.mEqualShare = 1.0 / static_cast<double>(aSpenders);
    }
  }

  bool Take(std::size_t aSpender)
  {
    QuotaSpender& spender = mSpenders[aSpender];
    SetQuotaLimits(spender, mNow, kAccount, "acme", mLimits);
    bool isTaken =
      TakeQuotaToken(spender, mNow, kAccount, 1) == QuotaDecision::Taken;
    if (isTaken) {
      mSends.push_back(mNow);
    }
    SendReports(aSpender);
    return isTaken;
  }

  void SendReports(std::size_t aSpender)
  {
    QuotaSpender& spender = mSpenders[aSpender];
    std::vector<std::uint64_t> due = DueQuotaReports(spender, mNow);
    due.insert(due.end(), spender.mUrgent.begin(), spender.mUrgent.end());
    spender.mUrgent.clear();
    for (std::uint64_t it : due) {
      mReports.push_back({ aSpender,
                           mIncarnations[aSpender],
                           mNow,
                           ReportQuota(spender, mNow, it) });
    }
  }

  void DeliverReport(std::size_t aIndex, bool aKeeps)
  {
    Report report = mReports[aIndex];
    if (!aKeeps) {
      mReports.erase(mReports.begin() + static_cast<std::ptrdiff_t>(aIndex));
    }
    mAnswers.push_back({ report.mFrom,
                         report.mSentAt,
                         LedgerReceive(mLedger,
                                       mNow,
                                       NodeId(std::to_string(report.mFrom)),
                                       report.mIncarnation,
                                       report.mCount,
                                       mLimits,
                                       mOwnedSince) });
  }

  void DeliverAnswer(std::size_t aIndex, bool aKeeps)
  {
    Answer answer = mAnswers[aIndex];
    if (!aKeeps) {
      mAnswers.erase(mAnswers.begin() + static_cast<std::ptrdiff_t>(aIndex));
    }
    ApplyQuotaLevel(
      mSpenders[answer.mTo], mNow, NodeId(), answer.mSentAt, answer.mLevel);
  }

  /** Delivers all messages at once and in order. */
  void DeliverAll()
  {
    while (!mReports.empty()) {
      DeliverReport(0, false);
    }
    while (!mAnswers.empty()) {
      DeliverAnswer(0, false);
    }
  }

  double WorstExcess() const
  {
    double allowed = (mLimits.mRate * 5 + mLimits.mBurst) * 1.1 + 20;
    double worst = -allowed;
    for (auto it = mSends.begin(); it != mSends.end(); ++it) {
      auto end = std::upper_bound(it, mSends.end(), *it + seconds(5));
      worst = std::max(worst, static_cast<double>(end - it) - allowed);
    }
    return worst;
  }

  TimePoint mNow = kStart;
  TimePoint mOwnedSince = kStart - seconds(60);
  QuotaLimits mLimits;
  QuotaLedger mLedger;
  std::vector<QuotaSpender> mSpenders;
  std::vector<std::uint64_t> mIncarnations;
  std::deque<Report> mReports;
  std::deque<Answer> mAnswers;
  std::vector<TimePoint> mSends;
};

} // namespace

/** Guards against quotas that are exceeded because reports of spending are
 * lost, repeated, reordered or late, or because a spender or the owner is
 * replaced, each at any time. */
TEST_GROUP(QuotaBuckets){};

TEST(QuotaBuckets, KeepTheBoundInAnyInterleaving)
{
  CHECK(PropertyHolds("quota bound", 60, [] {
    auto seed = *rc::gen::arbitrary<std::uint32_t>();
    auto spenders = *rc::gen::inRange<std::size_t>(1, 4);
    double rate = *rc::gen::inRange(5, 200);
    double burst = *rc::gen::inRange(1, 200);
    std::uint32_t lossPercent = *rc::gen::inRange(0U, 30U);
    Random random(seed);
    Exchange exchange(spenders, { rate, burst });
    // A load between half of the rate and eight times of it.
    double perStep = rate * (0.5 + random() % 8) / 100;
    double due = 0;
    for (int step = 0; step < 1500; ++step) {
      exchange.mNow += milliseconds(10);
      for (due += perStep; due >= 1; due -= 1) {
        exchange.Take(random() % spenders);
      }
      for (std::size_t i = 0; i < spenders; ++i) {
        exchange.SendReports(i);
      }
      // Most messages arrive within 10 ms, some later and out of order.
      std::size_t reports = exchange.mReports.size();
      for (std::size_t n = 0; n < reports; ++n) {
        std::uint32_t draw = random() % 100;
        std::size_t index = random() % exchange.mReports.size();
        if (draw < lossPercent) {
          exchange.mReports.erase(exchange.mReports.begin() +
                                  static_cast<std::ptrdiff_t>(index));
        } else if (draw < 90) {
          exchange.DeliverReport(index, draw > 85);
        }
      }
      std::size_t answers = exchange.mAnswers.size();
      for (std::size_t n = 0; n < answers; ++n) {
        std::uint32_t draw = random() % 100;
        std::size_t index = random() % exchange.mAnswers.size();
        if (draw < lossPercent) {
          exchange.mAnswers.erase(exchange.mAnswers.begin() +
                                  static_cast<std::ptrdiff_t>(index));
        } else if (draw < 90) {
          exchange.DeliverAnswer(index, draw > 85);
        }
      }
      if (random() % 900 == 0) {
        // A spender's process is replaced.
        std::size_t index = random() % spenders;
        exchange.mSpenders[index] = QuotaSpender();
        exchange.mSpenders[index].mEqualShare =
          1.0 / static_cast<double>(spenders);
        ++exchange.mIncarnations[index];
      }
      if (random() % 900 == 0) {
        // The account moves to another owner.
        exchange.mLedger = QuotaLedger();
        exchange.mOwnedSince = exchange.mNow;
      }
    }
    RC_ASSERT(exchange.WorstExcess() <= 0);
  }));
}

TEST(QuotaBuckets, RepeatedReportsCountOnce)
{
  Exchange exchange(1, { 10, 50 });
  for (int i = 0; i < 10; ++i) {
    exchange.Take(0);
    exchange.DeliverAll();
  }
  exchange.mNow += milliseconds(100);
  exchange.SendReports(0);
  double before = 0;
  for (int i = 0; i < 5; ++i) {
    exchange.DeliverReport(0, true);
    double level = exchange.mLedger.mEntries.at(kAccount).mLevel;
    CHECK(i == 0 || level == before);
    before = level;
  }
  DOUBLES_EQUAL(QuotaCapacity({ 10, 50 }) - 9, before, 1.0);
}

TEST(QuotaBuckets, LateAnswersAreIgnored)
{
  Exchange exchange(1, { 10, 50 });
  exchange.Take(0);
  exchange.DeliverReport(0, false);
  // The node is paused: what others have spent since then is not known.
  exchange.mNow += seconds(2);
  exchange.DeliverAnswer(0, false);
  CHECK(!exchange.mSpenders[0].mBuckets.at(kAccount).mHasLevel);
}

TEST(QuotaBuckets, NewOwnerStartsFromTheLowestReportedLevel)
{
  Exchange exchange(2, { 10, 50 });
  exchange.Take(0);
  exchange.Take(1);
  exchange.DeliverAll();
  // The owner knows of the spending, but the second spender does not yet.
  for (int i = 0; i < 40; ++i) {
    exchange.Take(0);
  }
  exchange.mNow += milliseconds(110);
  exchange.SendReports(0);
  exchange.DeliverAll();
  exchange.mNow += milliseconds(300);
  exchange.mLedger = QuotaLedger();
  exchange.mOwnedSince = exchange.mNow;
  exchange.Take(1);
  exchange.SendReports(1);
  exchange.DeliverAll();
  exchange.mNow += milliseconds(110);
  exchange.Take(0);
  exchange.SendReports(0);
  exchange.DeliverAll();
  CHECK(exchange.mLedger.mEntries.at(kAccount).mLevel <
        QuotaCapacity({ 10, 50 }) - 35);
}

/** A spender that cannot reach the owner continues with its share. */
TEST(QuotaBuckets, SilentSpendersAreAssumedToContinue)
{
  Exchange exchange(2, { 20, 50 });
  for (int i = 0; i < 60; ++i) {
    exchange.mNow += milliseconds(50);
    exchange.Take(0);
    exchange.SendReports(0);
    exchange.DeliverAll();
  }
  for (int i = 0; i < 30; ++i) {
    exchange.Take(0);
  }
  exchange.mNow += milliseconds(110);
  exchange.SendReports(0);
  exchange.DeliverAll();
  double before = exchange.mLedger.mEntries.at(kAccount).mLevel;
  exchange.mNow += seconds(2);
  exchange.Take(1);
  exchange.DeliverAll();
  CHECK(exchange.mLedger.mEntries.at(kAccount).mLevel < before + 5);
}

TEST(QuotaBuckets, SpendersWithoutOwnerDivideTheLevel)
{
  Exchange exchange(2, { 10, 50 });
  for (int i = 0; i < 10; ++i) {
    exchange.mNow += milliseconds(110);
    exchange.Take(0);
    exchange.Take(1);
    exchange.DeliverAll();
  }
  exchange.mSends.clear();
  // Reports are sent, but none arrives any more.
  exchange.Take(0);
  exchange.Take(1);
  exchange.mNow += milliseconds(410);
  exchange.SendReports(0);
  exchange.SendReports(1);
  exchange.mNow += milliseconds(310);
  for (int i = 0; i < 100; ++i) {
    exchange.Take(0);
    exchange.Take(1);
  }
  CHECK(static_cast<double>(exchange.mSends.size()) <=
        QuotaCapacity({ 10, 50 }) + 5);
}

/** Many spenders that each take what they see would exceed it together. */
TEST(QuotaBuckets, ManySpendersGetPartsOfTheLevel)
{
  constexpr int kSpenders = 40;
  QuotaLedger ledger;
  QuotaLevel level;
  for (int i = 0; i < kSpenders; ++i) {
    QuotaCount count;
    count.mAccount = kAccount;
    count.mEpoch = 1;
    count.mSpent = 1;
    level = LedgerReceive(ledger,
                          kStart,
                          NodeId(std::to_string(i)),
                          1,
                          count,
                          { 10, 60 },
                          kStart - seconds(60));
  }
  CHECK(level.mLevel > 10);
  CHECK(level.mAllowance <= level.mLevel / 8);
}

TEST(QuotaBuckets, OwnerThatStartsWithoutKnowledgeGivesLittle)
{
  Exchange exchange(1, { 100, 200 });
  exchange.mOwnedSince = exchange.mNow;
  exchange.Take(0);
  exchange.DeliverAll();
  CHECK(exchange.mLedger.mEntries.at(kAccount).mLevel <= 100 * 0.5 + 20);
}

TEST(QuotaBuckets, StateIsBoundedByActiveAccounts)
{
  Exchange exchange(1, { 10, 50 });
  exchange.Take(0);
  for (int i = 0; i < 200; ++i) {
    exchange.mNow += milliseconds(100);
    exchange.SendReports(0);
    exchange.DeliverAll();
    RemoveIdleQuotas(exchange.mSpenders[0], exchange.mNow);
    LedgerTick(
      exchange.mLedger, exchange.mNow, [](const NodeId&) { return true; });
  }
  LONGS_EQUAL(0, exchange.mSpenders[0].mBuckets.size());
  LONGS_EQUAL(0, exchange.mLedger.mEntries.size());
}

TEST(QuotaBuckets, IdleSpenderSendsNothing)
{
  Exchange exchange(1, { 10, 50 });
  exchange.Take(0);
  exchange.DeliverAll();
  int reports = 0;
  for (int i = 0; i < 500; ++i) {
    exchange.mNow += milliseconds(10);
    exchange.SendReports(0);
    reports += static_cast<int>(exchange.mReports.size());
    exchange.DeliverAll();
  }
  CHECK(reports <= 3);
}
