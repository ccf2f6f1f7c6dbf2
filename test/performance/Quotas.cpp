#include "AccountQuota.h"
#include "QuotaLedger.h"
#include "Random.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>

/** Compares three ways to keep an account's quota over all nodes, on virtual
 * time: token leases from an owner, local shares by observed demand, and
 * exchanged counts (AccountQuota, QuotaLedger). Each node decides on its own
 * requests, as proxies do without a scheduler; with schedulers, only as many
 * nodes as services do. Prints docs/design/account-quotas.md's table. */
namespace {

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kLinkDelay = milliseconds(2);
/** Bytes of a message around its entries, and of the entries of each way. */
constexpr double kEnvelopeBytes = 60;
constexpr double kCountBytes = 30;
constexpr double kLevelBytes = 38;
constexpr double kLeaseBytes = 24;
constexpr double kDemandBytes = 14;

struct Limits
{
  double mRate = 0;
  double mBurst = 0;
};

class Way
{
public:
  virtual ~Way() = default;
  /** Returns whether a request is sent, or waits. */
  virtual bool Admit(TimePoint aNow, std::size_t aNode) = 0;
  virtual void Tick(TimePoint aNow) = 0;
  double mBytes = 0;
  /** When requests that had waited were sent, and when those that were refused
   * in the end arrived. */
  std::vector<TimePoint> mLateSends;
  std::vector<TimePoint> mLateRefusals;
  std::uint64_t mWaits = 0;
};

/** Messages that arrive after the delay of a link. */
template<typename Body>
class Link
{
public:
  void Send(TimePoint aNow, Body aBody)
  {
    mQueue.emplace_back(aNow + kLinkDelay, std::move(aBody));
  }
  template<typename Handler>
  void Deliver(TimePoint aNow, Handler aHandler)
  {
    while (!mQueue.empty() && mQueue.front().first <= aNow) {
      Body body = std::move(mQueue.front().second);
      mQueue.pop_front();
      aHandler(body);
    }
  }

private:
  std::deque<std::pair<TimePoint, Body>> mQueue;
};

/** The real modules. */
class Counts : public Way
{
public:
  Counts(std::size_t aNodes, Limits aLimits, TimePoint aNow)
    : mLimits{ aLimits.mRate, aLimits.mBurst }
    , mSpenders(aNodes)
    , mStart(aNow)
  {
    for (QuotaSpender& it : mSpenders) {
      it.mEqualShare = 1.0 / static_cast<double>(aNodes);
    }
  }
  bool Admit(TimePoint aNow, std::size_t aNode) override
  {
    QuotaSpender& spender = mSpenders[aNode];
    SetQuotaLimits(spender, aNow, 1, "a", mLimits);
    QuotaDecision decision =
      TakeQuotaToken(spender, aNow, 1, spender.mEqualShare);
    Flush(aNow, aNode, spender.mUrgent);
    spender.mUrgent.clear();
    if (decision == QuotaDecision::Unknown) {
      ClaimQuotaToken(spender, aNow, 1);
      Flush(aNow, aNode, spender.mUrgent);
      spender.mUrgent.clear();
      mWaiting.emplace_back(aNow, aNode);
      ++mWaits;
      return true;
    }
    return decision == QuotaDecision::Taken;
  }
  void Tick(TimePoint aNow) override
  {
    mReports.Deliver(aNow, [&](const Report& aReport) {
      mLevels.Send(aNow,
                   { aReport.mNode,
                     aReport.mSentAt,
                     LedgerReceive(mLedger,
                                   aNow,
                                   NodeId(std::to_string(aReport.mNode)),
                                   1,
                                   aReport.mCount,
                                   mLimits,
                                   mStart - seconds(60)) });
      mBytes += kEnvelopeBytes + kLevelBytes;
    });
    mLevels.Deliver(aNow, [&](const Answer& aAnswer) {
      ApplyQuotaLevel(mSpenders[aAnswer.mNode],
                      aNow,
                      NodeId(),
                      aAnswer.mSentAt,
                      aAnswer.mLevel);
    });
    auto waiting = std::move(mWaiting);
    mWaiting.clear();
    for (const auto& [since, node] : waiting) {
      QuotaSpender& spender = mSpenders[node];
      auto decision = TakeQuotaToken(spender, aNow, 1, spender.mEqualShare);
      Flush(aNow, node, spender.mUrgent);
      spender.mUrgent.clear();
      if (decision == QuotaDecision::Taken) {
        mLateSends.push_back(aNow);
      } else if (decision == QuotaDecision::Unknown &&
                 aNow - since < milliseconds(150)) {
        mWaiting.emplace_back(since, node);
      } else {
        mLateRefusals.push_back(since);
      }
    }
    if ((aNow - mStart) % milliseconds(25) == Duration(0)) {
      for (std::size_t i = 0; i < mSpenders.size(); ++i) {
        Flush(aNow, i, DueQuotaReports(mSpenders[i], aNow));
      }
    }
    if ((aNow - mStart) % seconds(1) == Duration(0)) {
      LedgerTick(mLedger, aNow, [](const NodeId&) { return true; });
    }
  }

private:
  struct Report
  {
    std::size_t mNode;
    TimePoint mSentAt;
    QuotaCount mCount;
  };
  struct Answer
  {
    std::size_t mNode;
    TimePoint mSentAt;
    QuotaLevel mLevel;
  };
  void Flush(TimePoint aNow,
             std::size_t aNode,
             const std::vector<std::uint64_t>& aDue)
  {
    for (std::uint64_t it : aDue) {
      mReports.Send(aNow,
                    { aNode, aNow, ReportQuota(mSpenders[aNode], aNow, it) });
      mBytes += kEnvelopeBytes + kCountBytes;
    }
  }

