#include "DocumentDifferences.h"

#include "DocumentAccounts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillascale {

namespace {

using Json = nlohmann::json;
using Differences = std::vector<ObjectDifference>;

constexpr const char* kDigestsMember = "keyDigests";

std::string
MemberText(const Json& aObject, const std::string& aMember)
{
  auto it = aObject.find(aMember);
  return it == aObject.end() ? "" : it->dump();
}

/** Returns the members in which two objects differ, except the digests of keys.
 */
std::vector<MemberDifference>
CompareMembers(const Json& aFrom, const Json& aTo)
{
  Json names = aFrom;
  names.update(aTo);
  std::vector<MemberDifference> members;
  for (const auto& it : names.items()) {
    std::string from = MemberText(aFrom, it.key());
    std::string to = MemberText(aTo, it.key());
    if (from != to && it.key() != kDigestsMember) {
      members.push_back({ it.key(), std::move(from), std::move(to) });
    }
  }
  return members;
}

/** Returns the number of keys in aKeys that are not in aOthers. */
std::size_t
CountMissing(std::vector<KeyDigest> aKeys, std::vector<KeyDigest> aOthers)
{
  std::sort(aKeys.begin(), aKeys.end());
  std::sort(aOthers.begin(), aOthers.end());
  std::vector<KeyDigest> missing;
  std::set_difference(aKeys.begin(),
                      aKeys.end(),
                      aOthers.begin(),
                      aOthers.end(),
                      std::back_inserter(missing));
  return missing.size();
}

void
CountKeys(const ClientAccount* aFrom,
          const ClientAccount* aTo,
          ObjectDifference& aDifference)
{
  std::vector<KeyDigest> from = aFrom ? aFrom->mKeys : std::vector<KeyDigest>();
  std::vector<KeyDigest> to = aTo ? aTo->mKeys : std::vector<KeyDigest>();
  aDifference.mAddedKeys = CountMissing(to, from);
  aDifference.mRemovedKeys = CountMissing(from, to);
}

/** Services and routes have no keys. */
template<typename Object>
void
CountKeys(const Object*, const Object*, ObjectDifference&)
{
}

/** Returns whether two objects are certainly equal, at less cost than by their
 * texts. */
bool
IsSame(const ClientAccount& aLeft, const ClientAccount& aRight)
{
  return aLeft.mKeys == aRight.mKeys && aLeft.mPriority == aRight.mPriority &&
         aLeft.mRate == aRight.mRate && aLeft.mBurst == aRight.mBurst;
}

template<typename Object>
bool
IsSame(const Object&, const Object&)
{
  return false;
}

template<typename Object, typename Formatter>
void
CompareObjects(const std::map<decltype(Object::mName), Object>& aFrom,
               const std::map<decltype(Object::mName), Object>& aTo,
               const char* aType,
               Formatter aFormatter,
               Differences& aInto)
{
  for (const auto& [name, object] : aTo) {
    ObjectDifference difference{
      DifferenceKind::Added, aType, name.mValue, {}, 0, 0
    };
    auto old = aFrom.find(name);
    if (old == aFrom.end()) {
      CountKeys(static_cast<const Object*>(nullptr), &object, difference);
      aInto.push_back(std::move(difference));
    } else if (!IsSame(old->second, object)) {
      difference.mKind = DifferenceKind::Changed;
      std::string from = aFormatter(old->second);
      std::string to = aFormatter(object);
      if (from != to) {
        difference.mMembers =
          CompareMembers(Json::parse(from), Json::parse(to));
        CountKeys(&old->second, &object, difference);
        bool hasChanged = !difference.mMembers.empty() ||
                          difference.mAddedKeys + difference.mRemovedKeys > 0;
        if (hasChanged) {
          aInto.push_back(std::move(difference));
        }
      }
    }
  }
  for (const auto& [name, object] : aFrom) {
    if (aTo.count(name) == 0) {
      ObjectDifference difference{
        DifferenceKind::Removed, aType, name.mValue, {}, 0, 0
      };
      CountKeys(&object, static_cast<const Object*>(nullptr), difference);
      aInto.push_back(std::move(difference));
    }
  }
}

/** Returns the limits as they stand in a document; an empty object if there are
 * none. */
Json
LimitsToJson(const Document& aDocument)
{
  Document limits;
  limits.mLimits = aDocument.mLimits;
  return Json::parse(FormatDocument(limits)).value("limits", Json::object());
}

void
CompareLimits(const Document& aFrom, const Document& aTo, Differences& aInto)
{
  ObjectDifference difference{
    DifferenceKind::Changed, "limits", "", {}, 0, 0
  };
  if (aFrom.mLimits.has_value() != aTo.mLimits.has_value()) {
    difference.mKind =
      aTo.mLimits ? DifferenceKind::Added : DifferenceKind::Removed;
    aInto.push_back(std::move(difference));
    return;
  }
  difference.mMembers = CompareMembers(LimitsToJson(aFrom), LimitsToJson(aTo));
  if (!difference.mMembers.empty()) {
    aInto.push_back(std::move(difference));
  }
}

std::size_t
CountClosedRoutes(const Document& aDocument)
{
  std::size_t count = 0;
  for (const auto& [name, route] : aDocument.mRoutes) {
    count += route.mIsOpen ? 0 : 1;
  }
  return count;
}

} // namespace

