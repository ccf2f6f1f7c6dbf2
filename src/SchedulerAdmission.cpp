#include "SchedulerAdmission.h"

#include "EventNumbers.h"
#include "SchedulerEvidence.h"
#include "SchedulerPlacement.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** The time that a request may wait for a slot, in percent of its deadline. */
constexpr int kMaxWaitPercent = 9;
/** The same for a request whose intent is in the log: a refusal must leave time
 * to end the intent. */
constexpr int kMaxWaitPercentWithIntent = 6;

const char*
ReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overload:
      return "overload";
    case RefusalReason::DeadlineTooShort:
      return "deadline-too-short";
    case RefusalReason::AccountLimit:
      return "account-limit";
    case RefusalReason::HarmfulRequest:
      return "harmful-request";
    case RefusalReason::RetryBudget:
      return "retry-budget";
    case RefusalReason::NoTarget:
      return "no-target";
  }
  return "unknown";
}

/** Returns whether a request would wait for a slot for longer than aMaxWait,
 * even if no further request entered the queue ahead of it. */
bool
IsQueueTooLong(const SchedulerState& aState,
               TimePoint aNow,
               const LeaseRequest& aRequest,
               Duration aMaxWait)
{
  if (aRequest.mIsLong) {
    return false;
  }
  Duration slotTime = ExpectedSlotTime(aState);
  std::size_t ahead =
    CountUpToPriority(aState.mQueue, false, aRequest.mPriority);
  double slotRate = 1 / std::chrono::duration<double>(slotTime).count();
  // Without a usable target the wait is that of a single slot.
  double rate = ServiceRate(aState.mPool, aNow, slotTime);
  std::chrono::duration<double> wait(static_cast<double>(ahead) /
                                     (rate > 0 ? rate : slotRate));
  return wait > aMaxWait;
}

/** Returns the mean latency of a route, 0 if there is no sample of it. */
Duration
MeanLatencyOf(const SchedulerState& aState, std::uint32_t aRoute)
{
  auto it = aState.mBaselines.find(aRoute);
  return it == aState.mBaselines.end() ? Duration(0) : it->second.mMean;
}

/** Takes a token of the quota of a request's account; false if none is left. */
bool
TakeQuota(SchedulerState& aState, TimePoint aNow, const LeaseRequest& aRequest)
{
  return !aState.mQuota ||
         TakeQuotaToken(*aState.mQuota, aNow, aRequest.mAccount, 1) ==
           QuotaDecision::Taken;
}

} // namespace

Duration
MaxQueueWait(const SchedulerState& aState, const LeaseRequest& aRequest)
{
  int percent =
    aRequest.mIsIdempotent ? kMaxWaitPercent : kMaxWaitPercentWithIntent;
  Duration minWait = aRequest.mDeadline * percent / 100;
  if (aRequest.mGoal == Duration(0)) {
    return minWait;
  }
  Duration latency = MeanLatencyOf(aState, aRequest.mRoute);
  return std::max(std::min(aRequest.mGoal, aRequest.mDeadline) - latency,
                  minWait);
}

std::optional<RefusalReason>
CheckAdmission(SchedulerState& aState,
               TimePoint aNow,
               const Service& aSettings,
               const NodeId& aProxy,
               const LeaseRequest& aRequest)
{
  if (IsHarmful(aState.mHarmful, aNow, aRequest.mFingerprint)) {
    return RefusalReason::HarmfulRequest;
  }
  if (aRequest.mDeadline <= Duration(0)) {
    return RefusalReason::DeadlineTooShort;
  }
  if (aRequest.mIsRetry) {
    if (aState.mRetryTokens < 1) {
      return RefusalReason::RetryBudget;
    }
    aState.mRetryTokens -= 1;
    ++aState.mCounters.mRetries;
    return std::nullopt;
  }
  if (!TakeAccountToken(
        aState.mAccounts, aNow, aRequest.mAccount, aSettings.mAccountLimit)) {
    return RefusalReason::AccountLimit;
  }
  if (!TakeQuota(aState, aNow, aRequest)) {
    return RefusalReason::AccountLimit;
  }
  Duration maxWait = MaxQueueWait(aState, aRequest);
  if (AreAllPausedFor(aState.mPool, aNow, aProxy, aNow + maxWait)) {
    ReturnQuota(aState, aNow, aRequest);
    return RefusalReason::NoTarget;
  }
  if (IsQueueTooLong(aState, aNow, aRequest, maxWait)) {
    ReturnQuota(aState, aNow, aRequest);
    return RefusalReason::Overload;
  }
  return std::nullopt;
}

void
ReturnQuota(SchedulerState& aState,
            TimePoint aNow,
            const LeaseRequest& aRequest)
{
  if (aState.mQuota && !aRequest.mIsRetry) {
    ReturnQuotaToken(*aState.mQuota, aNow, aRequest.mAccount);
  }
}

void
Refuse(SchedulerState& aState,
       TimePoint aNow,
       const NodeId& aProxy,
       const LeaseRequest& aRequest,
       RefusalReason aReason,
       Effects& aEffects)
{
  ++aState.mCounters.mRefusals[static_cast<std::size_t>(aReason)];
  bool isLost = aReason == RefusalReason::RetryBudget ||
                aReason == RefusalReason::AccountLimit;
  if (aReason == RefusalReason::Overload ||
      aReason == RefusalReason::NoTarget ||
      (isLost && aState.mPool.mWarmSet.mIsEnabled)) {
    CountRecentRequest(aState, aNow, false);
  }
  bool isForQuota = aState.mQuota && aReason == RefusalReason::AccountLimit;
  aEffects.push_back(WriteEvent{
    kEventSlotRefused,
    "request=" + aRequest.mName + " service=" + aState.mService.mValue +
      " reason=" + ReasonName(aReason) + " asked_by=" + aProxy.mValue +
      " queued=" + std::to_string(aState.mQueue.mEntries.size()) +
      " open_slots=" + std::to_string(OpenSlots(aState.mPool, aNow)) +
      " limited_targets=" + std::to_string(CountLimitedTargets(aState.mPool)) +
      " leaving_targets=" + std::to_string(CountLeavingTargets(aState.mPool)) +
      " paused_targets=" +
      std::to_string(CountPausedTargets(aState.mPool, aNow)) +
      " leases=" + std::to_string(aState.mLeases.size()) +
      " retry_tokens=" + std::to_string(aState.mRetryTokens) +
      (isForQuota ? DescribeQuota(*aState.mQuota, aRequest.mAccount) : "") });
  Duration retryAfter =
    isForQuota ? TimeUntilQuotaToken(*aState.mQuota, aNow, aRequest.mAccount)
               : Duration(0);
  aEffects.push_back(SendToPeer{
    aProxy, LeaseRefusal{ aRequest.mRequest, aReason, retryAfter } });
}

void
RefuseTimedOut(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  bool hasTargets = UsableSlots(aState.mPool, aNow) > 0;
  for (const QueueKey& it : TimedOutEntries(aState.mQueue, aNow)) {
    QueuedRequest queued = Dequeue(aState.mQueue, it);
    ReturnQuota(aState, aNow, queued.mRequest);
    Refuse(aState,
           aNow,
           queued.mProxy,
           queued.mRequest,
           hasTargets ? RefusalReason::Overload : RefusalReason::NoTarget,
           aEffects);
  }
}

} // namespace vanillascale
