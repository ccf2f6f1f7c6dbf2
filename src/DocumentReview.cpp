#include "DocumentReview.h"

#include "DocumentLimits.h"
#include "RouteTable.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace vanillascale {

namespace {

using Findings = std::vector<Finding>;

/** The window over which a quota is enforced (docs/design/hard-load.md). */
constexpr double kQuotaWindowSeconds = 5;
/** A method that no route names, so that only routes for any method match it.
 */
constexpr const char* kUnnamedMethod = "HEAD";

std::string
PlaceOf(const char* aType, const std::string& aName, const char* aMember)
{
  return std::string("/") + aType + "/" + aName + (*aMember ? "/" : "") +
         aMember;
}

std::string
FormatNumber(double aNumber)
{
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%.6g", aNumber);
  return buf;
}

std::string
FormatMs(Duration aTime)
{
  return std::to_string(aTime / std::chrono::milliseconds(1)) + " ms";
}

void
Add(Findings& aFindings,
    FindingKind aKind,
    std::string aPlace,
    std::string aText,
    FindingSeverity aSeverity = FindingSeverity::Warning)
{
  aFindings.push_back(
    { aSeverity, std::move(aPlace), aKind, std::move(aText) });
}

/** Returns whether the first line of a request can contain a path, and the
 * path's part before the query can be equal to it. */
bool
IsRequestPath(const std::string& aPath)
{
  constexpr unsigned char kFirstVisible = 0x21;
  constexpr unsigned char kDelete = 0x7f;
  return std::all_of(aPath.begin(), aPath.end(), [](char aChar) {
    auto byte = static_cast<unsigned char>(aChar);
    return byte >= kFirstVisible && byte != kDelete && aChar != '?' &&
           aChar != '#';
  });
}

/** Looks each route up by a request that only this route should match, with the
 * table that nodes use. */
void
ReviewMatches(const Document& aDocument,
              const ReviewContext& aContext,
              Findings& aFindings)
{
  RouteTable table = RouteTable::Make(aDocument);
  for (const auto& [name, route] : aDocument.mRoutes) {
    if (!IsRequestPath(route.mPath)) {
      Add(aFindings,
          FindingKind::UnmatchablePath,
          PlaceOf("routes", name.mValue, "path"),
          "no request can match: paths of requests have no blanks, control "
          "characters, \"?\" or \"#\"");
      continue;
    }
    if (!route.mHost.empty() && !aContext.mComparesHosts) {
      Add(aFindings,
          FindingKind::HostNotCompared,
          PlaceOf("routes", name.mValue, "host"),
          "no request can match: the proxies of this platform do not compare "
          "hosts");
      continue;
    }
    const RouteName* found =
      table.Find(route.mMethod.empty() ? kUnnamedMethod : route.mMethod,
                 route.mPath,
                 route.mHost);
    if (!found || *found != name) {
      Add(aFindings,
          FindingKind::ShadowedRoute,
          PlaceOf("routes", name.mValue, ""),
          "no request can match: " +
            (found ? "route \"" + found->mValue + "\" matches all of them"
                   : std::string("no host is equal to its host")));
    }
  }
}

void
ReviewRouteTimes(const Document& aDocument,
                 const Route& aRoute,
                 Findings& aFindings)
{
  const std::string& name = aRoute.mName.mValue;
  if (aRoute.mGoal > aRoute.mDeadline) {
    Add(aFindings,
        FindingKind::GoalOverDeadline,
        PlaceOf("routes", name, "goalMs"),
        "the goal of " + FormatMs(aRoute.mGoal) + " is over the deadline of " +
          FormatMs(aRoute.mDeadline));
  }
  if (aDocument.mLimits && aRoute.mDeadline > aDocument.mLimits->mRequestTime) {
    // A note: long work whose requests are received quickly is in order.
    Add(
      aFindings,
      FindingKind::DeadlineOverRequestTime,
      PlaceOf("routes", name, "deadlineMs"),
      "the deadline of " + FormatMs(aRoute.mDeadline) +
        " is over limits/requestMs: a request must have been received within " +
        FormatMs(aDocument.mLimits->mRequestTime),
      FindingSeverity::Note);
  }
}

void
ReviewWeights(const Route& aRoute, Findings& aFindings)
{
  bool isAllZero =
    !aRoute.mShares.empty() &&
    std::all_of(aRoute.mShares.begin(),
                aRoute.mShares.end(),
                [](const RouteShare& aShare) { return aShare.mWeight == 0; });
  if (isAllZero) {
    Add(aFindings,
        FindingKind::ZeroWeight,
        PlaceOf("routes", aRoute.mName.mValue, "shares"),
        "all weights are 0: service \"" +
          aRoute.mShares.front().mService.mValue + "\" gets every request");
    return;
  }
  for (const RouteShare& it : aRoute.mShares) {
    if (it.mWeight == 0) {
      Add(aFindings,
          FindingKind::ZeroWeight,
          PlaceOf("routes", aRoute.mName.mValue, "shares"),
          "the weight of service \"" + it.mService.mValue +
            "\" is 0: it gets no request");
    }
  }
}

/** Compares a route's attempts with the retry budget of each of its services.
 */
void
ReviewAttempts(const Document& aDocument,
               const Route& aRoute,
               Findings& aFindings)
{
  for (const ServiceName& it : ServicesOf(aRoute)) {
    const Service& service = aDocument.mServices.at(it);
    unsigned retries = aRoute.mAttempts - 1;
    if (retries == 0) {
      continue;
    }
    std::string place = PlaceOf("routes", aRoute.mName.mValue, "attempts");
    std::string attempts = std::to_string(aRoute.mAttempts) + " attempts";
    if (service.mRetryPercent == 0 || service.mRetryBurst == 0) {
      Add(aFindings,
          FindingKind::AttemptsOverBudget,
          std::move(place),
          attempts + ", but service \"" + it.mValue +
            "\" has no retry budget (" +
            (service.mRetryBurst == 0 ? "retryBurst" : "retryPercent") +
            " is 0)");
    } else if (retries > service.mRetryBurst) {
      Add(aFindings,
          FindingKind::AttemptsOverBudget,
          std::move(place),
          attempts + ", but the retry budget of service \"" + it.mValue +
            "\" never holds more than " + std::to_string(service.mRetryBurst) +
            " retries (retryBurst)");
    }
  }
}

/** The targets of a service in the platform's VM list. */
struct VmGroup
{
  std::size_t mCount = 0;
  std::uint64_t mSlots = 0;
  std::uint64_t mMinSlots = UINT64_MAX;
};

std::map<std::string, VmGroup>
GroupVms(const std::vector<Vm>& aVms)
{
  std::map<std::string, VmGroup> groups;
  for (const Vm& it : aVms) {
    if (!it.mIsLeaving) {
      VmGroup& group = groups[it.mGroup];
      ++group.mCount;
      group.mSlots += it.mSlots;
      group.mMinSlots = std::min<std::uint64_t>(group.mMinSlots, it.mSlots);
    }
  }
  return groups;
}

/** A service's floor, alone and against the targets that it has. */
void
ReviewFloor(const Service& aService, const VmGroup* aGroup, Findings& aFindings)
{
  std::string text;
  if (aService.mFloorPercent >= kMaxPercent) {
    text = "a floor of 100% forbids the ejection of any target";
  } else if (aGroup && aGroup->mSlots > 0) {
    std::uint64_t left = aGroup->mSlots - aGroup->mMinSlots;
    if (left * kMaxPercent < aGroup->mSlots * aService.mFloorPercent) {
      text = "a floor of " + std::to_string(aService.mFloorPercent) +
             "% forbids the ejection of any of its " +
             std::to_string(aGroup->mCount) + " targets (" +
             std::to_string(aGroup->mSlots) + " slots)";
    }
  }
  if (!text.empty()) {
    Add(aFindings,
        FindingKind::FloorForbidsEjection,
        PlaceOf("services", aService.mName.mValue, "floorPercent"),
        std::move(text));
  }
}

/** The priorities of the requests that a service can get. */
struct PriorityLevels
{
  std::set<unsigned> mOfRoutes;
  bool mHasOpenRoute = false;
};

/** Each level of priority below the first is guaranteed a share of slot time;
 * accounts multiply the levels. */
void
ReviewGuarantees(const Service& aService,
                 const PriorityLevels& aLevels,
                 const std::set<unsigned>& aAccountPriorities,
                 Findings& aFindings)
{
  std::size_t accounts = aAccountPriorities.size();
  // Requests without a key have the priority of the first accounts.
  accounts += aLevels.mHasOpenRoute && aAccountPriorities.count(1) == 0 ? 1 : 0;
  std::size_t levels =
    aLevels.mOfRoutes.size() * std::max<std::size_t>(accounts, 1);
  std::size_t guaranteed =
    levels > 0 ? (levels - 1) * aService.mGuaranteedPercent : 0;
  if (guaranteed > kMaxPercent) {
    Add(aFindings,
        FindingKind::GuaranteesOverCapacity,
        PlaceOf("services", aService.mName.mValue, "guaranteedPercent"),
        std::to_string(levels) + " levels of priority with " +
          std::to_string(aService.mGuaranteedPercent) +
          "% for each below the first guarantee " + std::to_string(guaranteed) +
          "% of the slot time");
  }
}

void
ReviewServices(const Document& aDocument,
               const ReviewContext& aContext,
               Findings& aFindings)
{
  std::map<ServiceName, PriorityLevels> levels;
  for (const auto& [name, route] : aDocument.mRoutes) {
    for (const ServiceName& it : ServicesOf(route)) {
      levels[it].mOfRoutes.insert(route.mPriority);
      levels[it].mHasOpenRoute = levels[it].mHasOpenRoute || route.mIsOpen;
    }
  }
  std::set<unsigned> accountPriorities;
  for (const auto& [name, account] : aDocument.mAccounts) {
    accountPriorities.insert(account.mPriority);
  }
  std::map<std::string, VmGroup> groups;
  if (aContext.mVms) {
    groups = GroupVms(*aContext.mVms);
  }
  for (const auto& [name, service] : aDocument.mServices) {
    if (levels.count(name) == 0) {
      Add(aFindings,
          FindingKind::UnusedService,
          PlaceOf("services", name.mValue, ""),
          "no route sends requests to it");
    }
    auto group = groups.find(service.mVmGroup);
    bool hasVms = group != groups.end();
    if (aContext.mVms && !hasVms) {
      Add(aFindings,
          FindingKind::EmptyVmGroup,
          PlaceOf("services", name.mValue, "vmGroup"),
          "the platform lists no VM of group \"" + service.mVmGroup +
            "\" that is not leaving");
    }
    ReviewFloor(service, hasVms ? &group->second : nullptr, aFindings);
    ReviewGuarantees(service, levels[name], accountPriorities, aFindings);
  }
}

void
ReviewQuota(const ClientAccount& aAccount, Findings& aFindings)
{
  std::string place = PlaceOf("accounts", aAccount.mName.mValue, "burst");
  double refill = aAccount.mRate * kQuotaWindowSeconds;
  if (aAccount.mRate <= 0) {
    if (aAccount.mBurst > 0) {
      Add(aFindings,
          FindingKind::BurstWithoutRate,
          std::move(place),
          "a burst of " + FormatNumber(aAccount.mBurst) +
            " has no effect without a rate");
    }
  } else if (aAccount.mBurst < 1) {
    Add(aFindings,
        FindingKind::BurstBelowOne,
        std::move(place),
        "a burst of " + FormatNumber(aAccount.mBurst) +
          " is less than one request, with a rate of " +
          FormatNumber(aAccount.mRate) + " requests/s");
  } else if (aAccount.mBurst > refill) {
    Add(aFindings,
        FindingKind::BurstOverRefill,
        std::move(place),
        "a burst of " + FormatNumber(aAccount.mBurst) + " is more than the " +
          FormatNumber(refill) + " requests that the rate of " +
          FormatNumber(aAccount.mRate) +
          " requests/s refills in the quota window of " +
          FormatNumber(kQuotaWindowSeconds) + " s");
  }
}

void
ReviewAccounts(const Document& aDocument, Findings& aFindings)
{
  std::size_t withKeys = 0;
  for (const auto& [name, account] : aDocument.mAccounts) {
    if (account.mKeys.empty()) {
      Add(aFindings,
          FindingKind::AccountWithoutKeys,
          PlaceOf("accounts", name.mValue, "keys"),
          "has no keys: no request can belong to it");
    }
    withKeys += account.mKeys.empty() ? 0 : 1;
    ReviewQuota(account, aFindings);
  }
  bool needsNoKeys =
    std::all_of(aDocument.mRoutes.begin(),
                aDocument.mRoutes.end(),
                [](const auto& aEntry) { return aEntry.second.mIsOpen; });
  if (withKeys > 0 && needsNoKeys && !aDocument.mRoutes.empty()) {
    // One finding for all accounts: they have it in common.
    Add(aFindings,
        FindingKind::UnneededKeys,
        "/accounts",
        "no route needs a key, since all " +
          std::to_string(aDocument.mRoutes.size()) + " are open: the keys of " +
          std::to_string(withKeys) + " accounts admit nobody else");
  }
}

} // namespace

