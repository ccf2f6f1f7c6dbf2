#include "ByteBudget.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** A message up to this size counts as small. It is the largest head with a
 * body of the usual size. */
constexpr std::size_t kSmallMessageBytes = 64UL * 1024;
/** An eighth of the budget is kept for small messages. */
constexpr std::size_t kSmallShare = 8;
/** The part of the machine's memory that may be held for others, in percent.
 * The rest is for the process itself: 12 MB of program, the state of routes and
 * members (32 MB), what the kernel holds unread, and gaps of the allocator. On
 * the smallest machines (160 MB) the large share is 84 MB, room for the largest
 * body (67.1 MB). */
constexpr std::size_t kBudgetPercent = 60;
constexpr std::size_t kBytesPerMb = 1000UL * 1000;
/** Taken for a machine whose memory is not stated: the middle size of the
 * users' machines. */
constexpr unsigned kDefaultMemoryMb = 260;

} // namespace

std::shared_ptr<ByteBudget>
ByteBudget::Make(std::size_t aTotal)
{
  return std::shared_ptr<ByteBudget>(new ByteBudget(aTotal));
}

std::size_t
ByteBudget::LargeTotal() const
{
  return mTotal - mTotal / kSmallShare;
}

bool
ByteBudget::MayTake(std::size_t aBytes, std::size_t aMessageBytes) const
{
  std::size_t total =
    aMessageBytes <= kSmallMessageBytes ? mTotal : LargeTotal();
  return mHeld <= total && aBytes <= total - mHeld;
}

void
ByteBudget::Change(std::size_t aFrom, std::size_t aTo)
{
  mHeld = mHeld - aFrom + aTo;
  mMostHeld = std::max(mMostHeld, mHeld);
}

void
BudgetCharge::Set(std::size_t aBytes)
{
  if (mBudget) {
    mBudget->Change(mBytes, aBytes);
  }
  mBytes = aBytes;
}

std::size_t
BudgetOfMachine(unsigned aMemoryMb)
{
  std::size_t memory =
    (aMemoryMb == 0 ? kDefaultMemoryMb : aMemoryMb) * kBytesPerMb;
  return memory / 100 * kBudgetPercent;
}

} // namespace vanillascale
