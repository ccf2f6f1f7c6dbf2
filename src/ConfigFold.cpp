#include "ConfigFold.h"

#include "DocumentAccounts.h"
#include "Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace vanillascale {

namespace {

using Json = nlohmann::json;

/** Accepted ids that are kept to detect repeated changes. */
constexpr std::size_t kMaxAcceptedIds = 4096;

/** Returns the version of an object, or 0 if it does not exist. */
template<typename Object>
LogOffset
FindVersion(const std::map<decltype(Object::mName), Object>& aObjects,
            const std::string& aName)
{
  auto it = aObjects.find(decltype(Object::mName)(aName));
  return it == aObjects.end() ? 0 : it->second.mVersion;
}

bool
Exists(const Document& aDocument, const ObjectChange& aObject)
{
  if (aObject.mType == "account") {
    return aDocument.mAccounts.count(AccountName(aObject.mName)) > 0;
  }
  return aObject.mType == "service"
           ? aDocument.mServices.count(ServiceName(aObject.mName)) > 0
           : aDocument.mRoutes.count(RouteName(aObject.mName)) > 0;
}

LogOffset
CurrentVersion(const Document& aDocument, const ObjectChange& aObject)
{
  if (aObject.mType == "account") {
    return FindVersion<ClientAccount>(aDocument.mAccounts, aObject.mName);
  }
  return aObject.mType == "service"
           ? FindVersion<Service>(aDocument.mServices, aObject.mName)
           : FindVersion<Route>(aDocument.mRoutes, aObject.mName);
}

/** The parsed form of one ObjectChange: the object's previous value, if it
 * exists, and its new value, if the change does not remove it. */
template<typename Object>
struct Replacement
{
  decltype(Object::mName) mName;
  std::optional<Object> mNew;
  std::optional<Object> mOld;
};

/** The parsed form of a Change. */
struct Replacements
{
  std::vector<Replacement<Service>> mServices;
  std::vector<Replacement<Route>> mRoutes;
  std::vector<Replacement<ClientAccount>> mAccounts;
};

/** Parses one object of a change and appends it to aInto. Returns the faults of
 * its value. aVersion becomes the version of the new object. */
template<typename Object, typename Parser>
std::vector<DocumentFault>
ParseReplacement(const std::map<decltype(Object::mName), Object>& aObjects,
                 const ObjectChange& aChange,
                 LogOffset aVersion,
                 Parser aParser,
                 std::vector<Replacement<Object>>& aInto)
{
  Replacement<Object> replacement;
  replacement.mName = decltype(Object::mName)(aChange.mName);
  auto old = aObjects.find(replacement.mName);
  if (old != aObjects.end()) {
    replacement.mOld = old->second;
  }
  if (!aChange.mValue.empty()) {
    auto object = aParser(aChange.mValue);
    if (!object) {
      return object.error();
    }
    if (object->mName != replacement.mName) {
      return { { "/name", "differs from the name in the change" } };
    }
    object->mVersion = aVersion;
    replacement.mNew = std::move(*object);
  }
  aInto.push_back(std::move(replacement));
  return {};
}

/** Parses all objects of a change into aInto and returns their faults. */
std::vector<DocumentFault>
ParseReplacements(const Document& aDocument,
                  const Change& aChange,
                  LogOffset aVersion,
                  Replacements& aInto)
{
  std::vector<DocumentFault> faults;
  std::set<std::string> seen;
  for (const ObjectChange& it : aChange.mObjects) {
    std::vector<DocumentFault> objectFaults;
    if (!seen.insert(ObjectKey(it.mType, it.mName)).second) {
      objectFaults = { { "/" + ObjectKey(it.mType, it.mName),
                         "is changed twice" } };
    } else if (it.mType == "service") {
      objectFaults = ParseReplacement<Service>(
        aDocument.mServices, it, aVersion, ParseService, aInto.mServices);
    } else if (it.mType == "route") {
      objectFaults = ParseReplacement<Route>(
        aDocument.mRoutes, it, aVersion, ParseRoute, aInto.mRoutes);
    } else if (it.mType == "account") {
      objectFaults = ParseReplacement<ClientAccount>(
        aDocument.mAccounts, it, aVersion, ParseAccount, aInto.mAccounts);
    } else {
      objectFaults = { { "/type", "must be service, route or account" } };
    }
    faults.insert(faults.end(), objectFaults.begin(), objectFaults.end());
  }
  return faults;
}

template<typename Object>
void
StoreOrErase(std::map<decltype(Object::mName), Object>& aObjects,
             const decltype(Object::mName)& aName,
             const std::optional<Object>& aObject)
{
  if (aObject) {
    aObjects[aName] = *aObject;
  } else {
    aObjects.erase(aName);
  }
}

/** Stores the new objects of a change in the document or, if aIsNew is false,
 * restores the old ones. */
void
StoreReplacements(Document& aDocument,
                  const Replacements& aReplacements,
                  bool aIsNew)
{
  for (const auto& it : aReplacements.mServices) {
    StoreOrErase(aDocument.mServices, it.mName, aIsNew ? it.mNew : it.mOld);
  }
  for (const auto& it : aReplacements.mRoutes) {
    StoreOrErase(aDocument.mRoutes, it.mName, aIsNew ? it.mNew : it.mOld);
  }
  for (const auto& it : aReplacements.mAccounts) {
    StoreOrErase(aDocument.mAccounts, it.mName, aIsNew ? it.mNew : it.mOld);
  }
}

/** Replaces the old routes of a change by the new ones in the route table or,
 * if aIsNew is false, the new ones by the old ones. Returns a fault for each
 * added route that matches the same requests as another route. */
std::vector<DocumentFault>
SwapRoutes(RouteTable& aRoutes, const Replacements& aReplacements, bool aIsNew)
{
  std::vector<DocumentFault> faults;
  for (const auto& it : aReplacements.mRoutes) {
    const auto& removed = aIsNew ? it.mOld : it.mNew;
    if (removed) {
      aRoutes.Remove(*removed);
    }
  }
  for (const auto& it : aReplacements.mRoutes) {
    const auto& added = aIsNew ? it.mNew : it.mOld;
    if (added && !aRoutes.Add(*added)) {
      faults.push_back({ "/routes/" + it.mName.mValue + "/path",
                         "matches the same requests as route \"" +
                           aRoutes.FindEquivalent(*added)->mValue + "\"" });
    }
  }
  return faults;
}

/** Does the same for the accounts in the index. Returns a fault for each added
 * account that has a key of another one. */
std::vector<DocumentFault>
SwapAccounts(AccountIndex& aAccounts,
             const Replacements& aReplacements,
             bool aIsNew)
{
  std::vector<DocumentFault> faults;
  for (const auto& it : aReplacements.mAccounts) {
    const auto& removed = aIsNew ? it.mOld : it.mNew;
    if (removed) {
      aAccounts.Remove(*removed);
    }
  }
  for (const auto& it : aReplacements.mAccounts) {
    const auto& added = aIsNew ? it.mNew : it.mOld;
    if (added && !aAccounts.Add(*added)) {
      faults.push_back({ "/accounts/" + it.mName.mValue + "/keys",
                         "have a key of another account" });
    }
  }
  return faults;
}

/** Returns a fault for each route that refers to a service that the document
 * does not contain. Checks all routes if the change removes a service, and only
 * the changed routes otherwise, since no other reference can have become
 * invalid. */
std::vector<DocumentFault>
CheckChangedReferences(const Document& aDocument,
                       const Replacements& aReplacements)
{
  std::vector<DocumentFault> faults;
  auto check = [&](const Route& aRoute) {
    for (const ServiceName& it : ServicesOf(aRoute)) {
      if (aDocument.mServices.count(it) == 0) {
        faults.push_back(
          { "/routes/" + aRoute.mName.mValue + "/service",
            "names no service of the document: \"" + it.mValue + "\"" });
      }
    }
  };
  bool removesService =
    std::any_of(aReplacements.mServices.begin(),
                aReplacements.mServices.end(),
                [](const auto& aReplacement) { return !aReplacement.mNew; });
  if (removesService) {
    for (const auto& [name, route] : aDocument.mRoutes) {
      check(route);
    }
    return faults;
  }
  for (const auto& it : aReplacements.mRoutes) {
    if (it.mNew) {
      check(*it.mNew);
    }
  }
  return faults;
}

/** Applies a change to the state if its id is new, its base versions are
 * current and the resulting document is valid. */
RecordVerdict
ApplyChange(ConfigState& aState, const Change& aChange, LogOffset aOffset)
{
  auto& ids = aState.mAcceptedIds;
  if (std::find(ids.begin(), ids.end(), aChange.mId) != ids.end()) {
    return ChangeDuplicate{};
  }
  for (const ObjectChange& it : aChange.mObjects) {
    bool isCurrent = CurrentVersion(aState.mDocument, it) == it.mBaseVersion;
    bool existenceMatchesBase =
      Exists(aState.mDocument, it) == (it.mBaseVersion != 0);
    if (!isCurrent || !existenceMatchesBase) {
      std::string key = ObjectKey(it.mType, it.mName);
      return ChangeConflict{ key, aState.mLastModifications[key] };
    }
  }
  Document& document = aState.mDocument;
  bool isOtherEnvironment = !document.mEnvironment.empty() &&
                            document.mEnvironment != aChange.mEnvironment;
  if (isOtherEnvironment) {
    return ChangeInvalid{
      { { "/environment", "differs from the environment of the document" } }
    };
  }
  Replacements replacements;
  auto faults = ParseReplacements(document, aChange, aOffset, replacements);
  if (!faults.empty()) {
    return ChangeInvalid{ std::move(faults) };
  }
  // A change is applied as a whole or not at all: it is rolled back if the
  // resulting document is invalid.
  StoreReplacements(document, replacements, true);
  faults = SwapRoutes(aState.mRoutes, replacements, true);
  auto shared = SwapAccounts(aState.mAccounts, replacements, true);
  faults.insert(faults.end(), shared.begin(), shared.end());
  auto references = CheckChangedReferences(document, replacements);
  faults.insert(faults.end(), references.begin(), references.end());
  if (!faults.empty()) {
    SwapRoutes(aState.mRoutes, replacements, false);
    SwapAccounts(aState.mAccounts, replacements, false);
    StoreReplacements(document, replacements, false);
    return ChangeInvalid{ std::move(faults) };
  }
  document.mEnvironment = aChange.mEnvironment;
  for (const ObjectChange& it : aChange.mObjects) {
    aState.mLastModifications[ObjectKey(it.mType, it.mName)] = { aChange.mWho,
                                                                 aOffset };
  }
  ids.push_back(aChange.mId);
  if (ids.size() > kMaxAcceptedIds) {
    ids.pop_front();
  }
  return ChangeAccepted{};
}

/** Parses JSON. Returns a discarded value, and does not throw, if aText is
 * invalid. */
Json
ParseOrDiscard(const std::string& aText)
{
  return Json::parse(aText, nullptr, false);
}

/** Appends the changes that turn aFrom into aTo to aInto. */
template<typename Object, typename Formatter>
void
DiffObjects(const std::map<decltype(Object::mName), Object>& aFrom,
            const std::map<decltype(Object::mName), Object>& aTo,
            const char* aType,
            Formatter aFormatter,
            std::vector<ObjectChange>& aInto)
{
  for (const auto& [name, object] : aTo) {
    auto it = aFrom.find(name);
    std::string value = aFormatter(object);
    if (it == aFrom.end() || aFormatter(it->second) != value) {
      LogOffset base = it == aFrom.end() ? 0 : it->second.mVersion;
      aInto.push_back({ aType, name.mValue, base, std::move(value) });
    }
  }
  for (const auto& [name, object] : aFrom) {
    if (aTo.count(name) == 0) {
      aInto.push_back({ aType, name.mValue, object.mVersion, "" });
    }
  }
}

template<typename Object, typename Formatter>
Json
FormatObjects(const std::map<decltype(Object::mName), Object>& aObjects,
              Formatter aFormatter)
{
  Json list = Json::array();
  for (const auto& [name, object] : aObjects) {
    list.push_back(
      { { "version", object.mVersion }, { "value", aFormatter(object) } });
  }
  return list;
}

/** Parses the objects of a checkpoint into aInto.
 *
 * @throws nlohmann::json::exception if a field is missing or has another type.
 * @throws tl::bad_expected_access if an object is invalid. */
template<typename Object, typename Parser>
void
ParseObjects(const Json& aList,
             Parser aParser,
             std::map<decltype(Object::mName), Object>& aInto)
{
  for (const Json& it : aList) {
    auto object = aParser(it.at("value").get<std::string>()).value();
    object.mVersion = it.at("version").get<LogOffset>();
    auto name = object.mName;
    aInto.emplace(std::move(name), std::move(object));
  }
}

Json
StateToJson(const ConfigState& aState)
{
  Json origins = Json::object();
  for (const auto& [key, modification] : aState.mLastModifications) {
    origins[key] = { { "who", modification.mWho },
                     { "offset", modification.mOffset } };
  }
  return {
    { "environment", aState.mDocument.mEnvironment },
    { "offset", aState.mOffset },
    { "services",
      FormatObjects<Service>(aState.mDocument.mServices, FormatService) },
    { "routes", FormatObjects<Route>(aState.mDocument.mRoutes, FormatRoute) },
    { "accounts",
      FormatObjects<ClientAccount>(aState.mDocument.mAccounts, FormatAccount) },
    { "origins", std::move(origins) },
    { "ids", aState.mAcceptedIds }
  };
}

/** Throws the exceptions of ParseObjects(). */
ConfigState
StateFromJson(const Json& aJson)
{
  ConfigState state;
  state.mDocument.mEnvironment = aJson.at("environment").get<std::string>();
  state.mOffset = aJson.at("offset").get<LogOffset>();
  ParseObjects<Service>(
    aJson.at("services"), ParseService, state.mDocument.mServices);
  ParseObjects<Route>(aJson.at("routes"), ParseRoute, state.mDocument.mRoutes);
  // Checkpoints of older versions have no accounts.
  ParseObjects<ClientAccount>(aJson.value("accounts", Json::array()),
                              ParseAccount,
                              state.mDocument.mAccounts);
  for (const auto& [name, account] : state.mDocument.mAccounts) {
    state.mAccounts.Add(account);
  }
  for (const auto& it : aJson.at("origins").items()) {
    state.mLastModifications[it.key()] = {
      it.value().at("who").get<std::string>(),
      it.value().at("offset").get<LogOffset>()
    };
  }
  state.mRoutes = RouteTable::Make(state.mDocument);
  state.mAcceptedIds = aJson.at("ids").get<std::deque<std::string>>();
  return state;
}

struct VerdictFormatter
{
  std::string operator()(const ChangeAccepted&) const { return "accepted"; }
  std::string operator()(const ChangeDuplicate&) const
  {
    return "repeated: already accepted";
  }
  std::string operator()(const ChangeConflict& aConflict) const
  {
    return "refused: " + aConflict.mObject + " was changed meanwhile by " +
           (aConflict.mLastModification.mWho.empty()
              ? "nobody"
              : aConflict.mLastModification.mWho) +
           " at offset " + std::to_string(aConflict.mLastModification.mOffset);
  }
  std::string operator()(const ChangeInvalid& aInvalid) const
  {
    std::string text = "refused: invalid";
    for (const DocumentFault& it : aInvalid.mFaults) {
      text += "; " + it.mPointer + " " + it.mProblem;
    }
    return text;
  }
  std::string operator()(const CheckpointSkipped&) const
  {
    return "checkpoint";
  }
  std::string operator()(const RecordUnrecognized&) const
  {
    return "unreadable, skipped by every node";
  }
};

} // namespace

