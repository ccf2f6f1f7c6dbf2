/** What a connection holds, and what it does while there is no memory for more.
 */

#include "HttpConnection.h"

namespace vanillascale {

namespace {

/** Memory of a connection that holds no message: socket, parser, timer. */
constexpr std::size_t kConnectionBytes = 4096;
/** Bytes that the kernel may hold of a connection that is not read: its
 * receive window. */
constexpr std::size_t kUnreadBytes = 64UL * 1024;
/** A field of four bytes ("a:" and a line end) takes about 80 in Beast's
 * list. */
constexpr std::size_t kHeadFactor = 20;
/** For a head that begins: what is read at once, twice while it is parsed. */
constexpr std::size_t kHeadRoomBytes = 2 * kServerReadBytes;

} // namespace

Holder
HttpConnection::Describe(TimePoint aNow, bool aCountsUnused) const
{
  Holder holder;
  if (mIsClosed || mIsLingering) {
    return holder;
  }
  if (mIsWriting) {
    holder.mState = HolderState::Caller;
    holder.mHeldBytes =
      mOutgoingHead.size() + (mOutgoingBody ? mOutgoingBody->size() : 0);
    for (const Exchange& it : mExchanges) {
      holder.mHeldBytes += BodyOf(it.mResponse).size();
    }
    holder.mStalledFor = mSent.StalledFor(aNow);
  } else if (!mExchanges.empty() || mHasHeld) {
    return holder;
  } else if (mParser->HasBegun()) {
    holder.mState = mWait ? HolderState::Budget : HolderState::Caller;
    holder.mHeldBytes = mParser->HeldBytes() + mCharge.Bytes();
    holder.mStalledFor = mReceived.StalledFor(aNow);
    // A body of which nothing is held yet waits for its turn.
    bool hasBody = mParser->HeldBytes() > kUnreadBytes;
    if (mWait && !hasBody) {
      holder.mState = HolderState::Service;
    }
  } else if (aCountsUnused && !mIsUsed && !mWait) {
    holder = { HolderState::Caller, 1, aNow - mLastUsedAt };
  }
  return holder;
}

std::size_t
HttpConnection::WantedMessageBytes() const
{
  return mParser->Wanted().mMessageBytes;
}

void
HttpConnection::GiveUp()
{
  if (mIsWriting) {
    ++mState->mCounters.mClosedForRoom;
    Close();
  } else {
    Refuse(HttpProgress::NoRoom);
  }
}

/** Whether there is memory for the next bytes of a head. Those of a body have
 * theirs before they are read. */
bool
HttpConnection::HasRoom() const
{
  return !mState->mBudget || mParser->IsHeadDone() ||
         mState->mBudget->MayTake(kHeadRoomBytes, kHeadRoomBytes);
}

/** Takes memory for the body that the parser waits for. Returns false if there
 * is none. */
bool
HttpConnection::TakeRoom()
{
  BytesWanted wanted = mParser->Wanted();
  bool hasRoom = wanted.mBytes == 0 || !mState->mBudget ||
                 mState->mBudget->MayTake(wanted.mBytes, wanted.mMessageBytes);
  if (hasRoom && wanted.mBytes > 0) {
    mParser->Reserve();
  }
  return hasRoom;
}

/** Takes memory for what the kernel receives while nothing more is read behind
 * requests in progress. If there is none, refuses what came behind them and
 * returns false: the connection is read on, and what comes is dropped. */
bool
HttpConnection::TakeUnreadRoom()
{
  const auto& budget = mState->mBudget;
  // The share of small messages is not for what is sent too early.
  bool hasRoom = !budget || mUnreadCharge.Bytes() > 0 ||
                 budget->MayTake(kUnreadBytes, SIZE_MAX);
  if (!hasRoom) {
    Refuse(HttpProgress::NoRoom);
    return false;
  }
  mUnreadCharge.Set(kUnreadBytes);
  return true;
}

/** Reads no further until there is memory. */
void
HttpConnection::AwaitRoom()
{
  if (mWait || mIsRefused) {
    return;
  }
  const ByteBudget& budget = *mState->mBudget;
  bool mayWait = budget.CanEverTake(mParser->Wanted().mBytes) &&
                 budget.MayTake(kUnreadBytes, 0);
  if (!mayWait) {
    Refuse(HttpProgress::NoRoom);
    return;
  }
  ++mState->mCounters.mWaited;
  mWait.emplace(mState->mBudget);
  mUnreadCharge.Set(kUnreadBytes);
  mReceived.Pause(SteadyNow());
  mState->mWaiting.push_back(weak_from_this());
}

void
HttpConnection::EndWait()
{
  mWait.reset();
  mUnreadCharge.Set(0);
  mReceived.Resume(SteadyNow());
}

bool
HttpConnection::TryResume(bool aMayTake)
{
  mUnreadCharge.Set(0);
  if (!aMayTake || !HasRoom() || !TakeRoom()) {
    if (mReceived.StalledFor(SteadyNow()) < mState->mLimits.mRoomTime) {
      mUnreadCharge.Set(kUnreadBytes);
      return false;
    }
    EndWait();
    Refuse(HttpProgress::NoRoom);
    return true;
  }
  EndWait();
  if (!mParser->IsHeadDone()) {
    mBeganAt = SteadyNow();
  }
  Parse();
  Read();
  return true;
}

void
HttpConnection::CountHeld()
{
  if (mPending.empty() && mPending.capacity() > kConnectionBytes) {
    mPending = std::string();
  }
  std::size_t head = mParser->IsHeadDone() ? 0 : mHeadBytes * kHeadFactor;
  mCharge.Set(mIsClosed ? 0 : kConnectionBytes + mPending.capacity() + head);
}

} // namespace vanillascale
