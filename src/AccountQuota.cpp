#include "AccountQuota.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** In any 5 s, an account may exceed its quota of 5 s by a tenth plus 20
 * requests. The capacity beyond the burst, the level of a new ledger and what
 * nodes spend before they hear of each other have to fit into that together. */
constexpr double kExtraCapacitySeconds = 0.1;
constexpr double kExtraCapacity = 4;
constexpr double kStartSeconds = 0.2;
constexpr double kStartBurstShare = 0.05;
constexpr double kStartTokens = 8;
constexpr double kFirstUseSeconds = 0.1;
constexpr double kFirstUseBurstShare = 0.05;
constexpr double kFirstUseTokens = 4;

/** Interval of reports while the level is low or others may spend much. */
constexpr Duration kReportInterval = milliseconds(100);
/** Interval while the level is above kHighLevel of the capacity and less than
 * kUrgentSpending of it was spent since the last report. Most accounts use less
 * than their quota; at 100 ms they would cost four times the bytes. */
constexpr Duration kCalmReportInterval = milliseconds(400);
constexpr double kHighLevel = 0.7;
constexpr double kUrgentSpending = 0.125;
/** Minimum time between two reports about an account, whatever is spent. */
constexpr Duration kMinReportInterval = milliseconds(25);
/** An owner that has not answered for this time is not waited for. */
constexpr Duration kOwnerTimeout = milliseconds(300);
/** A level is used for this time: one calm interval, two repeats of a lost
 * report, and the answer. */
constexpr Duration kLevelLifetime = milliseconds(750);
/** Reports are repeated for this time after the last request. */
constexpr Duration kReportRepeatTime = seconds(2);
/** The share of the rate that a node used last is valid for this time without
 * an owner. The members replace a dead owner in less; if none comes, this node
 * is cut off, and others may use the same share. */
constexpr Duration kShareLifetime = milliseconds(1200);
/** Share of a scheduler that has never had a level: its predecessor and the
 * owner have failed together. */
constexpr double kNewSchedulerShare = 0.15;
/** A request waits for the next token of a share if it comes in this time: the
 * share of one node is often less than one token. */
constexpr Duration kShareWaitTime = milliseconds(100);
/** Claimed tokens that are not used within this time are returned. */
constexpr Duration kClaimLifetime = milliseconds(250);
/** A bucket that was not used for this time is removed. The owner keeps the
 * level until it is full again. */
constexpr Duration kIdleTime = seconds(5);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

bool
HasFreshLevel(const QuotaBucket& aBucket, TimePoint aNow)
{
  bool isOwnerLate = aBucket.mUnansweredSince != TimePoint::max() &&
                     aNow - aBucket.mUnansweredSince > kOwnerTimeout;
  return aBucket.mHasLevel && !isOwnerLate &&
         aNow - aBucket.mLevelAt <= kLevelLifetime;
}

double
ShareOf(const QuotaSpender& aSpender,
        const QuotaBucket& aBucket,
        TimePoint aNow)
{
  bool isOld =
    aBucket.mHasOnlyShare && aNow - aBucket.mShareOnlySince > kShareLifetime;
  return isOld ? aSpender.mEqualShare
               : std::max(aBucket.mShare, aSpender.mEqualShare);
}

/** Tokens per second that the bucket gains, as far as this node knows. */
double
GainOf(const QuotaSpender& aSpender, const QuotaBucket& aBucket, TimePoint aNow)
{
  return HasFreshLevel(aBucket, aNow)
           ? aBucket.mNetRate
           : aBucket.mLimits.mRate * ShareOf(aSpender, aBucket, aNow);
}

double
CapacityOf(const QuotaSpender& aSpender,
           const QuotaBucket& aBucket,
           TimePoint aNow)
{
  double capacity = QuotaCapacity(aBucket.mLimits);
  return aBucket.mHasOnlyShare
           ? std::max(1.0, capacity * ShareOf(aSpender, aBucket, aNow))
           : capacity;
}

void
Refill(const QuotaSpender& aSpender, QuotaBucket& aBucket, TimePoint aNow)
{
  double gain = GainOf(aSpender, aBucket, aNow) * Seconds(aNow - aBucket.mAt);
  aBucket.mTokens =
    std::min(aBucket.mTokens + gain, CapacityOf(aSpender, aBucket, aNow));
  aBucket.mAt = aNow;
}