  QuotaLimits mLimits;
  std::vector<QuotaSpender> mSpenders;
  QuotaLedger mLedger;
  TimePoint mStart;
  Link<Report> mReports;
  Link<Answer> mLevels;
  std::vector<std::pair<TimePoint, std::size_t>> mWaiting;
};

/** The owner hands out batches of tokens. A node asks for one when it has less
 * than half a batch, and gives back what it has not used for a second. */
class Leases : public Way
{
public:
  Leases(std::size_t aNodes, Limits aLimits, TimePoint aNow)
    : mLimits(aLimits)
    , mTokens(aNodes)
    , mAsked(aNodes)
    , mUsedAt(aNodes)
    , mLevel(aLimits.mBurst)
    , mAt(aNow)
  {
  }
  bool Admit(TimePoint aNow, std::size_t aNode) override
  {
    mUsedAt[aNode] = aNow;
    bool isAdmitted = mTokens[aNode] >= 1;
    mTokens[aNode] -= isAdmitted ? 1 : 0;
    if (mTokens[aNode] < kBatch / 2 && !mAsked[aNode]) {
      mAsked[aNode] = true;
      mRequests.Send(aNow, { aNode, 0 });
      mBytes += kEnvelopeBytes + kLeaseBytes;
    }
    return isAdmitted;
  }
  void Tick(TimePoint aNow) override
  {
    double elapsed = std::chrono::duration<double>(aNow - mAt).count();
    mAt = aNow;
    mLevel = std::min(mLevel + elapsed * mLimits.mRate, mLimits.mBurst);
    mRequests.Deliver(aNow, [&](const Grant& aRequest) {
      mLevel += aRequest.mTokens;
      if (aRequest.mTokens > 0) {
        return;
      }
      double granted = std::floor(std::clamp(mLevel, 0.0, kBatch));
      mLevel -= granted;
      mGrants.Send(aNow, { aRequest.mNode, granted });
      mBytes += kEnvelopeBytes + kLeaseBytes;
    });
    mGrants.Deliver(aNow, [&](const Grant& aGrant) {
      mTokens[aGrant.mNode] += aGrant.mTokens;
      mAsked[aGrant.mNode] = false;
    });
    for (std::size_t i = 0; i < mTokens.size(); ++i) {
      if (mTokens[i] > 0 && aNow - mUsedAt[i] > seconds(1)) {
        mRequests.Send(aNow, { i, mTokens[i] });
        mTokens[i] = 0;
        mBytes += kEnvelopeBytes + kLeaseBytes;
      }
    }
  }

private:
  static constexpr double kBatch = 4;
  struct Grant
  {
    std::size_t mNode;
    double mTokens;
  };
  Limits mLimits;
  std::vector<double> mTokens;
  std::vector<bool> mAsked;
  std::vector<TimePoint> mUsedAt;
  double mLevel;
  TimePoint mAt;
  Link<Grant> mRequests;
  Link<Grant> mGrants;
};

/** Each node has a bucket of its share of the quota: its part of the demand of
 * all nodes in the last second, which an owner sums up. */
class Shares : public Way
{
public:
  Shares(std::size_t aNodes, Limits aLimits, TimePoint aNow)
    : mLimits(aLimits)
    , mShare(aNodes, 1.0 / static_cast<double>(aNodes))
    , mTokens(aNodes, aLimits.mBurst / static_cast<double>(aNodes))
    , mDemand(aNodes)
    , mStart(aNow)
  {
  }
  bool Admit(TimePoint /*aNow*/, std::size_t aNode) override
  {
    mDemand[aNode] += 1;
    bool isAdmitted = mTokens[aNode] >= 1;
    mTokens[aNode] -= isAdmitted ? 1 : 0;
    return isAdmitted;
  }
  void Tick(TimePoint aNow) override
  {
    double step = std::chrono::duration<double>(kStep).count();
    for (std::size_t i = 0; i < mTokens.size(); ++i) {
      double capacity = std::max(1.0, mShare[i] * mLimits.mBurst);
      mTokens[i] =
        std::min(mTokens[i] + step * mShare[i] * mLimits.mRate, capacity);
    }
    if ((aNow - mStart) % seconds(1) != Duration(0)) {
      return;
    }
    // A node without demand keeps a small share for its first requests.
    double floor = 0.1;
    double total = 0;
    for (double it : mDemand) {
      total += it + floor;
    }
    for (std::size_t i = 0; i < mDemand.size(); ++i) {
      mShare[i] = (mDemand[i] + floor) / total;
      mBytes += mDemand[i] > 0 ? 2 * (kEnvelopeBytes + kDemandBytes) : 0;
      mDemand[i] = 0;
    }
  }

private:
  Limits mLimits;
  std::vector<double> mShare;
  std::vector<double> mTokens;
  std::vector<double> mDemand;
  TimePoint mStart;
};

struct Figures
{
  double mExcess = 0;
  double mRefusedBelow = 0;
  double mUsed = 0;
  double mBytes = 0;
};

/** 6 s of the usual load, in which nothing should be refused, then a crest of 8
 * times that for 6 s, then 6 s of the usual load. */
Figures
Measure(Way& aWay, std::size_t aNodes, bool aIsEven, Limits aLimits)
{
  Random random(1);
  double usual = aLimits.mRate / 1.6;
  TimePoint start{ std::chrono::hours(1) };
  std::vector<TimePoint> sends;
  std::uint64_t below = 0;
  std::uint64_t refusedBelow = 0;
  std::uint64_t usedInCrest = 0;
  auto isCrest = [&](TimePoint aTime) {
    return aTime >= start + seconds(6) && aTime < start + seconds(12);
  };
  // The second after the crest is needed to pay back.
  auto isBelow = [&](TimePoint aTime) {
    return aTime < start + seconds(6) || aTime >= start + seconds(13);
  };
  for (TimePoint now = start; now < start + seconds(18); now += kStep) {
    aWay.Tick(now);
    double perStep = usual * (isCrest(now) ? 8 : 1) / 1000;
    auto whole = static_cast<int>(perStep);
    int n = whole + (random() < (perStep - whole) * 4294967296.0 ? 1 : 0);
    for (int i = 0; i < n; ++i) {
      bool isHot = !aIsEven && random() % 10 != 0;
      std::size_t node = isHot ? 0 : random() % aNodes;
      std::uint64_t waits = aWay.mWaits;
      bool isAdmitted = aWay.Admit(now, node);
      below += isBelow(now) ? 1 : 0;
      refusedBelow += isBelow(now) && !isAdmitted ? 1 : 0;
      if (isAdmitted && aWay.mWaits == waits) {
        sends.push_back(now);
      }
    }
  }
  sends.insert(sends.end(), aWay.mLateSends.begin(), aWay.mLateSends.end());
  std::sort(sends.begin(), sends.end());
  for (TimePoint it : sends) {
    usedInCrest += isCrest(it) ? 1 : 0;
  }
  for (TimePoint it : aWay.mLateRefusals) {
    refusedBelow += isBelow(it) ? 1 : 0;
  }
  Figures figures;
  double allowed = (aLimits.mRate * 5 + aLimits.mBurst) * 1.1 + 20;
  figures.mExcess = -allowed;
  for (auto it = sends.begin(); it != sends.end(); ++it) {
    auto end = std::upper_bound(it, sends.end(), *it + seconds(5));
    figures.mExcess =
      std::max(figures.mExcess, static_cast<double>(end - it) - allowed);
  }
  figures.mRefusedBelow =
    100.0 * static_cast<double>(refusedBelow) / static_cast<double>(below);
  figures.mUsed = 100.0 * static_cast<double>(usedInCrest) /
                  (aLimits.mRate * 6 + aLimits.mBurst);
  figures.mBytes = aWay.mBytes / 18;
  return figures;
}

template<typename Kind>
void
Compare(const char* aName, std::size_t aNodes, bool aIsEven, Limits aLimits)
{
  Kind way(aNodes, aLimits, TimePoint{ std::chrono::hours(1) });
  Figures figures = Measure(way, aNodes, aIsEven, aLimits);
  std::printf("| %s | %zu | %s | %.0f | %.1f | %.2f | %.0f | %.0f |\n",
              aName,
              aNodes,
              aIsEven ? "even" : "uneven",
              aLimits.mRate,
              figures.mExcess,
              figures.mRefusedBelow,
              figures.mUsed,
              figures.mBytes);
}

/** Many accounts in a crest: each is used by three schedulers, and the reports
 * of a node to the same owner travel together. */
class Crest
{
public:
  Crest(std::size_t aNodes, std::size_t aAccounts, double aPerSecond)
    : mAccounts(aAccounts)
    , mPerSecond(aPerSecond)
    , mSpenders(aNodes)
    , mLedgers(aNodes)
    , mSent(aNodes)
  {
    for (QuotaSpender& it : mSpenders) {
      it.mEqualShare = 1.0 / static_cast<double>(aNodes);
    }
  }

