// Guards against a configuration that the store has acknowledged and that no
// node puts in force because one of its values is beyond a bound of our own
// documents (review/9).

#include "DocumentEntries.h"
#include "StoreConfig.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Json
MakeEntry(const char* aType, const std::string& aName, Json aSpec)
{
  return { { "type", aType },
           { "metadata", { { "name", aName } } },
           { "spec", std::move(aSpec) } };
}

Json
MakeRoute(const std::string& aPath)
{
  return { { "host", "ficu.example" }, { "path_prefix", aPath },
           { "kind", "unsafe" },       { "timeout_s", 1.2 },
           { "latency_goal_s", 0.8 },  { "priority", 1 },
           { "service", "a" },         { "attempts", 2 } };
}

Json
MakeLimits()
{
  return { { "max_header_bytes", 16384 },
           { "max_body_bytes", 67108864 },
           { "header_timeout_s", 3 },
           { "idle_timeout_s", 15 } };
}

/** Returns an object with one member replaced. */
Json
With(Json aObject, const char* aMember, Json aValue)
{
  aObject[aMember] = std::move(aValue);
  return aObject;
}

/** Returns the configuration of a node that has put entries in force besides a
 * new route, or std::nullopt if that route is not found. */
std::optional<ConfigState>
PutInForce(std::vector<Json> aEntries)
{
  aEntries.push_back(MakeEntry("routes", "r-added", MakeRoute("/added/")));
  aEntries.push_back(MakeEntry("services", "a", Json::object()));
  Json config{ { "version", "0000000c" }, { "resources", aEntries } };
  auto translated = TranslateConfig(config.dump(), "production", {});
  if (!translated) {
    return std::nullopt;
  }
  std::map<std::string, FeedEntry> entries;
  std::vector<std::string> keys;
  for (FeedEntry& it : MakeDocumentEntries(translated->mDocument, { 0, 5 })) {
    keys.push_back(it.mKey);
    entries[it.mKey] = std::move(it);
  }
  ConfigState state;
  bool isInForce =
    UpdateDocument(state, entries, keys) == DocumentUpdate::InForce &&
    FindRoute(state, "PUT", "/added/x", "ficu.example");
  return isInForce ? std::make_optional(std::move(state)) : std::nullopt;
}

CallerLimits
LimitsInForce(const char* aMember, Json aValue)
{
  auto state = PutInForce({ MakeEntry(
    "limits", "", With(MakeLimits(), aMember, std::move(aValue))) });
  CHECK_TEXT(state && state->mDocument.mLimits, aMember);
  return *state->mDocument.mLimits;
}

Route
RouteInForce(const std::string& aName, const Json& aSpec)
{
  auto state = PutInForce({ MakeEntry("routes", aName, aSpec) });
  CHECK_TEXT(state.has_value(), aSpec.dump().substr(0, 200).c_str());
  auto it = state->mDocument.mRoutes.find(RouteName(aName));
  CHECK_TEXT(it != state->mDocument.mRoutes.end(), aName.c_str());
  return it->second;
}

ClientAccount
AccountInForce(const std::string& aName, const Json& aSpec)
{
  auto state = PutInForce({ MakeEntry("tenants", aName, aSpec) });
  CHECK(state.has_value());
  return state->mDocument.mAccounts.at(AccountName(aName));
}

} // namespace

TEST_GROUP(AcknowledgedConfigurations){};

TEST(AcknowledgedConfigurations, LimitsAreThoseOfTheOperator)
{
  CHECK(LimitsInForce("idle_timeout_s", 900).mIdleTime == seconds(900));
  CHECK(LimitsInForce("idle_timeout_s", 100000).mIdleTime == seconds(100000));
  CHECK(LimitsInForce("idle_timeout_s", 1e99).mIdleTime == seconds(1000000000));
  CHECK(LimitsInForce("header_timeout_s", 1200).mRequestTime == seconds(1200));
  LONGS_EQUAL(4194304, LimitsInForce("max_header_bytes", 4194304).mHeadBytes);
  LONGS_EQUAL(128, LimitsInForce("max_header_bytes", 128).mHeadBytes);
  CHECK(LimitsInForce("max_body_bytes", 8589934592).mBodyBytes == 8589934592);
  LONGS_EQUAL(16384, LimitsInForce("max_body_bytes", "1").mHeadBytes);
}

