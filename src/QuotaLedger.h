#ifndef VANILLASCALE_QUOTALEDGER_H
#define VANILLASCALE_QUOTALEDGER_H

#include "AccountQuota.h"

#include <functional>
#include <map>

namespace vanillascale {

/** What the owner of an account knows of one node that spends its quota. */
struct LedgerSpender
{
  std::uint64_t mIncarnation = 0;
  /** The counts of the last report; see QuotaCount. */
  std::uint64_t mEpoch = 0;
  std::uint64_t mSpent = 0;
  std::uint64_t mReturned = 0;
  /** The smoothed spending, in requests per second. */
  double mRate = 0;
  TimePoint mReportedAt{};
  /** Tokens taken off the level since mReportedAt because the node is silent.
   */
  double mAssumed = 0;
};

/** The quota of one account. */
struct LedgerEntry
{
  QuotaLimits mLimits;
  /** Tokens left at mAt; negative after an overshoot. */
  double mLevel = 0;
  TimePoint mAt{};
  TimePoint mCreatedAt{};
  /** The level at mCreatedAt was the share of one spender, to which those of
   * others are added. */
  bool mIsFromShares = false;
  std::map<NodeId, LedgerSpender> mSpenders;
};

/** The quotas of the accounts that this node owns and that were used lately. An
 * account without an entry has a full bucket, or had none when this node became
 * its owner. */
struct QuotaLedger
{
  std::unordered_map<std::uint64_t, LedgerEntry> mEntries;
  /** The part of the fleet that this node can reach, from 0 to 1. The other
   * part may have owners of its own. */
  double mReachablePart = 1;
  std::uint64_t mReports = 0;
};

/** Handles one account of a report and returns the answer. aOwnedSince: when
 * this node became the owner of the account, as far as it knows. */
QuotaLevel
LedgerReceive(QuotaLedger& aLedger,
              TimePoint aNow,
              const NodeId& aFrom,
              std::uint64_t aIncarnation,
              const QuotaCount& aCount,
              const QuotaLimits& aLimits,
              TimePoint aOwnedSince);

/** Removes spenders that are dead or idle, and entries of accounts that nobody
 * spends from and whose bucket is full. Called periodically. */
void
LedgerTick(QuotaLedger& aLedger,
           TimePoint aNow,
           const std::function<bool(const NodeId&)>& aIsReachable);

} // namespace vanillascale

#endif
