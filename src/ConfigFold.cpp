#include "ConfigFold.h"

#include "Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace vanillascale {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kAcceptedIdsKept = 4096;

template<typename Object>
LogOffset
VersionOf(const std::map<decltype(Object::mName), Object>& aObjects,
          const std::string& aName)
{
  auto it = aObjects.find(decltype(Object::mName)(aName));
  return it == aObjects.end() ? 0 : it->second.mVersion;
}

bool
Exists(const Document& aDocument, const ObjectChange& aObject)
{
  return aObject.mType == "service"
           ? aDocument.mServices.count(ServiceName(aObject.mName)) > 0
           : aDocument.mRoutes.count(RouteName(aObject.mName)) > 0;
}

LogOffset
CurrentVersion(const Document& aDocument, const ObjectChange& aObject)
{
  return aObject.mType == "service"
           ? VersionOf<Service>(aDocument.mServices, aObject.mName)
           : VersionOf<Route>(aDocument.mRoutes, aObject.mName);
}

/** An object of a change, read: what it replaces, and by what. */
template<typename Object>
struct Replacement
{
  decltype(Object::mName) mName;
  std::optional<Object> mNew;
  std::optional<Object> mOld;
};

/** A change, read and ready to be tried. */
struct Replacements
{
  std::vector<Replacement<Service>> mServices;
  std::vector<Replacement<Route>> mRoutes;
};

template<typename Object, typename Parser>
std::vector<DocumentFault>
ReadObject(const std::map<decltype(Object::mName), Object>& aObjects,
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
      return { { "/name", "differs from the name of the change" } };
    }
    object->mVersion = aVersion;
    replacement.mNew = std::move(*object);
  }
  aInto.push_back(std::move(replacement));
  return {};
}

std::vector<DocumentFault>
ReadObjects(const Document& aDocument,
            const Change& aChange,
            LogOffset aVersion,
            Replacements& aInto)
{
  std::vector<DocumentFault> faults;
  std::set<std::string> seen;
  for (const ObjectChange& it : aChange.mObjects) {
    std::vector<DocumentFault> more;
    if (!seen.insert(ObjectKey(it.mType, it.mName)).second) {
      more = { { "/" + ObjectKey(it.mType, it.mName), "is changed twice" } };
    } else if (it.mType == "service") {
      more = ReadObject<Service>(
        aDocument.mServices, it, aVersion, ParseService, aInto.mServices);
    } else if (it.mType == "route") {
      more = ReadObject<Route>(
        aDocument.mRoutes, it, aVersion, ParseRoute, aInto.mRoutes);
    } else {
      more = { { "/type", "must be service or route" } };
    }
    faults.insert(faults.end(), more.begin(), more.end());
  }
  return faults;
}

template<typename Object>
void
Put(std::map<decltype(Object::mName), Object>& aObjects,
    const decltype(Object::mName)& aName,
    const std::optional<Object>& aObject)
{
  if (aObject) {
    aObjects[aName] = *aObject;
  } else {
    aObjects.erase(aName);
  }
}

/** Puts the new objects of a change, or its old ones back, into the document.
 */
void
PutAll(Document& aDocument, const Replacements& aReplacements, bool aIsNew)
{
  for (const auto& it : aReplacements.mServices) {
    Put(aDocument.mServices, it.mName, aIsNew ? it.mNew : it.mOld);
  }
  for (const auto& it : aReplacements.mRoutes) {
    Put(aDocument.mRoutes, it.mName, aIsNew ? it.mNew : it.mOld);
  }
}

/** Swaps the routes of a change in the table, forwards or back; returns those
 * that match the same requests as another. */
