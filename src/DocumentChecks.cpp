#include "DocumentChecks.h"

#include "DocumentAccounts.h"
#include "DocumentLimits.h"

#include <algorithm>

namespace vanillascale {

namespace {

using Faults = std::vector<DocumentFault>;

/** Records a fault if a value is not in the range from aMin to aMax. */
void
CheckRange(const std::string& aPointer,
           std::uint64_t aValue,
           std::uint64_t aMin,
           std::uint64_t aMax,
           Faults& aFaults)
{
  if (aValue < aMin || aValue > aMax) {
    aFaults.push_back({ aPointer,
                        "must be from " + std::to_string(aMin) + " to " +
                          std::to_string(aMax) + ", is " +
                          std::to_string(aValue) });
  }
}

/** Records a fault if a time in whole milliseconds is not in the range from
 * aMin to aMax. */
void
CheckMilliseconds(const std::string& aPointer,
                  Duration aTime,
                  std::uint64_t aMin,
                  std::uint64_t aMax,
                  Faults& aFaults)
{
  auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  CheckRange(aPointer,
             static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)),
             aMin,
             aMax,
             aFaults);
}

void
CheckLimits(const CallerLimits& aLimits, Faults& aFaults)
{
  CheckRange("/limits/headBytes",
             aLimits.mHeadBytes,
             kMinHeadBytes,
             kMaxHeadBytes,
             aFaults);
  CheckRange(
    "/limits/bodyBytes", aLimits.mBodyBytes, 0, kMaxBodyBytes, aFaults);
  CheckMilliseconds("/limits/requestMs",
                    aLimits.mRequestTime,
                    kMinDeadlineMs,
                    kMaxDeadlineMs,
                    aFaults);
  CheckMilliseconds("/limits/idleMs",
                    aLimits.mIdleTime,
                    kMinDeadlineMs,
                    kMaxDeadlineMs,
                    aFaults);
}

void
CheckService(const Service& aService, Faults& aFaults)
{
  std::string pointer = "/services/" + aService.mName.mValue;
  CheckRange(pointer + "/name",
             aService.mName.mValue.size(),
             1,
             kMaxNameLength,
             aFaults);
  CheckRange(
    pointer + "/vmGroup", aService.mVmGroup.size(), 1, kMaxNameLength, aFaults);
  CheckRange(
    pointer + "/floorPercent", aService.mFloorPercent, 1, kMaxPercent, aFaults);
  CheckRange(pointer + "/accountLimit",
             aService.mAccountLimit,
             0,
             kMaxAccountLimit,
             aFaults);
  CheckRange(pointer + "/guaranteedPercent",
             aService.mGuaranteedPercent,
             0,
             kMaxPercent / 2,
             aFaults);
  CheckRange(
    pointer + "/retryPercent", aService.mRetryPercent, 0, kMaxPercent, aFaults);
  CheckRange(
    pointer + "/retryBurst", aService.mRetryBurst, 0, kMaxRetryBurst, aFaults);
  CheckRange(
    pointer + "/hedgePercent", aService.mHedgePercent, 0, kMaxPercent, aFaults);
}

void
CheckRoute(const Route& aRoute, Faults& aFaults)
{
  std::string pointer = "/routes/" + aRoute.mName.mValue;
  CheckRange(
    pointer + "/name", aRoute.mName.mValue.size(), 1, kMaxNameLength, aFaults);
  if (!aRoute.mShares.empty() && !aRoute.mService.mValue.empty()) {
    aFaults.push_back(
      { pointer + "/shares", "must exclude the member service" });
  }
  for (const RouteShare& it : aRoute.mShares) {
    CheckRange(pointer + "/shares", it.mWeight, 0, kMaxWeight, aFaults);
  }
  CheckRange(
    pointer + "/host", aRoute.mHost.size(), 0, kMaxPathLength, aFaults);
  CheckRange(
    pointer + "/path", aRoute.mPath.size(), 1, kMaxPathLength, aFaults);
  if (!IsWellFormedPath(aRoute.mPath)) {
    aFaults.push_back({ pointer + "/path", kPathProblem });
  }
  CheckRange(pointer + "/priority", aRoute.mPriority, 1, kMaxPriority, aFaults);
  CheckMilliseconds(pointer + "/deadlineMs",
                    aRoute.mDeadline,
                    kMinDeadlineMs,
                    kMaxDeadlineMs,
                    aFaults);
  CheckMilliseconds(
    pointer + "/goalMs", aRoute.mGoal, 0, kMaxDeadlineMs, aFaults);
  CheckRange(pointer + "/attempts", aRoute.mAttempts, 1, kMaxAttempts, aFaults);
  CheckRange(pointer + "/hedgePercent",
             aRoute.mHedgePercent.value_or(0),
             0,
             kMaxPercent,
             aFaults);
}

} // namespace

std::vector<DocumentFault>
CheckDocument(const Document& aDocument)
{
  Faults faults;
  CheckRange(
    "/environment", aDocument.mEnvironment.size(), 1, kMaxNameLength, faults);
  if (aDocument.mLimits) {
    CheckLimits(*aDocument.mLimits, faults);
  }
  for (const auto& [name, service] : aDocument.mServices) {
    CheckService(service, faults);
  }
  for (const auto& [name, route] : aDocument.mRoutes) {
    CheckRoute(route, faults);
  }
  for (const auto& [name, account] : aDocument.mAccounts) {
    Faults accountFaults = CheckAccount(account);
    faults.insert(faults.end(), accountFaults.begin(), accountFaults.end());
  }
  return faults.empty() ? CheckReferences(aDocument) : faults;
}

} // namespace vanillascale
