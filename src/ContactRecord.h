#ifndef VANILLASCALE_CONTACTRECORD_H
#define VANILLASCALE_CONTACTRECORD_H

#include "Membership.h"

namespace vanillascale {

/** A node's use of the contact record: one record in the platform's store that
 * names a node of the fleet. Parts of a fleet that know no address of each
 * other meet through it, for example if all seeds are down or have other
 * addresses by now. A part contacts the named node unless it is one of its
 * members, and replaces the record by one of its own nodes if that node does
 * not answer. The nodes of a part read the record in turn, so that the number
 * of calls depends on the number of parts and not on that of the nodes. Used
 * with ConfigSource::KeyedFeeds. */
struct ContactRecordState
{
  /** A read or write has not ended yet. */
  bool mIsCalling = false;
  TimePoint mNextReadAt{};
  Duration mInterval{ 0 };
  /** The named node while it is being contacted; otherwise empty. */
  NodeId mContacted;
  TimePoint mContactUntil{};
  TimePoint mNextPingAt{};
  /** The end of the record's topic at the last read. */
  LogOffset mEnd = 0;
  /** The number of other live members, as of mMembersVersion. */
  std::size_t mOthers = 0;
  std::uint64_t mMembersVersion = 0;
};

/** Starts the read that is due, and contacts the node that the last one named.
 * Called periodically. Not thread safe. */
void
ContactRecordTick(ContactRecordState& aState,
                  MembershipState& aMembers,
                  TimePoint aNow,
                  Random& aRandom,
                  Effects& aEffects);

/** Handles the end of a read or write. Not thread safe. */
void
ContactRecordReceive(ContactRecordState& aState,
                     const MembershipState& aMembers,
                     TimePoint aNow,
                     const ContactReadResult& aRead,
                     Effects& aEffects);
void
ContactRecordReceive(ContactRecordState& aState,
                     const MembershipState& aMembers,
                     const ContactWriteResult& aWritten,
                     Effects& aEffects);

} // namespace vanillascale

#endif
