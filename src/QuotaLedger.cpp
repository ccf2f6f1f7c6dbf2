#include "QuotaLedger.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A spender reports at least this often while it spends. After that time the
 * owner assumes that it continues at its last rate: it may be unreachable, and
 * then it uses its share of the quota. */
constexpr Duration kSilenceTime = milliseconds(550);
/** Reports of further spenders may change the level of an entry for this time
 * after an owner was replaced. */
constexpr Duration kTakeoverTime = seconds(1);
/** Until the members have agreed on who vanished with the former owner, a new
 * one cannot tell its death from a partition, and gives this part of the rate.
 * Accounts seldom use more than 1 / 1.6 of it. */
constexpr Duration kCautiousTime = seconds(2);
constexpr double kCautiousPart = 0.7;
/** Time constant of the smoothed spending of a node. */
constexpr Duration kRateTime = milliseconds(300);
/** Up to this number of spenders, each may take the whole level before it
 * reports again: most of them report within 100 ms, and a node is not refused
 * what another has not used. Of more spenders, each may take its part. */
constexpr double kFewSpenders = 4;
/** A spender counts as active for this time after a report. */
constexpr Duration kActiveTime = seconds(1);
/** A spender that has not reported for this time is removed. */
constexpr Duration kSpenderIdleTime = seconds(6);
/** The time since the creation of an entry whose account this node has owned
 * for longer. */
constexpr Duration kOldEntryAge = seconds(10);
/** An overshoot is paid back for at most this time. */
constexpr double kMaxDebtSeconds = 2;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Takes off the level what silent spenders are assumed to have spent. */
void
ChargeSilentSpenders(LedgerEntry& aEntry, TimePoint aNow)
{
  for (auto& [node, spender] : aEntry.mSpenders) {
    Duration silence = aNow - spender.mReportedAt;
    if (silence < kSilenceTime || spender.mRate <= 0) {
      continue;
    }
    double assumed =
      spender.mRate * Seconds(std::min(silence, kSpenderIdleTime));
    aEntry.mLevel -= assumed - spender.mAssumed;
    spender.mAssumed = assumed;
  }
}

void
Refill(const QuotaLedger& aLedger, LedgerEntry& aEntry, TimePoint aNow)
{
  double part = aNow - aEntry.mCreatedAt < kCautiousTime
                  ? std::min(aLedger.mReachablePart, kCautiousPart)
                  : aLedger.mReachablePart;
  double gain = aEntry.mLimits.mRate * part * Seconds(aNow - aEntry.mAt);
  aEntry.mAt = aNow;
  aEntry.mLevel += gain;
  ChargeSilentSpenders(aEntry, aNow);
  double capacity = QuotaCapacity(aEntry.mLimits);
  aEntry.mLevel = std::clamp(aEntry.mLevel,
                             -capacity - kMaxDebtSeconds * aEntry.mLimits.mRate,
                             capacity);
}

/** Returns the entry of an account, refilled; creates it if there is none. */
LedgerEntry&
EntryFor(QuotaLedger& aLedger,
         TimePoint aNow,
         const QuotaCount& aCount,
         const QuotaLimits& aLimits,
         TimePoint aOwnedSince)
{
  auto [it, isNew] = aLedger.mEntries.try_emplace(aCount.mAccount);
  LedgerEntry& entry = it->second;
  entry.mLimits = aLimits;
  if (isNew) {
    bool isTakeover = aNow - aOwnedSince < kCautiousTime;
    entry.mCreatedAt = isTakeover ? aNow : aNow - kOldEntryAge;
    entry.mAt = aNow;
    entry.mLevel = std::min(QuotaCapacity(aLimits),
                            QuotaStartLevel(aLimits) * aLedger.mReachablePart +
                              aLimits.mRate * aLedger.mReachablePart *
                                Seconds(aNow - aOwnedSince));
    entry.mIsFromShares = aCount.mLevel && aCount.mIsShare;
    // The spender's level does not include the start level of a ledger, but
    // what it has spent.
    if (aCount.mLevel) {
      entry.mLevel = *aCount.mLevel +
                     static_cast<double>(aCount.mSpent - aCount.mReturned) -
                     static_cast<double>(aCount.mSettled);
    }
  }
  Refill(aLedger, entry, aNow);
  return entry;
}

/** Returns the spending that a report adds to the earlier ones, negative if
 * more tokens were returned than taken, and updates the spender. */