const char*
FindingKindName(FindingKind aKind)
{
  switch (aKind) {
    case FindingKind::Invalid:
      return "invalid";
    case FindingKind::ShadowedRoute:
      return "shadowed-route";
    case FindingKind::UnmatchablePath:
      return "unmatchable-path";
    case FindingKind::HostNotCompared:
      return "host-not-compared";
    case FindingKind::UnusedService:
      return "unused-service";
    case FindingKind::EmptyVmGroup:
      return "empty-vm-group";
    case FindingKind::AccountWithoutKeys:
      return "account-without-keys";
    case FindingKind::UnneededKeys:
      return "unneeded-keys";
    case FindingKind::GoalOverDeadline:
      return "goal-over-deadline";
    case FindingKind::DeadlineOverRequestTime:
      return "deadline-over-request-time";
    case FindingKind::AttemptsOverBudget:
      return "attempts-over-budget";
    case FindingKind::BurstBelowOne:
      return "burst-below-one";
    case FindingKind::BurstOverRefill:
      return "burst-over-refill";
    case FindingKind::BurstWithoutRate:
      return "burst-without-rate";
    case FindingKind::ZeroWeight:
      return "zero-weight";
    case FindingKind::FloorForbidsEjection:
      return "floor-forbids-ejection";
    case FindingKind::GuaranteesOverCapacity:
      return "guarantees-over-capacity";
    case FindingKind::OtherEnvironment:
      return "other-environment";
    case FindingKind::RevisionNotNewer:
      return "revision-not-newer";
    case FindingKind::KeysNoLongerNeeded:
      return "keys-no-longer-needed";
    case FindingKind::KeysNowNeeded:
      return "keys-now-needed";
    case FindingKind::LimitsNotSent:
      return "limits-not-sent";
    case FindingKind::NotCompared:
      return "not-compared";
  }
  return "unknown";
}

const char*
SeverityName(FindingSeverity aSeverity)
{
  switch (aSeverity) {
    case FindingSeverity::Error:
      return "error";
    case FindingSeverity::Warning:
      return "warning";
    case FindingSeverity::Note:
      return "note";
  }
  return "unknown";
}

std::vector<Finding>
FindingsOf(const std::vector<DocumentFault>& aFaults)
{
  Findings findings;
  for (const DocumentFault& it : aFaults) {
    Add(findings,
        FindingKind::Invalid,
        it.mPointer,
        it.mProblem,
        FindingSeverity::Error);
  }
  return findings;
}

std::vector<Finding>
ReviewDocument(const Document& aDocument, const ReviewContext& aContext)
{
  Findings findings;
  ReviewMatches(aDocument, aContext, findings);
  for (const auto& [name, route] : aDocument.mRoutes) {
    ReviewRouteTimes(aDocument, route, findings);
    ReviewAttempts(aDocument, route, findings);
    ReviewWeights(route, findings);
  }
  ReviewServices(aDocument, aContext, findings);
  ReviewAccounts(aDocument, findings);
  return findings;
}

} // namespace vanillascale
