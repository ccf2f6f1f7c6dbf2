#include "DocumentEntries.h"

#include "MsgpackTypes.h"

#include <optional>

namespace vanillascale {

namespace {

constexpr const char* kHeadKey = "head";
constexpr const char* kServiceType = "service";
constexpr const char* kRouteType = "route";
constexpr const char* kAccountType = "account";

/** The part of a document that is not an object with a name. */
struct DocumentHead
{
  std::string mEnvironment;
  std::uint64_t mRevision = 0;
  bool mHasLimits = false;
  CallerLimits mLimits;
  MSGPACK_DEFINE(mEnvironment, mRevision, mHasLimits, mLimits)
};

template<typename Value>
std::string
Pack(const Value& aValue)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aValue);
  return std::string(buf.data(), buf.size());
}

template<typename Value>
std::optional<Value>
Unpack(const std::string& aBytes)
{
  try {
    return msgpack::unpack(aBytes.data(), aBytes.size())->as<Value>();
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

/** The decoded changes to the objects of one type. Objects without a value are
 * removed. */
template<typename Object>
using ObjectUpdates = std::map<decltype(Object::mName), std::optional<Object>>;

/** Decodes the entry of an object into aUpdates if aKey is of the type aType.
 * Returns false if the entry cannot be decoded. */
template<typename Object>
bool
DecodeObject(const std::map<std::string, FeedEntry>& aEntries,
             const std::string& aKey,
             const char* aType,
             ObjectUpdates<Object>& aUpdates)
{
  std::string prefix = ObjectKey(aType, "");
  if (aKey.compare(0, prefix.size(), prefix) != 0) {
    return true;
  }
  std::optional<Object> object;
  auto it = aEntries.find(aKey);
  if (it != aEntries.end()) {
    object = Unpack<Object>(it->second.mValue);
    if (!object) {
      return false;
    }
  }
  aUpdates[decltype(Object::mName)(aKey.substr(prefix.size()))] =
    std::move(object);
  return true;
}

void
UpdateRoutes(ConfigState& aState, const ObjectUpdates<Route>& aUpdates)
{
  auto& routes = aState.mDocument.mRoutes;
  // All replaced routes leave the table before the first new one enters it: a
  // new route may match the requests of one that is replaced.
  for (const auto& [name, route] : aUpdates) {
    auto old = routes.find(name);
    if (old != routes.end()) {
      aState.mRoutes.Remove(old->second);
      routes.erase(old);
    }
  }
  for (const auto& [name, route] : aUpdates) {
    if (route) {
      aState.mRoutes.Add(*route);
      routes.emplace(name, *route);
    }
  }
}

void
UpdateAccounts(ConfigState& aState,
               const ObjectUpdates<ClientAccount>& aUpdates)
{
  auto& accounts = aState.mDocument.mAccounts;
  // As with routes: a key may have moved from one account to another.
  for (const auto& [name, account] : aUpdates) {
    auto old = accounts.find(name);
    if (old != accounts.end()) {
      aState.mAccounts.Remove(old->second);
      accounts.erase(old);
    }
  }
  for (const auto& [name, account] : aUpdates) {
    if (account) {
      aState.mAccounts.Add(*account);
      accounts.emplace(name, *account);
    }
  }
}

} // namespace

std::vector<FeedEntry>
MakeDocumentEntries(const Document& aDocument, const StorePosition& aPosition)
{
  DocumentHead head;
  head.mEnvironment = aDocument.mEnvironment;
  head.mRevision = aDocument.mRevision;
  head.mHasLimits = aDocument.mLimits.has_value();
  head.mLimits = aDocument.mLimits.value_or(CallerLimits());
  std::vector<FeedEntry> entries;
  entries.reserve(1 + aDocument.mServices.size() + aDocument.mRoutes.size() +
                  aDocument.mAccounts.size());
  entries.push_back({ kHeadKey, aPosition, Pack(head) });
  for (const auto& [name, service] : aDocument.mServices) {
    entries.push_back(
      { ObjectKey(kServiceType, name.mValue), aPosition, Pack(service) });
  }
  for (const auto& [name, route] : aDocument.mRoutes) {
    entries.push_back(
      { ObjectKey(kRouteType, name.mValue), aPosition, Pack(route) });
  }
  for (const auto& [name, account] : aDocument.mAccounts) {
    entries.push_back(
      { ObjectKey(kAccountType, name.mValue), aPosition, Pack(account) });
  }
  return entries;
}

DocumentUpdate
UpdateDocument(ConfigState& aState,
               const std::map<std::string, FeedEntry>& aEntries,
               const std::vector<std::string>& aChangedKeys)
{
  auto entry = aEntries.find(kHeadKey);
  auto head = entry == aEntries.end()
                ? std::nullopt
                : Unpack<DocumentHead>(entry->second.mValue);
  ObjectUpdates<Service> services;
  ObjectUpdates<Route> routes;
  ObjectUpdates<ClientAccount> accounts;
  bool isDecoded = head.has_value();
  for (const std::string& it : aChangedKeys) {
    isDecoded =
      isDecoded &&
      DecodeObject<Service>(aEntries, it, kServiceType, services) &&
      DecodeObject<Route>(aEntries, it, kRouteType, routes) &&
      DecodeObject<ClientAccount>(aEntries, it, kAccountType, accounts);
  }
  if (!isDecoded) {
    return DocumentUpdate::Undecodable;
  }
  Document& document = aState.mDocument;
  const StorePosition& position = entry->second.mPosition;
  bool isFirst = document.mEnvironment.empty();
  // Positions of different eras do not order revisions: a peer's copy of an
  // earlier era may have a later one than the record of a restored store.
  bool isOrdered = position.mEra == aState.mPosition.mEra ||
                   head->mRevision == document.mRevision;
  bool isOlder = head->mRevision < document.mRevision ||
                 (isOrdered && position < aState.mPosition);
  bool isAccepted =
    isFirst || (!isOlder && head->mEnvironment == document.mEnvironment);
  if (!isAccepted) {
    return DocumentUpdate::NotNewer;
  }
  document.mEnvironment = head->mEnvironment;
  document.mRevision = head->mRevision;
  document.mLimits =
    head->mHasLimits ? std::make_optional(head->mLimits) : std::nullopt;
  for (auto& [name, service] : services) {
    if (service) {
      document.mServices[name] = std::move(*service);
    } else {
      document.mServices.erase(name);
    }
  }
  UpdateRoutes(aState, routes);
  UpdateAccounts(aState, accounts);
  aState.mPosition = position;
  return DocumentUpdate::InForce;
}

} // namespace vanillascale