void
MarkUrgent(QuotaSpender& aSpender,
           QuotaBucket& aBucket,
           std::uint64_t aAccount,
           TimePoint aNow)
{
  if (!aBucket.mIsReportDue &&
      aNow - aBucket.mReportedAt >= kMinReportInterval) {
    aBucket.mIsReportDue = true;
    aSpender.mUrgent.push_back(aAccount);
  }
}

/** Returns the tokens that were claimed and have not been used. */
void
ReturnClaims(QuotaBucket& aBucket)
{
  std::uint64_t unused = aBucket.mClaimed + aBucket.mGranted;
  aBucket.mCount.mReturned += unused;
  aBucket.mTokens += static_cast<double>(unused);
  aBucket.mClaimed = 0;
  aBucket.mGranted = 0;
  aBucket.mWaiting = 0;
}

/** Continues with this node's share of the quota. */
void
UseShare(QuotaSpender& aSpender,
         QuotaBucket& aBucket,
         std::uint64_t aAccount,
         TimePoint aNow,
         double aFirstUseShare)
{
  if (!aBucket.mHasLevel) {
    aBucket.mShare = kNewSchedulerShare * aFirstUseShare;
  }
  double share = ShareOf(aSpender, aBucket, aNow);
  ReturnClaims(aBucket);
  aBucket.mTokens = aBucket.mHasLevel ? std::max(0.0, aBucket.mTokens) * share
                                      : std::max(0.0, aBucket.mAllowance);
  aBucket.mHasOnlyShare = true;
  aBucket.mShareOnlySince = aNow;
  aSpender.mWithoutOwner.push_back(aAccount);
}

/** Decides on the claims that a level has answered: as many are granted as the
 * owner had tokens for. Claims reported later stay open. */
void
GrantClaims(QuotaBucket& aBucket, TimePoint aNow, const QuotaLevel& aLevel)
{
  std::uint64_t unanswered =
    aBucket.mReportedSpent - std::min(aBucket.mReportedSpent, aLevel.mSpent);
  std::uint64_t later = std::min(aBucket.mClaimed, unanswered);
  std::uint64_t answered = aBucket.mClaimed - later;
  if (answered == 0) {
    return;
  }
  double missing = std::ceil(std::max(0.0F, -aLevel.mLevel));
  auto denied = static_cast<std::uint64_t>(
    std::min(static_cast<double>(answered), missing));
  aBucket.mClaimed = later;
  aBucket.mGranted += answered - denied;
  aBucket.mGrantedAt = aNow;
  aBucket.mCount.mReturned += denied;
  aBucket.mTokens += static_cast<double>(denied);
}

} // namespace

double
QuotaCapacity(const QuotaLimits& aLimits)
{
  return std::max(1.0, aLimits.mBurst) + kExtraCapacitySeconds * aLimits.mRate +
         kExtraCapacity;
}

double
QuotaStartLevel(const QuotaLimits& aLimits)
{
  return std::min(QuotaCapacity(aLimits),
                  kStartSeconds * aLimits.mRate +
                    kStartBurstShare * aLimits.mBurst + kStartTokens);
}

double
QuotaFirstUse(const QuotaLimits& aLimits)
{
  return std::min(QuotaCapacity(aLimits),
                  kFirstUseSeconds * aLimits.mRate +
                    kFirstUseBurstShare * aLimits.mBurst + kFirstUseTokens);
}

void
SetQuotaLimits(QuotaSpender& aSpender,
               TimePoint aNow,
               std::uint64_t aAccount,
               const std::string& aName,
               const QuotaLimits& aLimits)
{
  auto it = aSpender.mBuckets.find(aAccount);
  if (aLimits.mRate <= 0) {
    if (it != aSpender.mBuckets.end()) {
      aSpender.mBuckets.erase(it);
    }
    return;
  }
  if (it == aSpender.mBuckets.end()) {
    QuotaBucket bucket;
    bucket.mName = aName;
    bucket.mCount.mAccount = aAccount;
    bucket.mCount.mEpoch = ++aSpender.mEpoch;
    bucket.mTokens = QuotaCapacity(aLimits);
    bucket.mAt = aNow;
    bucket.mReportedAt = aNow - kCalmReportInterval;
    bucket.mWantedAt = aNow;
    it = aSpender.mBuckets.emplace(aAccount, std::move(bucket)).first;
  }
  it->second.mLimits = aLimits;
}