TEST(AcknowledgedConfigurations, RoutesAreThoseOfTheOperator)
{
  Json route = MakeRoute("/pufi/");
  LONGS_EQUAL(12, RouteInForce("r", With(route, "attempts", 12)).mAttempts);
  LONGS_EQUAL(100, RouteInForce("r", With(route, "attempts", 100)).mAttempts);
  LONGS_EQUAL(1, RouteInForce("r", With(route, "attempts", 0)).mAttempts);
  CHECK(RouteInForce("r", With(route, "timeout_s", 900)).mDeadline ==
        seconds(900));
  CHECK(RouteInForce("r", With(route, "timeout_s", 0.005)).mDeadline ==
        milliseconds(5));
  CHECK(RouteInForce("r", With(route, "latency_goal_s", 1200)).mGoal ==
        seconds(1200));
  LONGS_EQUAL(9, RouteInForce("r", With(route, "priority", 40)).mPriority);
  CHECK(!RouteInForce("r", With(route, "kind", 7)).mIdempotent);
  std::string path(3000, 'p');
  CHECK(RouteInForce("r", MakeRoute("/" + path)).mPath == "/" + path);
  CHECK(RouteInForce("r", MakeRoute("/a//b/")).mPath == "/a//b/");
  std::string host(2100, 'h');
  CHECK(RouteInForce("r", With(route, "host", host)).mHost == host);
}

TEST(AcknowledgedConfigurations, NamesOfAnyLengthAreInForce)
{
  for (std::size_t n : { 65, 500, 5000 }) {
    std::string name(n, 'n');
    RouteInForce(name, MakeRoute("/pufi/"));
    Json route = With(MakeRoute("/pufi/"), "service", name);
    CHECK(RouteInForce("r", route).mService == ServiceName(name));
    AccountInForce(name, Json::object());
  }
}

TEST(AcknowledgedConfigurations, WeightsKeepTheirProportion)
{
  for (double factor : { 1e-3, 0.5, 1.0, 2e6, 1e300 }) {
    Json route = MakeRoute("/pufi/");
    route.erase("service");
    route["backends"] = { { { "service", "a" }, { "weight", 3 * factor } },
                          { { "service", "b" }, { "weight", factor } },
                          { { "service", "c" }, { "weight", 0 } } };
    auto shares = RouteInForce("r", route).mShares;
    LONGS_EQUAL(3, shares.size());
    DOUBLES_EQUAL(
      3, static_cast<double>(shares[0].mWeight) / shares[1].mWeight, 1e-4);
    LONGS_EQUAL(0, shares[2].mWeight);
  }
}

TEST(AcknowledgedConfigurations, TenantsAreThoseOfTheOperator)
{
  DOUBLES_EQUAL(1e9, AccountInForce("t", { { "rate_per_s", 2e9 } }).mRate, 0);
  Json keys = Json::array();
  for (int i = 0; i < 1100; ++i) {
    keys.push_back("k-" + std::to_string(i));
  }
  LONGS_EQUAL(1100, AccountInForce("t", { { "api_keys", keys } }).mKeys.size());
  std::string longest(5000, 'k');
  ClientAccount account = AccountInForce("t", { { "api_keys", { longest } } });
  CHECK(account.mKeys.at(0) == DigestKey("production", longest));
}

TEST(AcknowledgedConfigurations, OneUnusableEntryLeavesTheOthersInForce)
{
  for (const Json& it : { MakeEntry("routes", "r", Json::object()),
                          MakeEntry("routes", "r", 7),
                          MakeEntry("services", "b", 7),
                          MakeEntry("others", "b", Json::object()),
                          MakeEntry("limits", "", Json::object()),
                          Json(7),
                          Json{ { "type", "routes" } } }) {
    auto state = PutInForce({ it });
    CHECK_TEXT(state.has_value(), it.dump().c_str());
  }
}

TEST(AcknowledgedConfigurations, ARouteMayNameAServiceWithoutAnEntry)
{
  auto state = PutInForce(
    { MakeEntry("routes", "r", With(MakeRoute("/pufi/"), "service", "b")) });
  CHECK(state.has_value());
  STRCMP_EQUAL(
    "b", state->mDocument.mServices.at(ServiceName("b")).mVmGroup.c_str());
}
