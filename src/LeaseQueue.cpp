#include "LeaseQueue.h"

#include <algorithm>
#include <tuple>

namespace vanillascale {

namespace {

/** Limits the credit and the debt of a priority, so that a priority cannot take
 * all slots with credit that it has accumulated. */
constexpr Duration kMaxCredit = std::chrono::seconds(1);

/** Scales the guaranteed shares above 100 percent, so that rounding never
 * leaves a priority with less than its guarantee. */
constexpr int kGuaranteeMarginPercent = 102;

std::size_t&
CountOf(LeaseQueue& aQueue, const QueueKey& aKey)
{
  return aQueue.mCounts[aKey.mIsLong ? 1 : 0][aKey.mPriority];
}

} // namespace

bool
QueueKey::operator<(const QueueKey& aOther) const
{
  return std::tie(mIsLong, mPriority, mDeadlineAt, mSequence) <
         std::tie(aOther.mIsLong,
                  aOther.mPriority,
                  aOther.mDeadlineAt,
                  aOther.mSequence);
}

bool
Enqueue(LeaseQueue& aQueue, QueuedRequest aQueued)
{
  auto id = std::make_pair(aQueued.mProxy, aQueued.mRequest.mRequest);
  const LeaseRequest& request = aQueued.mRequest;
  auto priority = static_cast<std::uint8_t>(
    std::clamp<std::size_t>(request.mPriority, 1, kPriorityLevels - 1));
  QueueKey key{
    request.mIsLong, priority, aQueued.mDeadlineAt, ++aQueue.mSequence
  };
  if (!aQueue.mKeys.emplace(std::move(id), key).second) {
    return false;
  }
  ++CountOf(aQueue, key);
  aQueue.mEntries.emplace(key, std::move(aQueued));
  return true;
}

QueuedRequest
Dequeue(LeaseQueue& aQueue, const QueueKey& aKey)
{
  auto node = aQueue.mEntries.extract(aKey);
  QueuedRequest queued = std::move(node.mapped());
  aQueue.mKeys.erase({ queued.mProxy, queued.mRequest.mRequest });
  --CountOf(aQueue, aKey);
  return queued;
}

std::optional<QueueKey>
FindQueued(const LeaseQueue& aQueue, const NodeId& aProxy, RequestId aRequest)
{
  auto it = aQueue.mKeys.find({ aProxy, aRequest });
  if (it == aQueue.mKeys.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::size_t
CountUpToPriority(const LeaseQueue& aQueue,
                  bool aIsLong,
                  std::uint8_t aPriority)
{
  const auto& counts = aQueue.mCounts[aIsLong ? 1 : 0];
  std::size_t n = 0;
  for (std::size_t i = 0; i <= aPriority && i < kPriorityLevels; ++i) {
    n += counts[i];
  }
  return n;
}

std::uint8_t
NextPriority(const LeaseQueue& aQueue, bool aIsLong, Duration aExpected)
{
  const auto& counts = aQueue.mCounts[aIsLong ? 1 : 0];
  std::uint8_t first = 0;
  for (std::uint8_t i = kPriorityLevels - 1; i > 0; --i) {
    if (counts[i] == 0) {
      continue;
    }
    bool hasCredit =
      !aIsLong && aQueue.mCredits[i] >= aExpected && aExpected > Duration(0);
    if (hasCredit) {
      return i;
    }
    first = i;
  }
  return first;
}

void
UpdateCredits(LeaseQueue& aQueue,
              bool aIsLong,
              std::uint8_t aPriority,
              Duration aTime,
              unsigned aGuaranteedPercent)
{
  if (aIsLong) {
    return;
  }
  Duration share = aTime * static_cast<int>(aGuaranteedPercent) *
                   kGuaranteeMarginPercent / 10000;
  for (std::uint8_t i = 2; i < kPriorityLevels; ++i) {
    bool hasQueued = aQueue.mCounts[0][i] > 0;
    Duration& credit = aQueue.mCredits[i];
    credit = hasQueued ? credit + share : std::min(credit, Duration(0));
    credit -= i == aPriority ? aTime : Duration(0);
    credit = std::clamp(credit, -kMaxCredit, kMaxCredit);
  }
}

LeaseQueue::Entries::const_iterator
FirstOfPriority(const LeaseQueue& aQueue, bool aIsLong, std::uint8_t aPriority)
{
  return aQueue.mEntries.lower_bound(
    { aIsLong, aPriority, TimePoint::min(), 0 });
}

std::vector<QueueKey>
TimedOutEntries(const LeaseQueue& aQueue, TimePoint aNow)
{
  std::vector<QueueKey> keys;
  for (const auto& [key, queued] : aQueue.mEntries) {
    if (aNow >= queued.mWaitDeadlineAt || aNow >= queued.mDeadlineAt) {
      keys.push_back(key);
    }
  }
  return keys;
}

} // namespace vanillascale