QuotaDecision
CheckQuota(QuotaSpender& aSpender,
           TimePoint aNow,
           std::uint64_t aAccount,
           double aFirstUseShare)
{
  auto it = aSpender.mBuckets.find(aAccount);
  if (it == aSpender.mBuckets.end()) {
    return QuotaDecision::Taken;
  }
  QuotaBucket& bucket = it->second;
  Refill(aSpender, bucket, aNow);
  if (aNow - bucket.mWantedAt > kReportRepeatTime && !bucket.mHasOnlyShare) {
    // Reports are no longer repeated, so that the owner can't have answered.
    bucket.mUnansweredSince = TimePoint::max();
  }
  bucket.mWantedAt = aNow;
  if (bucket.mGranted > 0) {
    return QuotaDecision::Taken;
  }
  bool isFresh = HasFreshLevel(bucket, aNow);
  if (!isFresh && !bucket.mHasOnlyShare) {
    if (bucket.mUnansweredSince == TimePoint::max()) {
      bucket.mUnansweredSince = aNow;
      bucket.mAllowance = 0;
      bucket.mFirstUseShare = 0;
      MarkUrgent(aSpender, bucket, aAccount, aNow);
    }
    // The node's scheduler may take more than its proxy has before.
    double added = std::max(0.0, aFirstUseShare - bucket.mFirstUseShare);
    bucket.mAllowance += QuotaFirstUse(bucket.mLimits) * added;
    bucket.mFirstUseShare += added;
    if (aNow - bucket.mUnansweredSince <= kOwnerTimeout) {
      return bucket.mAllowance >= 1 ? QuotaDecision::Taken
                                    : QuotaDecision::Unknown;
    }
    UseShare(aSpender, bucket, aAccount, aNow, aFirstUseShare);
  }
  if (bucket.mTokens < 1) {
    double gain = GainOf(aSpender, bucket, aNow);
    bool isTokenNear = bucket.mHasOnlyShare &&
                       bucket.mTokens + gain * Seconds(kShareWaitTime) >= 1;
    return bucket.mClaimed > 0 || isTokenNear ? QuotaDecision::Unknown
                                              : QuotaDecision::Refused;
  }
  return bucket.mHasOnlyShare || bucket.mAllowance >= 1
           ? QuotaDecision::Taken
           : QuotaDecision::Unknown;
}

void
ClaimQuotaToken(QuotaSpender& aSpender, TimePoint aNow, std::uint64_t aAccount)
{
  auto it = aSpender.mBuckets.find(aAccount);
  if (it != aSpender.mBuckets.end()) {
    ++it->second.mWaiting;
    MarkUrgent(aSpender, it->second, aAccount, aNow);
  }
}

QuotaDecision
TakeQuotaToken(QuotaSpender& aSpender,
               TimePoint aNow,
               std::uint64_t aAccount,
               double aFirstUseShare)
{
  auto it = aSpender.mBuckets.find(aAccount);
  if (it == aSpender.mBuckets.end()) {
    return QuotaDecision::Taken;
  }
  QuotaDecision decision = CheckQuota(aSpender, aNow, aAccount, aFirstUseShare);
  QuotaBucket& bucket = it->second;
  if (decision != QuotaDecision::Taken) {
    aSpender.mRefused += decision == QuotaDecision::Refused ? 1 : 0;
    return decision;
  }
  ++aSpender.mTaken;
  if (bucket.mGranted > 0) {
    --bucket.mGranted;
    return decision;
  }
  bucket.mTokens -= 1;
  bucket.mAllowance -= 1;
  ++bucket.mCount.mSpent;
  auto unreported =
    static_cast<double>(bucket.mCount.mSpent - bucket.mReportedSpent);
  if (unreported >= kUrgentSpending * QuotaCapacity(bucket.mLimits)) {
    MarkUrgent(aSpender, bucket, aAccount, aNow);
  }
  return decision;
}

