#include "NodeQuota.h"

#include "EventNumbers.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Interval between checks of all accounts that this node uses. */
constexpr Duration kScanInterval = milliseconds(25);
constexpr Duration kCleanupInterval = seconds(1);
/** The former owner of an account is told of the spending for this time: other
 * nodes may hear of the change of the members that much later. */
constexpr Duration kFormerOwnerTime = milliseconds(1500);
/** A held request is handled after this time even without a level: a proxy that
 * hears nothing for 150 ms turns to another scheduler. */
constexpr Duration kMaxHoldTime = milliseconds(100);
/** Accounts per message; keeps reports below 32 KB. */
constexpr std::size_t kMaxCountsPerReport = 500;

/** Returns the limits of an account of the document; a rate of 0 if it has
 * none. */
QuotaLimits
LimitsOf(const ClientAccount* aAccount)
{
  return aAccount ? QuotaLimits{ aAccount->mRate, aAccount->mBurst }
                  : QuotaLimits{};
}

/** Picks the owner of a bucket's account again if the candidates have changed.
 */
void
UpdateOwner(const NodeQuota& aQuota, TimePoint aNow, QuotaBucket& aBucket)
{
  const QuotaOwners& owners = aQuota.mOwners;
  if (aBucket.mOwnerVersion == owners.mMembersVersion) {
    return;
  }
  aBucket.mOwnerVersion = owners.mMembersVersion;
  const NodeId& owner = FindQuotaOwner(owners, aBucket.mCount.mAccount);
  if (owner == aBucket.mOwner) {
    return;
  }
  bool hasFormer = !aBucket.mOwner.mValue.empty();
  aBucket.mFormerOwner = std::move(aBucket.mOwner);
  aBucket.mFormerOwnerUntil = hasFormer ? aNow + kFormerOwnerTime : TimePoint{};
  aBucket.mOwner = owner;
}

using CountsByOwner = std::map<NodeId, std::vector<QuotaCount>>;

void
SendReports(NodeQuota& aQuota,
            const QuotaContext& aContext,
            const std::vector<std::uint64_t>& aAccounts)
{
  UpdateQuotaOwners(aQuota.mOwners, aContext.mNow, aContext.mMembers);
  CountsByOwner counts;
  for (std::uint64_t it : aAccounts) {
    auto entry = aQuota.mSpender->mBuckets.find(it);
    if (entry == aQuota.mSpender->mBuckets.end()) {
      continue;
    }
    QuotaBucket& bucket = entry->second;
    UpdateOwner(aQuota, aContext.mNow, bucket);
    QuotaCount count = ReportQuota(*aQuota.mSpender, aContext.mNow, it);
    if (aContext.mNow < bucket.mFormerOwnerUntil &&
        IsReachable(aContext.mMembers, bucket.mFormerOwner)) {
      counts[bucket.mFormerOwner].push_back(count);
    }
    counts[bucket.mOwner].push_back(count);
  }
  for (auto& [owner, list] : counts) {
    for (std::size_t first = 0; first < list.size();
         first += kMaxCountsPerReport) {
      std::size_t end = std::min(list.size(), first + kMaxCountsPerReport);
      QuotaReport report;
      report.mIncarnation = aQuota.mIncarnation;
      report.mSentAt = aContext.mNow.time_since_epoch().count();
      report.mCounts.assign(list.begin() + static_cast<std::ptrdiff_t>(first),
                            list.begin() + static_cast<std::ptrdiff_t>(end));
      ++aQuota.mSentReports;
      aContext.mEffects.push_back(SendToPeer{ owner, std::move(report) });
    }
  }
}

void
LogAccountsWithoutOwner(NodeQuota& aQuota, const QuotaContext& aContext)
{
  for (std::uint64_t it : aQuota.mSpender->mWithoutOwner) {
    aContext.mEffects.push_back(WriteEvent{
      kEventQuotaShareOnly,
      "reason=owner-silent" + DescribeQuota(*aQuota.mSpender, it) });
  }
  aQuota.mSpender->mWithoutOwner.clear();
}

/** Updates the part of the fleet that the ledger reckons with. Suspect members
 * count as unreachable: it takes seconds until all members behind a partition
 * are known to be dead. */
void
UpdateReachablePart(NodeQuota& aQuota, const MembershipState& aMembers)
{
  auto suspects = aMembers.mSuspects.size();
  auto live =
    static_cast<double>(std::max<std::size_t>(aQuota.mOwners.mLive.size(), 1));
  double answering = 1 - std::min(1.0, static_cast<double>(suspects) / live);
  aQuota.mLedger.mReachablePart = ReachablePart(aQuota.mOwners) * answering;
}

} // namespace

NodeQuota
NodeQuota::Make(std::uint64_t aIncarnation)
{
  NodeQuota quota;
  quota.mIncarnation = aIncarnation;
  quota.mSpender = std::make_shared<QuotaSpender>();
  return quota;
}

void
PrepareQuota(QuotaSpender& aSpender,
             TimePoint aNow,
             const ConfigState& aConfig,
             std::uint64_t aAccount)
{
  if (aAccount == 0 ||
      (aConfig.mDocument.mAccounts.empty() && aSpender.mBuckets.empty())) {
    return;
  }
  const ClientAccount* account = FindAccountById(aConfig, aAccount);
  static const std::string kNoName;
  SetQuotaLimits(aSpender,
                 aNow,
                 aAccount,
                 account ? account->mName.mValue : kNoName,
                 LimitsOf(account));
}