std::vector<ObjectDifference>
CompareDocuments(const Document& aFrom, const Document& aTo)
{
  Differences differences;
  CompareLimits(aFrom, aTo, differences);
  CompareObjects<Service>(
    aFrom.mServices, aTo.mServices, "service", FormatService, differences);
  CompareObjects<Route>(
    aFrom.mRoutes, aTo.mRoutes, "route", FormatRoute, differences);
  CompareObjects<ClientAccount>(
    aFrom.mAccounts, aTo.mAccounts, "account", FormatAccount, differences);
  return differences;
}

std::vector<Finding>
ReviewTransition(const Document& aFrom, const Document& aTo)
{
  std::vector<Finding> findings;
  bool isFirst = aFrom.mEnvironment.empty();
  if (!isFirst && aFrom.mEnvironment != aTo.mEnvironment) {
    findings.push_back({ FindingSeverity::Error,
                         "/environment",
                         FindingKind::OtherEnvironment,
                         "is \"" + aTo.mEnvironment + "\", but \"" +
                           aFrom.mEnvironment +
                           "\" is in force: nodes reject the document" });
  }
  bool isOlder = aFrom.mRevision > 0 && aTo.mRevision <= aFrom.mRevision;
  if (isOlder && !CompareDocuments(aFrom, aTo).empty()) {
    findings.push_back({ FindingSeverity::Error,
                         "/revision",
                         FindingKind::RevisionNotNewer,
                         "is " + std::to_string(aTo.mRevision) + ", but " +
                           std::to_string(aFrom.mRevision) +
                           " is in force: nodes reject the document" });
  }
  if (!aFrom.mAccounts.empty() && aTo.mAccounts.empty()) {
    findings.push_back({ FindingSeverity::Warning,
                         "/accounts",
                         FindingKind::KeysNoLongerNeeded,
                         "the document has no accounts any more: requests of "
                         "all routes are served without a key" });
  }
  // A first document refuses nobody who was served before.
  bool hadRoutes = !aFrom.mRoutes.empty();
  std::size_t closed = CountClosedRoutes(aTo);
  if (hadRoutes && aFrom.mAccounts.empty() && !aTo.mAccounts.empty() &&
      closed > 0) {
    findings.push_back({ FindingSeverity::Warning,
                         "/accounts",
                         FindingKind::KeysNowNeeded,
                         "the version in force has no accounts: from now on, "
                         "requests of " +
                           std::to_string(closed) +
                           " routes are refused without a key" });
  }
  return findings;
}

const char*
DifferenceKindName(DifferenceKind aKind)
{
  switch (aKind) {
    case DifferenceKind::Added:
      return "added";
    case DifferenceKind::Removed:
      return "removed";
    case DifferenceKind::Changed:
      return "changed";
  }
  return "unknown";
}

} // namespace vanillascale