  void Run(Duration aTime)
  {
    Random random(1);
    double due = 0;
    TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds(5);
      due += mPerSecond * 0.005;
      for (; due >= 1; due -= 1) {
        Take(1 + random() % mAccounts, random() % kServices);
      }
      for (std::size_t i = 0; i < mSpenders.size(); ++i) {
        // Nodes look for due reports every 25 ms.
        bool isScan = (mNow.time_since_epoch() / milliseconds(5) + i) % 5 == 0;
        Report(i, mSpenders[i].mUrgent);
        mSpenders[i].mUrgent.clear();
        if (isScan) {
          Report(i, DueQuotaReports(mSpenders[i], mNow));
        }
      }
    }
    double time = std::chrono::duration<double>(aTime).count();
    double sum = 0;
    for (double it : mSent) {
      sum += it / time;
    }
    std::size_t buckets = 0;
    std::size_t entries = 0;
    for (std::size_t i = 0; i < mSpenders.size(); ++i) {
      buckets = std::max(buckets, mSpenders[i].mBuckets.size());
      entries = std::max(entries, mLedgers[i].mEntries.size());
    }
    auto n = static_cast<double>(mSpenders.size());
    std::printf("| %zu | %.0f | %.1f | %.1f | %.0f | %zu | %zu | %.2f |\n",
                mSpenders.size(),
                mPerSecond / n,
                sum / n / 1000,
                *std::max_element(mSent.begin(), mSent.end()) / time / 1000,
                static_cast<double>(mMessages) / time / n,
                buckets,
                entries,
                100.0 * static_cast<double>(mRefused) /
                  static_cast<double>(mTakes));
  }

private:
  static constexpr std::size_t kServices = 3;