std::string
ObjectKey(const std::string& aType, const std::string& aName)
{
  return aType + "/" + aName;
}

const Route*
FindRoute(const ConfigState& aState,
          std::string_view aMethod,
          std::string_view aPath,
          std::string_view aHost)
{
  const RouteName* name = aState.mRoutes.Find(aMethod, aPath, aHost);
  return name ? &aState.mDocument.mRoutes.at(*name) : nullptr;
}

const ClientAccount*
FindAccount(const ConfigState& aState, std::string_view aApiKey)
{
  const AccountName* name = aState.mAccounts.FindByKey(
    DigestKey(aState.mDocument.mEnvironment, aApiKey));
  return name ? &aState.mDocument.mAccounts.at(*name) : nullptr;
}

const ClientAccount*
FindAccountById(const ConfigState& aState, std::uint64_t aAccount)
{
  const AccountName* name = aState.mAccounts.FindById(aAccount);
  return name ? &aState.mDocument.mAccounts.at(*name) : nullptr;
}

RecordVerdict
FoldRecord(ConfigState& aState, const LogRecord& aRecord)
{
  if (aRecord.mOffset <= aState.mOffset) {
    return ChangeDuplicate{};
  }
  aState.mOffset = aRecord.mOffset;
  if (auto change = ParseChange(aRecord.mPayload)) {
    return ApplyChange(aState, *change, aRecord.mOffset);
  }
  if (ParseCheckpoint(aRecord.mPayload)) {
    return CheckpointSkipped{};
  }
  return RecordUnrecognized{};
}