bool
HoldForQuota(NodeQuota& aQuota,
             const QuotaContext& aContext,
             const NodeId& aFrom,
             const LeaseRequest& aRequest)
{
  if (aRequest.mIsRetry || aRequest.mAccount == 0) {
    return false;
  }
  for (HeldLeaseRequest& it : aQuota.mHeld) {
    if (it.mFrom == aFrom && it.mRequest.mRequest == aRequest.mRequest) {
      return true;
    }
  }
  QuotaDecision decision =
    CheckQuota(*aQuota.mSpender, aContext.mNow, aRequest.mAccount, 1);
  if (decision != QuotaDecision::Unknown) {
    return false;
  }
  ClaimQuotaToken(*aQuota.mSpender, aContext.mNow, aRequest.mAccount);
  ++aQuota.mHeldRequests;
  aQuota.mHeld.push_back({ aFrom, aRequest, aContext.mNow });
  return true;
}

std::vector<HeldLeaseRequest>
ReleaseHeldRequests(NodeQuota& aQuota, TimePoint aNow)
{
  std::vector<HeldLeaseRequest> released;
  auto isReleased = [&](HeldLeaseRequest& aHeld) {
    bool isDecided =
      aNow - aHeld.mSince >= kMaxHoldTime ||
      CheckQuota(*aQuota.mSpender, aNow, aHeld.mRequest.mAccount, 1) !=
        QuotaDecision::Unknown;
    if (isDecided) {
      aHeld.mRequest.mDeadline -= aNow - aHeld.mSince;
      if (aHeld.mRequest.mGoal > Duration(0)) {
        aHeld.mRequest.mGoal =
          std::max(aHeld.mRequest.mGoal - (aNow - aHeld.mSince), Duration(1));
      }
      released.push_back(std::move(aHeld));
    }
    return isDecided;
  };
  aQuota.mHeld.erase(
    std::remove_if(aQuota.mHeld.begin(), aQuota.mHeld.end(), isReleased),
    aQuota.mHeld.end());
  return released;
}

bool
WithdrawHeldRequest(NodeQuota& aQuota,
                    const NodeId& aFrom,
                    const LeaseWithdrawal& aWithdrawal)
{
  auto it =
    std::find_if(aQuota.mHeld.begin(),
                 aQuota.mHeld.end(),
                 [&](const HeldLeaseRequest& aHeld) {
                   return aHeld.mFrom == aFrom &&
                          aHeld.mRequest.mRequest == aWithdrawal.mRequest;
                 });
  if (it == aQuota.mHeld.end()) {
    return false;
  }
  aQuota.mHeld.erase(it);
  return true;
}

void
QuotaReceive(NodeQuota& aQuota,
             const QuotaContext& aContext,
             const NodeId& aFrom,
             const QuotaReport& aReport)
{
  UpdateQuotaOwners(aQuota.mOwners, aContext.mNow, aContext.mMembers);
  UpdateReachablePart(aQuota, aContext.mMembers);
  QuotaLevels answer;
  answer.mSentAt = aReport.mSentAt;
  for (const QuotaCount& it : aReport.mCounts) {
    const ClientAccount* account =
      FindAccountById(aContext.mConfig, it.mAccount);
    QuotaLimits limits = LimitsOf(account);
    if (limits.mRate > 0) {
      answer.mLevels.push_back(
        LedgerReceive(aQuota.mLedger,
                      aContext.mNow,
                      aFrom,
                      aReport.mIncarnation,
                      it,
                      limits,
                      OwnsQuotaSince(aQuota.mOwners, it.mAccount)));
    }
  }
  if (!answer.mLevels.empty()) {
    aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(answer) });
  }
}

void
QuotaReceive(NodeQuota& aQuota,
             const QuotaContext& aContext,
             const NodeId& aFrom,
             const QuotaLevels& aLevels)
{
  TimePoint sentAt{ Duration(aLevels.mSentAt) };
  for (const QuotaLevel& it : aLevels.mLevels) {
    ApplyQuotaLevel(*aQuota.mSpender, aContext.mNow, aFrom, sentAt, it);
  }
}

void
SendUrgentReports(NodeQuota& aQuota, const QuotaContext& aContext)
{
  if (aQuota.mSpender->mUrgent.empty()) {
    return;
  }
  std::vector<std::uint64_t> urgent = std::move(aQuota.mSpender->mUrgent);
  aQuota.mSpender->mUrgent.clear();
  SendReports(aQuota, aContext, urgent);
}

void
QuotaTick(NodeQuota& aQuota, const QuotaContext& aContext)
{
  TimePoint now = aContext.mNow;
  if (now < aQuota.mNextScanAt ||
      (aContext.mConfig.mDocument.mAccounts.empty() &&
       aQuota.mSpender->mBuckets.empty())) {
    return;
  }
  aQuota.mNextScanAt = now + kScanInterval;
  UpdateQuotaOwners(aQuota.mOwners, now, aContext.mMembers);
  aQuota.mSpender->mEqualShare =
    1.0 /
    static_cast<double>(std::max<std::size_t>(aQuota.mOwners.mLive.size(), 1));
  SendUrgentReports(aQuota, aContext);
  SendReports(aQuota, aContext, DueQuotaReports(*aQuota.mSpender, now));
  LogAccountsWithoutOwner(aQuota, aContext);
  if (now >= aQuota.mNextCleanupAt) {
    aQuota.mNextCleanupAt = now + kCleanupInterval;
    UpdateReachablePart(aQuota, aContext.mMembers);
    RemoveIdleQuotas(*aQuota.mSpender, now);
    LedgerTick(aQuota.mLedger, now, [&](const NodeId& aNode) {
      return aNode == aContext.mMembers.mSelf ||
             IsReachable(aContext.mMembers, aNode);
    });
  }
}

} // namespace vanillascale