std::vector<DocumentFault>
SwapRoutes(RouteTable& aRoutes, const Replacements& aReplacements, bool aIsNew)
{
  std::vector<DocumentFault> faults;
  for (const auto& it : aReplacements.mRoutes) {
    const auto& leaving = aIsNew ? it.mOld : it.mNew;
    if (leaving) {
      aRoutes.Remove(*leaving);
    }
  }
  for (const auto& it : aReplacements.mRoutes) {
    const auto& coming = aIsNew ? it.mNew : it.mOld;
    if (coming && !aRoutes.Add(*coming)) {
      faults.push_back({ "/routes/" + it.mName.mValue + "/path",
                         "matches the same requests as route \"" +
                           aRoutes.FindEquivalent(*coming)->mValue + "\"" });
    }
  }
  return faults;
}

/** Finds routes of the document that name a service that it has not. Only what
 * a change touches can have become wrong. */
std::vector<DocumentFault>
CheckTouched(const Document& aDocument, const Replacements& aReplacements)
{
  std::vector<DocumentFault> faults;
  auto check = [&](const Route& aRoute) {
    if (aDocument.mServices.count(aRoute.mService) == 0) {
      faults.push_back({ "/routes/" + aRoute.mName.mValue + "/service",
                         "names no service of the document: \"" +
                           aRoute.mService.mValue + "\"" });
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

ChangeVerdict
FoldChange(ConfigState& aState, const Change& aChange, LogOffset aOffset)
{
  auto& ids = aState.mAcceptedIds;
  if (std::find(ids.begin(), ids.end(), aChange.mId) != ids.end()) {
    return ChangeRepeated{};
  }
  for (const ObjectChange& it : aChange.mObjects) {
    bool isCurrent = CurrentVersion(aState.mDocument, it) == it.mBase;
    bool existsAsSaid = Exists(aState.mDocument, it) == (it.mBase != 0);
    if (!isCurrent || !existsAsSaid) {
      std::string key = ObjectKey(it.mType, it.mName);
      return ChangeStale{ key, aState.mOrigins[key] };
    }
  }
  Document& document = aState.mDocument;
  bool isOther = !document.mEnvironment.empty() &&
                 document.mEnvironment != aChange.mEnvironment;
  if (isOther) {
    return ChangeInvalid{ { { "/environment", "is another environment's" } } };
  }
  Replacements replacements;
  auto faults = ReadObjects(document, aChange, aOffset, replacements);
  if (!faults.empty()) {
    return ChangeInvalid{ std::move(faults) };
  }
  // The change holds as a whole or not at all: it is put in place and, if the
  // document is wrong with it, taken back.
  PutAll(document, replacements, true);
  faults = SwapRoutes(aState.mRoutes, replacements, true);
  auto references = CheckTouched(document, replacements);
  faults.insert(faults.end(), references.begin(), references.end());
  if (!faults.empty()) {
    SwapRoutes(aState.mRoutes, replacements, false);
    PutAll(document, replacements, false);
    return ChangeInvalid{ std::move(faults) };
  }
  document.mEnvironment = aChange.mEnvironment;
  for (const ObjectChange& it : aChange.mObjects) {
    aState.mOrigins[ObjectKey(it.mType, it.mName)] = { aChange.mWho, aOffset };
  }
  ids.push_back(aChange.mId);
  if (ids.size() > kAcceptedIdsKept) {
    ids.pop_front();
  }
  return ChangeAccepted{};
}

Json
ParseQuietly(const std::string& aText)
{
  return Json::parse(aText, nullptr, false);
}

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
  for (const auto& [key, origin] : aState.mOrigins) {
    origins[key] = { { "who", origin.mWho }, { "offset", origin.mOffset } };
  }
  return {
    { "environment", aState.mDocument.mEnvironment },
    { "offset", aState.mOffset },
    { "services",
      FormatObjects<Service>(aState.mDocument.mServices, FormatService) },
    { "routes", FormatObjects<Route>(aState.mDocument.mRoutes, FormatRoute) },
    { "origins", std::move(origins) },
    { "ids", aState.mAcceptedIds }
  };
}

ConfigState
StateFromJson(const Json& aJson)
{
  ConfigState state;
  state.mDocument.mEnvironment = aJson.at("environment").get<std::string>();
  state.mOffset = aJson.at("offset").get<LogOffset>();
  ParseObjects<Service>(
    aJson.at("services"), ParseService, state.mDocument.mServices);
  ParseObjects<Route>(aJson.at("routes"), ParseRoute, state.mDocument.mRoutes);
  for (const auto& it : aJson.at("origins").items()) {
    state.mOrigins[it.key()] = { it.value().at("who").get<std::string>(),
                                 it.value().at("offset").get<LogOffset>() };
  }
  state.mRoutes = RouteTable::Make(state.mDocument);
  state.mAcceptedIds = aJson.at("ids").get<std::deque<std::string>>();
  return state;
}

struct VerdictDescriber
{
  std::string operator()(const ChangeAccepted&) const { return "accepted"; }
  std::string operator()(const ChangeRepeated&) const
  {
    return "repeated: took hold before";
  }
  std::string operator()(const ChangeStale& aStale) const
  {
    return "refused: " + aStale.mObject + " was changed meanwhile by " +
           (aStale.mCurrent.mWho.empty() ? "nobody" : aStale.mCurrent.mWho) +
           " at offset " + std::to_string(aStale.mCurrent.mOffset);
  }
  std::string operator()(const ChangeInvalid& aInvalid) const
  {
    std::string text = "refused: invalid";
    for (const DocumentFault& it : aInvalid.mFaults) {
      text += "; " + it.mPointer + " " + it.mProblem;
    }
    return text;
  }
  std::string operator()(const CheckpointSeen&) const { return "checkpoint"; }
  std::string operator()(const RecordUnreadable&) const
  {
    return "unreadable, skipped by all";
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

bool
ReplaceDocument(ConfigState& aState, Document aDocument, LogOffset aOffset)
{
  const Document& current = aState.mDocument;
  bool isFirst = current.mEnvironment.empty();
  bool isNewer = isFirst || (aOffset > aState.mOffset &&
                             aDocument.mRevision > current.mRevision &&
                             aDocument.mEnvironment == current.mEnvironment);
  if (!isNewer) {
    return false;
  }
  aState.mDocument = std::move(aDocument);
  aState.mRoutes = RouteTable::Make(aState.mDocument);
  aState.mOffset = aOffset;
  return true;
}

ChangeVerdict
FoldRecord(ConfigState& aState, const LogRecord& aRecord)
{
  if (aRecord.mOffset <= aState.mOffset) {
    return ChangeRepeated{};
  }
  aState.mOffset = aRecord.mOffset;
  if (auto change = ParseChange(aRecord.mPayload)) {
    return FoldChange(aState, *change, aRecord.mOffset);
  }
  if (ParseCheckpoint(aRecord.mPayload)) {
    return CheckpointSeen{};
  }
  return RecordUnreadable{};
}

std::string
FormatChange(const Change& aChange)
{
  Json objects = Json::array();
  for (const ObjectChange& it : aChange.mObjects) {
    objects.push_back({ { "type", it.mType },
                        { "name", it.mName },
                        { "base", it.mBase },
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
  Json json = ParseQuietly(aPayload);
  if (!json.is_object() || json.value("kind", Json()) != "change") {
    return tl::make_unexpected("is no change");
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
  Json json = ParseQuietly(aPayload);
  if (!json.is_object() || json.value("kind", Json()) != "checkpoint") {
    return tl::make_unexpected("is no checkpoint");
  }
  try {
    auto text = json.at("state").get<std::string>();
    if (json.at("hash").get<std::uint64_t>() != Hash64(text)) {
      return tl::make_unexpected("is damaged");
    }
    return StateFromJson(Json::parse(text));
  } catch (const Json::exception& e) {
    return tl::make_unexpected(std::string(e.what()));
  } catch (const tl::bad_expected_access<std::vector<DocumentFault>>&) {
    return tl::make_unexpected("holds an object that breaks the rules");
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
  return changes;
}

std::string
DescribeVerdict(const ChangeVerdict& aVerdict)
{
  return std::visit(VerdictDescriber{}, aVerdict);
}

} // namespace vanillascale
