#include "Document.h"

#include "DocumentAccounts.h"
#include "DocumentLimits.h"
#include "ObjectReader.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>

namespace vanillascale {

namespace {

using Json = nlohmann::json;
using Faults = std::vector<DocumentFault>;

/** Reads one entry of the member "services". */
Service
ReadService(const Json& aObject, const std::string& aPointer, Faults& aFaults)
{
  ObjectReader reader(aObject, aPointer, aFaults);
  Service service;
  service.mName = ServiceName(reader.ReadString("name"));
  service.mVmGroup = reader.ReadString("vmGroup");
  service.mFloorPercent =
    reader.ReadUnsigned("floorPercent", 1, kMaxPercent, std::nullopt);
  service.mAccountLimit =
    reader.ReadUnsigned("accountLimit", 0, kMaxAccountLimit, 0U);
  service.mGuaranteedPercent =
    reader.ReadUnsigned("guaranteedPercent", 0, kMaxPercent / 2, 5U);
  service.mRetryPercent =
    reader.ReadUnsigned("retryPercent", 0, kMaxPercent, kDefaultRetryPercent);
  service.mRetryBurst =
    reader.ReadUnsigned("retryBurst", 0, kMaxRetryBurst, kDefaultRetryBurst);
  service.mConcentrate = reader.ReadBool("concentrate", false);
  service.mHedgePercent =
    reader.ReadUnsigned("hedgePercent", 0, kMaxPercent, 0U);
  reader.RejectUnknownMembers();
  return service;
}

/** Reads the member "shares" of a route. */
std::vector<RouteShare>
ReadShares(const Json& aList, const std::string& aPointer, Faults& aFaults)
{
  std::vector<RouteShare> shares;
  std::size_t index = 0;
  for (const Json& it : aList) {
    ObjectReader reader(it, aPointer + "/" + std::to_string(index++), aFaults);
    RouteShare share;
    share.mService = ServiceName(reader.ReadString("service"));
    share.mWeight = reader.ReadUnsigned("weight", 0, kMaxWeight, std::nullopt);
    reader.RejectUnknownMembers();
    shares.push_back(std::move(share));
  }
  return shares;
}

/** Reads the member "limits". */
CallerLimits
ReadLimits(const Json& aObject, const std::string& aPointer, Faults& aFaults)
{
  ObjectReader reader(aObject, aPointer, aFaults);
  CallerLimits limits;
  limits.mHeadBytes = reader.ReadUnsigned(
    "headBytes", kMinHeadBytes, kMaxHeadBytes, std::nullopt);
  limits.mBodyBytes =
    reader.ReadUnsigned("bodyBytes", 0, kMaxBodyBytes, std::nullopt);
  limits.mRequestTime = std::chrono::milliseconds(reader.ReadUnsigned(
    "requestMs", kMinDeadlineMs, kMaxDeadlineMs, std::nullopt));
  limits.mIdleTime = std::chrono::milliseconds(reader.ReadUnsigned(
    "idleMs", kMinDeadlineMs, kMaxDeadlineMs, std::nullopt));
  reader.RejectUnknownMembers();
  return limits;
}

/** Reads one entry of the member "routes". Only GET is idempotent by default.
 */
Route
ReadRoute(const Json& aObject, const std::string& aPointer, Faults& aFaults)
{
  ObjectReader reader(aObject, aPointer, aFaults);
  Route route;
  route.mName = RouteName(reader.ReadString("name"));
  if (const Json* shares = reader.ReadOptionalArray("shares")) {
    route.mShares = ReadShares(*shares, aPointer + "/shares", aFaults);
    route.mService = ServiceName(reader.ReadOptionalString("service"));
    if (!route.mService.mValue.empty() || route.mShares.empty()) {
      reader.AddFault("shares",
                      "must not be empty, and excludes the member service");
    }
  } else {
    route.mService = ServiceName(reader.ReadString("service"));
  }
  route.mHost = reader.ReadOptionalString("host", kMaxPathLength);
  route.mMethod = reader.ReadOptionalString("method");
  if (!route.mMethod.empty() && route.mMethod != "GET" &&
      route.mMethod != "POST" && route.mMethod != "PUT" &&
      route.mMethod != "DELETE") {
    reader.AddFault("method", "must be GET, POST, PUT or DELETE");
  }
  route.mPath = reader.ReadString("path", kMaxPathLength);
  if (!IsWellFormedPath(route.mPath)) {
    reader.AddFault("path", kPathProblem);
  }
  route.mPriority =
    reader.ReadUnsigned("priority", 1, kMaxPriority, std::nullopt);
  route.mWorkClass =
    reader.ReadBool("long", false) ? WorkClass::Long : WorkClass::Short;
  route.mIdempotent = reader.ReadBool("idempotent", route.mMethod == "GET");
  route.mAtMostOnceScope = reader.ReadBool("keyed", true)
                             ? AtMostOnceScope::PerKey
                             : AtMostOnceScope::PerRequest;
  route.mDeadline = std::chrono::milliseconds(reader.ReadUnsigned(
    "deadlineMs", kMinDeadlineMs, kMaxDeadlineMs, std::nullopt));
  route.mIsDeadlineUpperBound = reader.ReadBool("deadlineBinds", false);
  route.mGoal = std::chrono::milliseconds(
    reader.ReadUnsigned("goalMs", 0, kMaxDeadlineMs, 0U));
  route.mAttempts =
    reader.ReadUnsigned("attempts", 1, kMaxAttempts, kDefaultAttempts);
  route.mIsOpen = reader.ReadBool("open", false);
  if (aObject.is_object() && aObject.contains("hedgePercent")) {
    route.mHedgePercent =
      reader.ReadUnsigned("hedgePercent", 0, kMaxPercent, std::nullopt);
  }
  reader.RejectUnknownMembers();
  return route;
}

/** Reads the array aMember of the document into a map by name. Records a fault
 * for each duplicate name. */
template<typename Object, typename Reader>
void
ReadObjects(const Json& aRoot,
            const char* aMember,
            Reader aReader,
            std::map<decltype(Object::mName), Object>& aObjects,
            Faults& aFaults)
{
  std::string pointer = std::string("/") + aMember;
  auto list = aRoot.find(aMember);
  if (list == aRoot.end() || !list->is_array()) {
    aFaults.push_back({ pointer, "must be an array" });
    return;
  }
  std::size_t index = 0;
  for (const Json& it : *list) {
    std::string itemPointer = pointer + "/" + std::to_string(index++);
    Object object = aReader(it, itemPointer, aFaults);
    auto name = object.mName;
    if (!aObjects.emplace(name, std::move(object)).second) {
      aFaults.push_back({ itemPointer + "/name",
                          "is a duplicate name: \"" + name.mValue + "\"" });
    }
  }
}

/** Parses a single object from JSON text with aReader. */
template<typename Object, typename Reader>
tl::expected<Object, Faults>
ParseObject(const std::string& aText, Reader aReader)
{
  Json json = Json::parse(aText, nullptr, false);
  Faults faults;
  if (json.is_discarded()) {
    faults.push_back({ "/", "is not valid JSON" });
    return tl::make_unexpected(std::move(faults));
  }
  Object object = aReader(json, "", faults);
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return object;
}

} // namespace

std::vector<ServiceName>
ServicesOf(const Route& aRoute)
{
  if (aRoute.mShares.empty()) {
    return { aRoute.mService };
  }
  std::vector<ServiceName> services;
  for (const RouteShare& it : aRoute.mShares) {
    services.push_back(it.mService);
  }
  return services;
}

std::vector<DocumentFault>
CheckReferences(const Document& aDocument)
{
  Faults faults;
  std::map<std::tuple<std::string, std::string, std::string>, RouteName>
    routesByMatch;
  for (const auto& [name, route] : aDocument.mRoutes) {
    for (const ServiceName& it : ServicesOf(route)) {
      if (aDocument.mServices.count(it) == 0) {
        faults.push_back(
          { "/routes/" + name.mValue + "/service",
            "refers to a service that is not in the document: \"" + it.mValue +
              "\"" });
      }
    }
    auto [it, isNew] = routesByMatch.emplace(
      std::make_tuple(route.mHost, route.mMethod, route.mPath), name);
    if (!isNew) {
      faults.push_back(
        { "/routes/" + name.mValue + "/path",
          "matches the same requests as route \"" + it->second.mValue + "\"" });
    }
  }
  auto accountFaults = CheckKeysAreUnique(aDocument.mAccounts);
  faults.insert(faults.end(), accountFaults.begin(), accountFaults.end());
  return faults;
}

tl::expected<Document, Faults>
ParseDocument(const std::string& aText)
{
  Faults faults;
  Json root;
  try {
    root = Json::parse(aText);
  } catch (const Json::parse_error& e) {
    faults.push_back(
      { "/", "is not valid JSON near byte " + std::to_string(e.byte) });
    return tl::make_unexpected(std::move(faults));
  } catch (const Json::out_of_range&) {
    // Thrown for 1e309 and other numbers that no double can hold.
    faults.push_back({ "/", "has a number that is out of range" });
    return tl::make_unexpected(std::move(faults));
  }
  Document document;
  if (!root.is_object()) {
    faults.push_back({ "/", "must be an object" });
    return tl::make_unexpected(std::move(faults));
  }
  // Without a copy of the objects, of which there may be 900,000.
  Json rootMembers = Json::object();
  for (const auto& it : root.items()) {
    bool isObjects = it.key() == "services" || it.key() == "routes" ||
                     it.key() == "limits" || it.key() == "accounts";
    if (!isObjects) {
      rootMembers[it.key()] = it.value();
    }
  }
  ObjectReader reader(rootMembers, "", faults);
  document.mEnvironment = reader.ReadString("environment");
  document.mRevision = reader.ReadUnsigned(
    "revision", 0, std::numeric_limits<unsigned>::max(), 0U);
  if (root.contains("limits")) {
    document.mLimits = ReadLimits(root["limits"], "/limits", faults);
  }
  reader.RejectUnknownMembers();
  ReadObjects<Service>(
    root, "services", ReadService, document.mServices, faults);
  ReadObjects<Route>(root, "routes", ReadRoute, document.mRoutes, faults);
  if (root.contains("accounts")) {
    auto readAccount =
      [&](const Json& aObject, const std::string& aPointer, Faults& aFaults) {
        return ReadAccount(aObject, document.mEnvironment, aPointer, aFaults);
      };
    ReadObjects<ClientAccount>(
      root, "accounts", readAccount, document.mAccounts, faults);
  }
  if (faults.empty()) {
    faults = CheckReferences(document);
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return document;
}

tl::expected<Service, Faults>
ParseService(const std::string& aText)
{
  return ParseObject<Service>(aText, ReadService);
}

tl::expected<Route, Faults>
ParseRoute(const std::string& aText)
{
  return ParseObject<Route>(aText, ReadRoute);
}

std::string
FormatService(const Service& aService)
{
  Json json{ { "name", aService.mName.mValue },
             { "vmGroup", aService.mVmGroup },
             { "floorPercent", aService.mFloorPercent },
             { "accountLimit", aService.mAccountLimit },
             { "guaranteedPercent", aService.mGuaranteedPercent } };
  if (aService.mRetryPercent != kDefaultRetryPercent) {
    json["retryPercent"] = aService.mRetryPercent;
  }
  if (aService.mRetryBurst != kDefaultRetryBurst) {
    json["retryBurst"] = aService.mRetryBurst;
  }
  if (aService.mConcentrate) {
    json["concentrate"] = true;
  }
  if (aService.mHedgePercent != 0) {
    json["hedgePercent"] = aService.mHedgePercent;
  }
  return json.dump();
}

std::string
FormatRoute(const Route& aRoute)
{
  auto deadline =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRoute.mDeadline);
  Json json{ { "name", aRoute.mName.mValue },
             { "path", aRoute.mPath },
             { "priority", aRoute.mPriority },
             { "long", aRoute.mWorkClass == WorkClass::Long },
             { "idempotent", aRoute.mIdempotent },
             { "deadlineMs", deadline.count() } };
  // Members with their default values are omitted, so that parsing and
  // formatting a route returns the same text.
  if (aRoute.mShares.empty()) {
    json["service"] = aRoute.mService.mValue;
  } else {
    for (const RouteShare& it : aRoute.mShares) {
      json["shares"].push_back(
        { { "service", it.mService.mValue }, { "weight", it.mWeight } });
    }
  }
  if (!aRoute.mMethod.empty()) {
    json["method"] = aRoute.mMethod;
  }
  if (!aRoute.mHost.empty()) {
    json["host"] = aRoute.mHost;
  }
  if (aRoute.mAtMostOnceScope == AtMostOnceScope::PerRequest) {
    json["keyed"] = false;
  }
  if (aRoute.mIsDeadlineUpperBound) {
    json["deadlineBinds"] = true;
  }
  if (aRoute.mGoal > Duration(0)) {
    json["goalMs"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(aRoute.mGoal)
        .count();
  }
  if (aRoute.mAttempts != kDefaultAttempts) {
    json["attempts"] = aRoute.mAttempts;
  }
  if (aRoute.mIsOpen) {
    json["open"] = true;
  }
  if (aRoute.mHedgePercent) {
    json["hedgePercent"] = *aRoute.mHedgePercent;
  }
  return json.dump();
}

std::string
FormatDocument(const Document& aDocument)
{
  Json json{ { "environment", aDocument.mEnvironment },
             { "services", Json::array() },
             { "routes", Json::array() } };
  if (aDocument.mRevision > 0) {
    json["revision"] = aDocument.mRevision;
  }
  if (aDocument.mLimits) {
    auto ms = [](Duration aTime) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(aTime)
        .count();
    };
    json["limits"] = { { "headBytes", aDocument.mLimits->mHeadBytes },
                       { "bodyBytes", aDocument.mLimits->mBodyBytes },
                       { "requestMs", ms(aDocument.mLimits->mRequestTime) },
                       { "idleMs", ms(aDocument.mLimits->mIdleTime) } };
  }
  for (const auto& [name, service] : aDocument.mServices) {
    json["services"].push_back(Json::parse(FormatService(service)));
  }
  for (const auto& [name, route] : aDocument.mRoutes) {
    json["routes"].push_back(Json::parse(FormatRoute(route)));
  }
  for (const auto& [name, account] : aDocument.mAccounts) {
    json["accounts"].push_back(Json::parse(FormatAccount(account)));
  }
  return json.dump();
}

} // namespace vanillascale
