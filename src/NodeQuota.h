#ifndef VANILLASCALE_NODEQUOTA_H
#define VANILLASCALE_NODEQUOTA_H

#include "AccountQuota.h"
#include "ConfigFold.h"
#include "QuotaLedger.h"
#include "QuotaOwners.h"

#include <memory>

namespace vanillascale {

/** A lease request that waits until the level of its account's quota is known.
 */
struct HeldLeaseRequest
{
  NodeId mFrom;
  LeaseRequest mRequest;
  TimePoint mSince{};
};

/** The part of a node in the quotas of client accounts: it spends from them,
 * and it owns some of them. */
struct NodeQuota
{
  /** The incarnation of the process. */
  std::uint64_t mIncarnation = 0;
  /** Shared with the schedulers of the node. */
  std::shared_ptr<QuotaSpender> mSpender;
  QuotaLedger mLedger;
  QuotaOwners mOwners;
  std::vector<HeldLeaseRequest> mHeld;
  TimePoint mNextScanAt{};
  TimePoint mNextCleanupAt{};
  std::uint64_t mSentReports = 0;
  std::uint64_t mHeldRequests = 0;

  /** Returns the initial state of a process. */
  static NodeQuota Make(std::uint64_t aIncarnation);
};

struct QuotaContext
{
  TimePoint mNow{};
  const MembershipState& mMembers;
  const ConfigState& mConfig;
  Effects& mEffects;
};

/** Applies the limits of the document in force to the account of a request,
 * before tokens are taken. Does nothing for an account of 0, or without
 * accounts in the document. */
void
PrepareQuota(QuotaSpender& aSpender,
             TimePoint aNow,
             const ConfigState& aConfig,
             std::uint64_t aAccount);

/** Holds a lease request that would take a token if nothing is known of its
 * account's quota, but the answer of its owner is due. Returns false if the
 * request is to be handled now. */
bool
HoldForQuota(NodeQuota& aQuota,
             const QuotaContext& aContext,
             const NodeId& aFrom,
             const LeaseRequest& aRequest);

/** Removes and returns the held requests that need not wait any longer. Their
 * deadlines are reduced by the time that they have waited. */
std::vector<HeldLeaseRequest>
ReleaseHeldRequests(NodeQuota& aQuota, TimePoint aNow);

/** Removes a held request that is withdrawn. Returns false if it is not held.
 */
bool
WithdrawHeldRequest(NodeQuota& aQuota,
                    const NodeId& aFrom,
                    const LeaseWithdrawal& aWithdrawal);

/** Handles a report of a node about accounts that this node owns. */
void
QuotaReceive(NodeQuota& aQuota,
             const QuotaContext& aContext,
             const NodeId& aFrom,
             const QuotaReport& aReport);

/** Handles the answer of an owner. */
void
QuotaReceive(NodeQuota& aQuota,
             const QuotaContext& aContext,
             const NodeId& aFrom,
             const QuotaLevels& aLevels);

/** Sends the reports that are due at once. Called after each event that may
 * have taken tokens. */
void
SendUrgentReports(NodeQuota& aQuota, const QuotaContext& aContext);

/** Sends the reports that are due and removes what is no longer used. Called
 * periodically. */
void
QuotaTick(NodeQuota& aQuota, const QuotaContext& aContext);

} // namespace vanillascale

#endif
