#include "ContactRecord.h"

#include "EventNumbers.h"
#include "MemberContacts.h"
#include "MemberUpdates.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The first interval between reads. Nodes that start together have met through
 * the seeds by its end if any of these answers. */
constexpr Duration kFirstInterval = seconds(1);
/** The intervals double up to this one, and up to the longer one while the
 * calls fail. */
constexpr Duration kMaxInterval = seconds(16);
constexpr Duration kMaxFailureInterval = seconds(64);
/** The named node is sent a ping at this interval, and is passed over after
 * this time without an answer. */
constexpr Duration kPingInterval = milliseconds(150);
constexpr Duration kContactTimeout = milliseconds(600);

bool
IsLiveMember(const MembershipState& aMembers, const NodeId& aNode)
{
  auto it = aMembers.mMembers.find(aNode);
  return it != aMembers.mMembers.end() && IsEligibleForDuties(it->second);
}

void
WriteContactEvent(const NodeId& aContact,
                  const char* aOutcome,
                  Effects& aEffects)
{
  aEffects.push_back(
    WriteEvent{ kEventContactRecord,
                "contact=" + aContact.mValue + " outcome=" + aOutcome });
}

/** Makes this node the named one, if no other node has written since the last
 * read. */
void
WriteSelf(ContactRecordState& aState,
          const MembershipState& aMembers,
          Effects& aEffects)
{
  aState.mIsCalling = true;
  aEffects.push_back(WriteContact{ aMembers.mSelf, aState.mEnd });
}

/** Contacts the named node until it is a live member or its time is over. */
void
AwaitContact(ContactRecordState& aState,
             MembershipState& aMembers,
             TimePoint aNow,
             Effects& aEffects)
{
  if (IsLiveMember(aMembers, aState.mContacted)) {
    WriteContactEvent(aState.mContacted, "joined", aEffects);
    aState.mContacted = NodeId();
  } else if (aNow >= aState.mContactUntil) {
    WriteContactEvent(aState.mContacted, "no_answer", aEffects);
    aState.mContacted = NodeId();
    WriteSelf(aState, aMembers, aEffects);
  } else if (aNow >= aState.mNextPingAt) {
    aState.mNextPingAt = aNow + kPingInterval;
    ContactNode(aMembers, aNow, aState.mContacted, aEffects);
  }
}

/** Counts the other live members anew if they have changed. The intervals start
 * again when the last one is lost. */
void
UpdateOthers(ContactRecordState& aState,
             const MembershipState& aMembers,
             TimePoint aNow,
             Random& aRandom)
{
  if (aState.mMembersVersion == aMembers.mVersion) {
    return;
  }
  aState.mMembersVersion = aMembers.mVersion;
  std::vector<NodeId> live = LiveMembers(aMembers);
  bool isSelfLive =
    std::binary_search(live.begin(), live.end(), aMembers.mSelf);
  std::size_t others = live.size() - (isSelfLive ? 1 : 0);
  if (others == 0 && aState.mOthers > 0) {
    aState.mInterval = kFirstInterval;
    aState.mNextReadAt = aNow + AddJitter(kFirstInterval, aRandom);
  }
  aState.mOthers = others;
}

void
BackOff(ContactRecordState& aState, Duration aMax)
{
  aState.mInterval = std::min(2 * aState.mInterval, aMax);
}

} // namespace

void
ContactRecordTick(ContactRecordState& aState,
                  MembershipState& aMembers,
                  TimePoint aNow,
                  Random& aRandom,
                  Effects& aEffects)
{
  if (aMembers.mIsLeaving || aState.mIsCalling) {
    return;
  }
  if (!aState.mContacted.mValue.empty()) {
    AwaitContact(aState, aMembers, aNow, aEffects);
    return;
  }
  if (aState.mNextReadAt == TimePoint{}) {
    aState.mInterval = kFirstInterval;
    aState.mNextReadAt = aNow + AddJitter(kFirstInterval, aRandom);
  }
  UpdateOthers(aState, aMembers, aNow, aRandom);
  if (aNow < aState.mNextReadAt) {
    return;
  }
  aState.mNextReadAt = aNow + AddJitter(aState.mInterval, aRandom);
  BackOff(aState, std::max(aState.mInterval, kMaxInterval));
  // One node of each part reads on average.
  if (RandomBelow(aRandom, aState.mOthers + 1) == 0) {
    aState.mIsCalling = true;
    aEffects.push_back(ReadContact{});
  }
}

void
ContactRecordReceive(ContactRecordState& aState,
                     const MembershipState& aMembers,
                     TimePoint aNow,
                     const ContactReadResult& aRead,
                     Effects& aEffects)
{
  aState.mIsCalling = false;
  if (!aRead.mIsSuccessful) {
    WriteContactEvent(aRead.mContact, "not_read", aEffects);
    BackOff(aState, kMaxFailureInterval);
    return;
  }
  aState.mInterval = std::min(aState.mInterval, kMaxInterval);
  aState.mEnd = aRead.mEnd;
  bool isKnown =
    aRead.mContact == aMembers.mSelf || IsLiveMember(aMembers, aRead.mContact);
  if (aMembers.mIsLeaving || isKnown) {
    return;
  }
  if (aRead.mContact.mValue.empty()) {
    WriteSelf(aState, aMembers, aEffects);
    return;
  }
  aState.mContacted = aRead.mContact;
  aState.mNextPingAt = aNow;
  aState.mContactUntil = aNow + kContactTimeout;
}

void
ContactRecordReceive(ContactRecordState& aState,
                     const MembershipState& aMembers,
                     const ContactWriteResult& aWritten,
                     Effects& aEffects)
{
  aState.mIsCalling = false;
  if (aWritten.mOutcome == ContactWriteOutcome::Outdated) {
    // The next read shows which node has written meanwhile.
    return;
  }
  bool isDone = aWritten.mOutcome == ContactWriteOutcome::Done;
  WriteContactEvent(
    aMembers.mSelf, isDone ? "written" : "not_written", aEffects);
  if (!isDone) {
    BackOff(aState, kMaxFailureInterval);
  }
}

} // namespace vanillascale