void
ReturnQuotaToken(QuotaSpender& aSpender, TimePoint aNow, std::uint64_t aAccount)
{
  auto it = aSpender.mBuckets.find(aAccount);
  // The bucket may be a later one than that which the token was taken from.
  if (it == aSpender.mBuckets.end() ||
      it->second.mCount.mReturned >= it->second.mCount.mSpent) {
    return;
  }
  QuotaBucket& bucket = it->second;
  Refill(aSpender, bucket, aNow);
  bucket.mTokens += 1;
  ++bucket.mCount.mReturned;
  ++aSpender.mReturned;
}

Duration
TimeUntilQuotaToken(QuotaSpender& aSpender,
                    TimePoint aNow,
                    std::uint64_t aAccount)
{
  auto it = aSpender.mBuckets.find(aAccount);
  if (it == aSpender.mBuckets.end()) {
    return Duration(0);
  }
  QuotaBucket& bucket = it->second;
  Refill(aSpender, bucket, aNow);
  double missing = 1 - bucket.mTokens;
  if (missing <= 0) {
    return Duration(0);
  }
  // What others spend beyond the quota now is refused as well, so that the
  // level gains the full rate unless the owner does not answer.
  double rate = bucket.mLimits.mRate *
                (bucket.mHasOnlyShare ? ShareOf(aSpender, bucket, aNow) : 1.0);
  constexpr double kMaxSeconds = 3600;
  double wait = std::min(missing / rate, kMaxSeconds);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(wait));
}

std::vector<std::uint64_t>
DueQuotaReports(const QuotaSpender& aSpender, TimePoint aNow)
{
  std::vector<std::uint64_t> due;
  for (const auto& [account, bucket] : aSpender.mBuckets) {
    const QuotaCount& count = bucket.mCount;
    bool hasNews = count.mSpent != bucket.mReportedSpent ||
                   count.mReturned != bucket.mReportedReturned ||
                   bucket.mLastReportedSpending > 0;
    hasNews = hasNews || (bucket.mGranted > 0 &&
                          aNow - bucket.mGrantedAt > kClaimLifetime);
    bool isWanted = bucket.mWantedAt > bucket.mReportedAt ||
                    (bucket.mUnansweredSince != TimePoint::max() &&
                     aNow - bucket.mWantedAt < kReportRepeatTime);
    bool isCalm = HasFreshLevel(bucket, aNow) &&
                  bucket.mUnansweredSince == TimePoint::max() &&
                  bucket.mTokens > kHighLevel * QuotaCapacity(bucket.mLimits) &&
                  static_cast<double>(count.mSpent - bucket.mReportedSpent) <
                    kUrgentSpending * QuotaCapacity(bucket.mLimits);
    Duration interval = isCalm ? kCalmReportInterval : kReportInterval;
    if (bucket.mWaiting > 0) {
      interval = kMinReportInterval;
    }
    if ((hasNews || isWanted || bucket.mWaiting > 0) &&
        aNow - bucket.mReportedAt >= interval) {
      due.push_back(account);
    }
  }
  return due;
}

QuotaCount
ReportQuota(QuotaSpender& aSpender, TimePoint aNow, std::uint64_t aAccount)
{
  QuotaBucket& bucket = aSpender.mBuckets.at(aAccount);
  Refill(aSpender, bucket, aNow);
  QuotaCount& count = bucket.mCount;
  if (aNow - bucket.mGrantedAt > kClaimLifetime) {
    count.mReturned += bucket.mGranted;
    bucket.mTokens += static_cast<double>(bucket.mGranted);
    bucket.mGranted = 0;
  }
  if (!bucket.mHasOnlyShare) {
    count.mSpent += bucket.mWaiting;
    bucket.mClaimed += bucket.mWaiting;
    bucket.mTokens -= static_cast<double>(bucket.mWaiting);
  }
  bucket.mWaiting = 0;
  bucket.mLastReportedSpending = count.mSpent - bucket.mReportedSpent;
  bucket.mReportedSpent = count.mSpent;
  bucket.mReportedReturned = count.mReturned;
  bucket.mReportedAt = aNow;
  bucket.mIsReportDue = false;
  bucket.mUnansweredSince = std::min(bucket.mUnansweredSince, aNow);
  if (bucket.mHasOnlyShare) {
    // The share has paid for the spending, so that a new owner must not take it
    // off the shares of others.
    count.mSettled = count.mSpent - count.mReturned;
  }
  count.mIsShare = bucket.mHasOnlyShare;
  count.mLevel = std::nullopt;
  if (HasFreshLevel(bucket, aNow) || bucket.mHasOnlyShare) {
    count.mLevel = static_cast<float>(bucket.mTokens);
  }
  return count;
}