std::string
FormatChange(const Change& aChange)
{
  Json objects = Json::array();
  for (const ObjectChange& it : aChange.mObjects) {
    objects.push_back({ { "type", it.mType },
                        { "name", it.mName },
                        { "base", it.mBaseVersion },
                        { "value", it.mValue } });
  }
  return Json{
    { "kind", "change" },
    { "id", aChange.mId },
    { "who", aChange.mWho },
    { "environment", aChange.mEnvironment },
    { "objects", std::move(objects) }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::expected<Change, std::string>
ParseChange(const std::string& aPayload)
{
  Json json = ParseOrDiscard(aPayload);
  if (!json.is_object() || json.value("kind", Json()) != "change") {
    return tl::make_unexpected("is not a change");
  }
  try {
    Change change;
    json.at("id").get_to(change.mId);
    json.at("who").get_to(change.mWho);
    json.at("environment").get_to(change.mEnvironment);
    for (const Json& it : json.at("objects")) {
      change.mObjects.push_back({ it.at("type").get<std::string>(),
                                  it.at("name").get<std::string>(),
                                  it.at("base").get<LogOffset>(),
                                  it.at("value").get<std::string>() });
    }
    return change;
  } catch (const Json::exception& e) {
    return tl::make_unexpected(std::string(e.what()));
  }
}

std::string
FormatCheckpoint(const ConfigState& aState)
{
  std::string state = StateToJson(aState).dump();
  return Json{
    { "kind", "checkpoint" }, { "hash", Hash64(state) }, { "state", state }
  }.dump();
}

tl::expected<ConfigState, std::string>
ParseCheckpoint(const std::string& aPayload)
{
  Json json = ParseOrDiscard(aPayload);
  if (!json.is_object() || json.value("kind", Json()) != "checkpoint") {
    return tl::make_unexpected("is not a checkpoint");
  }
  try {
    auto text = json.at("state").get<std::string>();
    if (json.at("hash").get<std::uint64_t>() != Hash64(text)) {
      return tl::make_unexpected("does not match its hash");
    }
    return StateFromJson(Json::parse(text));
  } catch (const Json::exception& e) {
    return tl::make_unexpected(std::string(e.what()));
  } catch (const tl::bad_expected_access<std::vector<DocumentFault>>&) {
    return tl::make_unexpected("contains an invalid object");
  }
}

std::vector<ObjectChange>
DiffDocument(const ConfigState& aFrom, const Document& aTo)
{
  std::vector<ObjectChange> changes;
  DiffObjects<Service>(aFrom.mDocument.mServices,
                       aTo.mServices,
                       "service",
                       FormatService,
                       changes);
  DiffObjects<Route>(
    aFrom.mDocument.mRoutes, aTo.mRoutes, "route", FormatRoute, changes);
  DiffObjects<ClientAccount>(aFrom.mDocument.mAccounts,
                             aTo.mAccounts,
                             "account",
                             FormatAccount,
                             changes);
  return changes;
}

std::string
DescribeVerdict(const RecordVerdict& aVerdict)
{
  return std::visit(VerdictFormatter{}, aVerdict);
}

} // namespace vanillascale
