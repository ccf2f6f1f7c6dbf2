#include "EntryOrders.h"

namespace vanillascale {

namespace {

/** How long orders are kept: the store executes writes that it did not answer
 * up to some seconds late. */
constexpr Duration kOrderRetention = std::chrono::seconds(30);
constexpr Duration kForgetInterval = std::chrono::seconds(1);

void
EraseExpired(std::map<std::string, EntryOrders::Remembered>& aOrders,
             TimePoint aNow)
{
  for (auto it = aOrders.begin(); it != aOrders.end();) {
    it = aNow >= it->second.mForgetAt ? aOrders.erase(it) : std::next(it);
  }
}

} // namespace

bool
IsLater(const EntryOrder& aKnown, const EntryOrder& aOrder)
{
  return aOrder.mEpoch != 0 && aOrder.mEpoch == aKnown.mEpoch &&
         aOrder.mSequence > aKnown.mSequence;
}

bool
IsOutdated(EntryOrders& aOrders,
           TimePoint aNow,
           const KnownEntry& aKnown,
           const FeedEntry& aEntry,
           EntrySource aSource)
{
  const EntryOrder& order = aEntry.mOrder;
  const EntryOrder& known = aKnown.mOrder;
  if (order.mEpoch == 0 || known.mEpoch == 0 || order.mEpoch > known.mEpoch) {
    return false;
  }
  if (order.mEpoch == known.mEpoch) {
    return order.mSequence < known.mSequence ||
           (aKnown.mIsRemoved && order.mSequence == known.mSequence);
  }
  if (aSource == EntrySource::Peer) {
    return false;
  }
  EntryOrders::Remembered& lower = aOrders.mLowerEpochs[aEntry.mKey];
  bool isSecond = IsLater(lower.mOrder, order);
  lower = { order, aNow + kOrderRetention };
  return !isSecond;
}

EntryOrder
FindRemovedOrder(const EntryOrders& aOrders, const std::string& aKey)
{
  auto it = aOrders.mRemoved.find(aKey);
  return it == aOrders.mRemoved.end() ? EntryOrder{} : it->second.mOrder;
}

void
RecordRemoval(EntryOrders& aOrders, TimePoint aNow, const FeedEntry& aEntry)
{
  if (aEntry.mOrder.mEpoch != 0) {
    aOrders.mRemoved[aEntry.mKey] = { aEntry.mOrder, aNow + kOrderRetention };
  }
}

void
RecordApplied(EntryOrders& aOrders, const std::string& aKey)
{
  aOrders.mRemoved.erase(aKey);
  aOrders.mLowerEpochs.erase(aKey);
}

void
ForgetOldOrders(EntryOrders& aOrders, TimePoint aNow)
{
  if (aNow < aOrders.mNextForgetAt) {
    return;
  }
  aOrders.mNextForgetAt = aNow + kForgetInterval;
  EraseExpired(aOrders.mRemoved, aNow);
  EraseExpired(aOrders.mLowerEpochs, aNow);
}

} // namespace vanillascale