void
ApplyQuotaLevel(QuotaSpender& aSpender,
                TimePoint aNow,
                const NodeId& aFrom,
                TimePoint aSentAt,
                const QuotaLevel& aLevel)
{
  auto it = aSpender.mBuckets.find(aLevel.mAccount);
  bool isLate = aNow - aSentAt > kOwnerTimeout || aSentAt > aNow;
  if (it == aSpender.mBuckets.end() || isLate) {
    return;
  }
  QuotaBucket& bucket = it->second;
  QuotaCount& count = bucket.mCount;
  bool isOther = aLevel.mEpoch != count.mEpoch ||
                 aLevel.mSpent > count.mSpent ||
                 aLevel.mReturned > count.mReturned ||
                 (bucket.mHasLevel && aSentAt < bucket.mLevelAt);
  if (isOther || !std::isfinite(aLevel.mLevel) ||
      !std::isfinite(aLevel.mNetRate)) {
    return;
  }
  Refill(aSpender, bucket, aNow);
  auto spent = static_cast<double>(count.mSpent - aLevel.mSpent);
  auto returned = static_cast<double>(count.mReturned - aLevel.mReturned);
  double tokens = aLevel.mLevel - spent + returned;
  if (aFrom != bucket.mOwner) {
    // Other nodes may still report to the former owner alone.
    bool isFormer =
      aFrom == bucket.mFormerOwner && aNow < bucket.mFormerOwnerUntil;
    bucket.mTokens =
      isFormer ? std::min(bucket.mTokens, tokens) : bucket.mTokens;
    return;
  }
  bool isFormerOwnerHeard = aNow < bucket.mFormerOwnerUntil &&
                            bucket.mHasLevel && !bucket.mHasOnlyShare;
  bucket.mTokens =
    isFormerOwnerHeard ? std::min(bucket.mTokens, tokens) : tokens;
  bucket.mAt = aNow;
  bucket.mNetRate = aLevel.mNetRate;
  bucket.mShare = std::clamp<double>(aLevel.mShare, 0, 1);
  bucket.mLevelAt = aSentAt;
  bucket.mHasLevel = true;
  bucket.mHasOnlyShare = false;
  bucket.mUnansweredSince = TimePoint::max();
  count.mSettled = aLevel.mSpent - aLevel.mReturned;
  bucket.mAllowance = aLevel.mAllowance - spent + returned;
  GrantClaims(bucket, aNow, aLevel);
}

void
RemoveIdleQuotas(QuotaSpender& aSpender, TimePoint aNow)
{
  for (auto it = aSpender.mBuckets.begin(); it != aSpender.mBuckets.end();) {
    const QuotaBucket& bucket = it->second;
    bool isIdle = aNow - bucket.mWantedAt > kIdleTime &&
                  bucket.mCount.mSpent == bucket.mReportedSpent &&
                  bucket.mCount.mReturned == bucket.mReportedReturned;
    it = isIdle ? aSpender.mBuckets.erase(it) : std::next(it);
  }
}

std::string
DescribeQuota(const QuotaSpender& aSpender, std::uint64_t aAccount)
{
  auto it = aSpender.mBuckets.find(aAccount);
  if (it == aSpender.mBuckets.end()) {
    return "";
  }
  const QuotaBucket& bucket = it->second;
  return " account=" + bucket.mName +
         " quota_rate=" + std::to_string(bucket.mLimits.mRate) +
         " quota_burst=" + std::to_string(bucket.mLimits.mBurst) +
         " quota_tokens=" + std::to_string(bucket.mTokens) +
         " quota_owner=" + bucket.mOwner.mValue +
         " quota_share_only=" + (bucket.mHasOnlyShare ? "1" : "0");
}

} // namespace vanillascale