  void Take(std::uint64_t aAccount, std::size_t aService)
  {
    std::size_t node = (aAccount * 7919 + aService * 104729) % mSpenders.size();
    QuotaSpender& spender = mSpenders[node];
    double rate = 1.6 * mPerSecond / static_cast<double>(mAccounts);
    SetQuotaLimits(spender, mNow, aAccount, "account", { rate, rate });
    bool isTaken =
      TakeQuotaToken(spender, mNow, aAccount, 1) == QuotaDecision::Taken;
    ++mTakes;
    mRefused += isTaken ? 0 : 1;
  }

  void Report(std::size_t aNode, const std::vector<std::uint64_t>& aDue)
  {
    std::map<std::size_t, std::vector<QuotaCount>> byOwner;
    for (std::uint64_t it : aDue) {
      byOwner[it * 15485863 % mSpenders.size()].push_back(
        ReportQuota(mSpenders[aNode], mNow, it));
    }
    double rate = 1.6 * mPerSecond / static_cast<double>(mAccounts);
    for (const auto& [owner, counts] : byOwner) {
      auto n = static_cast<double>(counts.size());
      mSent[aNode] += kEnvelopeBytes + n * kCountBytes;
      mSent[owner] += kEnvelopeBytes + n * kLevelBytes;
      mMessages += 2;
      for (const QuotaCount& it : counts) {
        QuotaLevel level = LedgerReceive(mLedgers[owner],
                                         mNow,
                                         NodeId(std::to_string(aNode)),
                                         1,
                                         it,
                                         { rate, rate },
                                         mNow - seconds(60));
        ApplyQuotaLevel(mSpenders[aNode], mNow, NodeId(), mNow, level);
      }
    }
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::size_t mAccounts;
  double mPerSecond;
  std::vector<QuotaSpender> mSpenders;
  std::vector<QuotaLedger> mLedgers;
  std::vector<double> mSent;
  std::uint64_t mMessages = 0;
  std::uint64_t mTakes = 0;
  std::uint64_t mRefused = 0;
};

} // namespace

int
main()
{
  std::printf("| way | nodes | spread | rate | above the bound | refused below "
              "(%%) | used in crest (%%) | bytes/s per account |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (double rate : { 24.0, 200.0 }) {
    for (std::size_t nodes : { 3U, 32U, 300U, 1000U }) {
      for (bool isEven : { true, false }) {
        Limits limits{ rate, rate };
        Compare<Leases>("leases", nodes, isEven, limits);
        Compare<Shares>("shares", nodes, isEven, limits);
        Compare<Counts>("counts", nodes, isEven, limits);
      }
    }
  }
  std::printf(
    "\n| nodes | requests/s per node | KB/s per node | KB/s busiest | "
    "messages/s per node | buckets, most | ledgers, most | refused "
    "(%%) |\n|---|---|---|---|---|---|---|---|\n");
  for (std::size_t nodes : { 32U, 300U, 1000U }) {
    for (double perAccount : { 0.13, 2.0 }) {
      constexpr std::size_t kAccounts = 10000;
      Crest crest(nodes, kAccounts, perAccount * kAccounts);
      crest.Run(seconds(10));
    }
  }
}
