#ifndef VANILLASCALE_QUOTAOWNERS_H
#define VANILLASCALE_QUOTAOWNERS_H

#include "Membership.h"

#include <unordered_map>

namespace vanillascale {

/** Decides which node keeps the ledger of an account: rendezvous hashing over
 * the members that are preferred for duties. The hashes of the members are
 * computed once per change of the members, so that an owner costs a few
 * operations per member. */
struct QuotaOwners
{
  struct Candidate
  {
    NodeId mNode;
    std::uint64_t mHash = 0;
  };
  /** A member that owned accounts earlier. */
  struct FormerMember
  {
    TimePoint mSince{};
    /** It has not announced that it leaves: it may be unreachable only. */
    bool mMayBeRunning = false;
  };

  NodeId mSelf;
  std::vector<Candidate> mCandidates;
  /** The live members as of mMembersVersion. */
  std::vector<NodeId> mLive;
  std::map<NodeId, FormerMember> mFormer;
  std::uint64_t mMembersVersion = 0;
  /** When this process first knew its members. */
  TimePoint mStartedAt = TimePoint::max();
  TimePoint mNextCleanupAt{};
};

/** Updates the candidates if the members have changed. Called periodically. */
void
UpdateQuotaOwners(QuotaOwners& aOwners,
                  TimePoint aNow,
                  const MembershipState& aMembers);

/** Returns the owner of an account. Precondition: UpdateQuotaOwners() was
 * called. Pure. */
const NodeId&
FindQuotaOwner(const QuotaOwners& aOwners, std::uint64_t aAccount);

/** Returns since when this node owns an account that it owns now, as far as it
 * remembers. Pure. */
TimePoint
OwnsQuotaSince(const QuotaOwners& aOwners, std::uint64_t aAccount);

/** Returns the part of the fleet that is reachable: members that have vanished
 * without notice may run on behind a partition and use their part of the
 * quotas. Pure. */
double
ReachablePart(const QuotaOwners& aOwners);

} // namespace vanillascale

#endif
