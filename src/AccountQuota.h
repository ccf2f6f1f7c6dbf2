#ifndef VANILLASCALE_ACCOUNTQUOTA_H
#define VANILLASCALE_ACCOUNTQUOTA_H

#include "Clock.h"
#include "Messages.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace vanillascale {

/** The quota of one account over all nodes. */
struct QuotaLimits
{
  /** Requests per second; above 0. */
  double mRate = 0;
  /** Requests allowed at once after idleness. */
  double mBurst = 0;
};

/** Returns the capacity of an account's bucket. It is a little above the burst,
 * so that requests within the quota that the network has bunched together are
 * not refused. Pure. */
double
QuotaCapacity(const QuotaLimits& aLimits);

/** Returns the tokens that a ledger without any knowledge of an account's
 * spending starts with. Pure. */
double
QuotaStartLevel(const QuotaLimits& aLimits);

/** Returns the tokens that a spender without a recent level may take until the
 * owner answers. Pure. */
double
QuotaFirstUse(const QuotaLimits& aLimits);

/** What a spender knows about the quota of one account. */
struct QuotaBucket
{
  /** For the log. */
  std::string mName;
  QuotaLimits mLimits;
  /** The counts of this node; see QuotaCount. */
  QuotaCount mCount;
  /** mSpent and mReturned of the last report, and the spending that it added.
   */
  std::uint64_t mReportedSpent = 0;
  std::uint64_t mReportedReturned = 0;
  std::uint64_t mLastReportedSpending = 0;
  /** The estimated level of the quota at mAt. */
  double mTokens = 0;
  TimePoint mAt{};
  /** Tokens per second that the level gains, less what others spend. */
  double mNetRate = 0;
  /** This node's part of the recent spending. */
  double mShare = 0;
  /** The time of the report that the last level answered; none has if
   * mHasLevel is false. */
  TimePoint mLevelAt{};
  bool mHasLevel = false;
  /** The time of the first report since the last level; max if there is none.
   */
  TimePoint mUnansweredSince = TimePoint::max();
  /** The owner does not answer: mTokens is this node's share, since
   * mShareOnlySince. */
  bool mHasOnlyShare = false;
  TimePoint mShareOnlySince{};
  /** Tokens that may be taken before the next level arrives, and the part of
   * QuotaFirstUse() that they include if no level is known. */
  double mAllowance = 0;
  double mFirstUseShare = 0;
  /** Requests that wait for a token that has not been claimed yet. */
  std::uint64_t mWaiting = 0;
  /** Tokens taken for waiting requests, part of the counts. Their report is not
   * answered yet, or it is and they may be used. */
  std::uint64_t mClaimed = 0;
  std::uint64_t mGranted = 0;
  TimePoint mGrantedAt{};
  TimePoint mReportedAt{};
  /** When a token was last asked for. */
  TimePoint mWantedAt{};
  bool mIsReportDue = false;
  /** The owner of the account, and the one before as long as it is told too. */
  NodeId mOwner;
  NodeId mFormerOwner;
  TimePoint mFormerOwnerUntil{};
  /** Version of the list of candidates by which mOwner was picked. */
  std::uint64_t mOwnerVersion = 0;
};

/** The spending of one node from the quotas of accounts, for all schedulers on
 * it and for the requests that its proxy sends without a scheduler. */
struct QuotaSpender
{
  std::unordered_map<std::uint64_t, QuotaBucket> mBuckets;
  /** The part of a quota that this node may use without an owner unless it has
   * used more: one divided by the number of nodes. */
  double mEqualShare = 1;
  /** The last epoch used; see QuotaCount. */
  std::uint64_t mEpoch = 0;
  /** Accounts whose reports are due at once. */
  std::vector<std::uint64_t> mUrgent;
  /** Accounts whose owner has stopped to answer since this was last cleared. */
  std::vector<std::uint64_t> mWithoutOwner;
  std::uint64_t mTaken = 0;
  std::uint64_t mReturned = 0;
  std::uint64_t mRefused = 0;
};

enum class QuotaDecision
{
  Taken,
  Refused,
  /** The owner's answer is needed, and due soon. */
  Unknown
};

/** Sets the limits of an account, from which its bucket is created if there is
 * none. Removes the bucket if the rate is 0. */
void
SetQuotaLimits(QuotaSpender& aSpender,
               TimePoint aNow,
               std::uint64_t aAccount,
               const std::string& aName,
               const QuotaLimits& aLimits);

/** Returns whether a token can be taken, without taking it. Marks the account's
 * report as due if that is Unknown. An account without a bucket has no limit.
 * aFirstUseShare: the part of QuotaFirstUse() that may be taken before the
 * owner answers. */
QuotaDecision
CheckQuota(QuotaSpender& aSpender,
           TimePoint aNow,
           std::uint64_t aAccount,
           double aFirstUseShare);

/** Takes a token of an account if CheckQuota() returns Taken, and returns its
 * result. */
QuotaDecision
TakeQuotaToken(QuotaSpender& aSpender,
               TimePoint aNow,
               std::uint64_t aAccount,
               double aFirstUseShare);

/** Asks the owner for a token for a request that waits because of Unknown.
 * Called once for each request. Without it, many nodes that take one token each
 * would exceed a low level together. */
void
ClaimQuotaToken(QuotaSpender& aSpender, TimePoint aNow, std::uint64_t aAccount);

/** Returns the token of a request that was not sent. Does nothing for an
 * account without a bucket. */
void
ReturnQuotaToken(QuotaSpender& aSpender,
                 TimePoint aNow,
                 std::uint64_t aAccount);

/** Returns the time until the account has a token, 0 if it has one or has no
 * limit. */
Duration
TimeUntilQuotaToken(QuotaSpender& aSpender,
                    TimePoint aNow,
                    std::uint64_t aAccount);

/** Returns the accounts whose reports are due. Called periodically. */
std::vector<std::uint64_t>
DueQuotaReports(const QuotaSpender& aSpender, TimePoint aNow);

/** Returns the counts for a report that is sent now. Precondition: the account
 * has a bucket. */
QuotaCount
ReportQuota(QuotaSpender& aSpender, TimePoint aNow, std::uint64_t aAccount);

/** Applies a level that answers a report sent at aSentAt. Ignores levels of
 * nodes that do not own the account, late ones and those of earlier counts. */
void
ApplyQuotaLevel(QuotaSpender& aSpender,
                TimePoint aNow,
                const NodeId& aFrom,
                TimePoint aSentAt,
                const QuotaLevel& aLevel);

/** Removes the buckets that were not used for a while and have nothing left to
 * report. */
void
RemoveIdleQuotas(QuotaSpender& aSpender, TimePoint aNow);

/** Returns what is known of an account's quota, as text for the log; empty if
 * it has no bucket. Pure. */
std::string
DescribeQuota(const QuotaSpender& aSpender, std::uint64_t aAccount);

} // namespace vanillascale

#endif