double
UpdateSpender(LedgerEntry& aEntry,
              TimePoint aNow,
              const NodeId& aFrom,
              std::uint64_t aIncarnation,
              const QuotaCount& aCount)
{
  auto [it, isNew] = aEntry.mSpenders.try_emplace(aFrom);
  LedgerSpender& spender = it->second;
  auto net =
    static_cast<double>(aCount.mSpent) - static_cast<double>(aCount.mReturned);
  auto known = std::make_pair(spender.mIncarnation, spender.mEpoch);
  auto reported = std::make_pair(aIncarnation, aCount.mEpoch);
  if (!isNew &&
      (reported < known ||
       (reported == known && (aCount.mSpent < spender.mSpent ||
                              aCount.mReturned < spender.mReturned)))) {
    return 0;
  }
  bool hasHistory = !isNew && reported == known;
  double settled = hasHistory ? static_cast<double>(spender.mSpent) -
                                  static_cast<double>(spender.mReturned)
                              : static_cast<double>(aCount.mSettled);
  double spending = net - settled;
  if (hasHistory) {
    double elapsed = Seconds(aNow - spender.mReportedAt);
    if (elapsed > 0) {
      double weight = elapsed / (elapsed + Seconds(kRateTime));
      spender.mRate += weight * (spending / elapsed - spender.mRate);
      // A spender sends no further reports after one without spending.
      spender.mRate = spending > 0 ? spender.mRate : 0;
    }
  }
  double assumed = spender.mAssumed;
  spender.mIncarnation = aIncarnation;
  spender.mEpoch = aCount.mEpoch;
  spender.mSpent = aCount.mSpent;
  spender.mReturned = aCount.mReturned;
  spender.mReportedAt = aNow;
  spender.mAssumed = 0;
  bool isTakeover = isNew && aEntry.mSpenders.size() > 1 &&
                    aNow - aEntry.mCreatedAt < kTakeoverTime;
  if (isTakeover && aCount.mLevel && !aCount.mIsShare) {
    aEntry.mLevel = std::min(aEntry.mLevel, *aCount.mLevel + spending);
  } else if (isTakeover && aCount.mLevel && aEntry.mIsFromShares) {
    aEntry.mLevel += std::max(0.0F, *aCount.mLevel);
  }
  return spending - assumed;
}

} // namespace

QuotaLevel
LedgerReceive(QuotaLedger& aLedger,
              TimePoint aNow,
              const NodeId& aFrom,
              std::uint64_t aIncarnation,
              const QuotaCount& aCount,
              const QuotaLimits& aLimits,
              TimePoint aOwnedSince)
{
  ++aLedger.mReports;
  LedgerEntry& entry = EntryFor(aLedger, aNow, aCount, aLimits, aOwnedSince);
  entry.mLevel -= UpdateSpender(entry, aNow, aFrom, aIncarnation, aCount);
  entry.mLevel = std::min(entry.mLevel, QuotaCapacity(aLimits));
  double total = 0;
  double active = 0;
  for (const auto& [node, spender] : entry.mSpenders) {
    total += spender.mRate;
    active += aNow - spender.mReportedAt < kActiveTime ? 1 : 0;
  }
  double own = entry.mSpenders.at(aFrom).mRate;
  QuotaLevel level;
  level.mAccount = aCount.mAccount;
  level.mEpoch = aCount.mEpoch;
  level.mSpent = aCount.mSpent;
  level.mReturned = aCount.mReturned;
  level.mLevel = static_cast<float>(entry.mLevel);
  level.mNetRate =
    static_cast<float>(aLimits.mRate * aLedger.mReachablePart - (total - own));
  level.mAllowance = static_cast<float>(std::max(0.0, entry.mLevel) *
                                        std::min(1.0, kFewSpenders / active));
  level.mShare = total > 0 ? static_cast<float>(own / total) : 0;
  return level;
}

void
LedgerTick(QuotaLedger& aLedger,
           TimePoint aNow,
           const std::function<bool(const NodeId&)>& aIsReachable)
{
  for (auto it = aLedger.mEntries.begin(); it != aLedger.mEntries.end();) {
    LedgerEntry& entry = it->second;
    Refill(aLedger, entry, aNow);
    for (auto s = entry.mSpenders.begin(); s != entry.mSpenders.end();) {
      bool isGone = aNow - s->second.mReportedAt > kSpenderIdleTime ||
                    !aIsReachable(s->first);
      s = isGone ? entry.mSpenders.erase(s) : std::next(s);
    }
    bool isIdle =
      entry.mSpenders.empty() && entry.mLevel >= QuotaCapacity(entry.mLimits);
    it = isIdle ? aLedger.mEntries.erase(it) : std::next(it);
  }
}

} // namespace vanillascale
