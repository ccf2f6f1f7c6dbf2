#include "DocumentChecks.h"

#include <cmath>
#include <fstream>
#include <functional>
#include <limits>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

namespace {

std::string
ReadFile(const std::string& aName)
{
  std::ifstream in(std::string(SOURCE_DIR) + "/" + aName);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

TEST_GROUP(Documents){};

TEST(Documents, ExamplesAreValid)
{
  for (const char* it : { "examples/kitakaze.json", "examples/akwaaba.json" }) {
    auto document = ParseDocument(ReadFile(it));
    CHECK(document.has_value());
    LONGS_EQUAL(2, document->mServices.size());
    LONGS_EQUAL(5, document->mRoutes.size());
  }
  auto accounts = ParseDocument(ReadFile("examples/accounts.json"));
  CHECK(accounts.has_value());
  LONGS_EQUAL(3, accounts->mAccounts.size());
}

TEST(Documents, FormattedObjectsParseBack)
{
  auto document = ParseDocument(ReadFile("examples/kitakaze.json"));
  for (const auto& [name, route] : document->mRoutes) {
    auto reparsed = ParseRoute(FormatRoute(route));
    CHECK(reparsed.has_value());
    STRCMP_EQUAL(FormatRoute(route).c_str(), FormatRoute(*reparsed).c_str());
  }
  for (const auto& [name, service] : document->mServices) {
    auto reparsed = ParseService(FormatService(service));
    CHECK(reparsed.has_value());
    STRCMP_EQUAL(FormatService(service).c_str(),
                 FormatService(*reparsed).c_str());
  }
}

TEST(Documents, AllFaultsAreReportedAtOnce)
{
  auto document = ParseDocument(R"({ "environment": 7, "extra": 1,
    "services": [ { "name": "a", "vmGroup": "", "floorPercent": 101 } ],
    "routes": [ { "name": "r", "service": "a", "method": "LOOK",
                  "path": "x/", "priority": 0, "deadlineMs": 5 } ] })");
  CHECK(!document.has_value());
  LONGS_EQUAL(8, document.error().size());
}

/** Guards against faults that are missed, reported twice or reported at the
 * wrong location. For each invalid document in test/error, the .expected file
 * lists the JSON pointers of all its faults. */
TEST(Documents, InvalidDocumentsReportExpectedFaults)
{
  for (int i = 1; i <= 10; ++i) {
    std::string base =
      "test/error/broken-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
    auto document = ParseDocument(ReadFile(base + ".json"));
    CHECK_TEXT(!document.has_value(), base.c_str());
    std::istringstream expected(ReadFile(base + ".expected"));
    std::string pointer;
    std::size_t expectedCount = 0;
    while (std::getline(expected, pointer)) {
      bool isFound = false;
      for (const DocumentFault& it : document.error()) {
        isFound = isFound || it.mPointer == pointer;
      }
      CHECK_TEXT(isFound, pointer.c_str());
      ++expectedCount;
    }
    CHECK_TEXT(expectedCount > 0, base.c_str());
    LONGS_EQUAL_TEXT(expectedCount, document.error().size(), base.c_str());
  }
}

/** Guards against limits that hold for parsed documents but not for those that
 * are translated from a platform's format, or the other way round. */
TEST(Documents, AreCheckedAlikeWhetherParsedOrTranslated)
{
  const Document valid = *ParseDocument(ReadFile("examples/kitakaze.json"));
  CHECK(CheckDocument(valid).empty());
  std::vector<std::function<void(Document&, Service&, Route&)>> changes{
    [](Document& aDocument, Service&, Route&) {
      aDocument.mEnvironment.clear();
    },
    [](Document& aDocument, Service&, Route&) {
      aDocument.mLimits = CallerLimits{ 10, 10, std::chrono::seconds(1) };
    },
    [](Document&, Service& aService, Route&) { aService.mFloorPercent = 101; },
    [](Document&, Service& aService, Route&) { aService.mFloorPercent = 0; },
    [](Document&, Service& aService, Route&) { aService.mRetryPercent = 101; },
    [](Document&, Service& aService, Route&) { aService.mRetryBurst = 10001; },
    [](Document&, Service& aService, Route&) {
      aService.mGuaranteedPercent = 51;
    },
    [](Document&, Service& aService, Route&) {
      aService.mAccountLimit = 1000001;
    },
    [](Document&, Service& aService, Route&) { aService.mVmGroup.clear(); },
    [](Document&, Service&, Route& aRoute) { aRoute.mPath = "no-slash"; },
    [](Document&, Service&, Route& aRoute) { aRoute.mPath = "/a//b"; },
    [](Document&, Service&, Route& aRoute) { aRoute.mPath.clear(); },
    [](Document&, Service&, Route& aRoute) { aRoute.mHost.assign(2049, 'h'); },
    [](Document&, Service&, Route& aRoute) { aRoute.mPriority = 10; },
    [](Document&, Service&, Route& aRoute) { aRoute.mAttempts = 11; },
    [](Document&, Service&, Route& aRoute) {
      aRoute.mDeadline = std::chrono::milliseconds(9);
    },
    [](Document&, Service&, Route& aRoute) {
      aRoute.mDeadline = std::chrono::seconds(601);
    },
    [](Document&, Service&, Route& aRoute) {
      aRoute.mGoal = std::chrono::seconds(601);
    },
    [](Document&, Service&, Route& aRoute) {
      aRoute.mShares = { { aRoute.mService, 1000001 } };
      aRoute.mService = ServiceName();
    },
    [](Document&, Service&, Route& aRoute) {
      aRoute.mService = ServiceName("unknown");
    },
  };
  for (std::size_t i = 0; i < changes.size(); ++i) {
    Document document = valid;
    changes[i](document,
               document.mServices.begin()->second,
               document.mRoutes.begin()->second);
    std::string index = std::to_string(i);
    CHECK_TEXT(!ParseDocument(FormatDocument(document)), index.c_str());
    CHECK_TEXT(!CheckDocument(document).empty(), index.c_str());
  }
}

/** Guards against a document of which a part is put in force, against keys that
 * two accounts share, and against numbers that JSON texts can hold but a quota
 * cannot: the reader of JSON ends the process at 1e309 where it is not caught.
 */
TEST(Documents, WithInvalidAccountsAreRejectedWhole)
{
  auto withAccounts = [](const std::string& aAccounts) {
    return R"({ "environment": "test", "services": [], "routes": [],
      "accounts": )" +
           aAccounts + " }";
  };
  CHECK(ParseDocument(
          withAccounts(
            R"([ { "name": "a", "keys": [ "k1" ], "priority": 9, "rate": 0.5,
           "burst": 1e9 }, { "name": "b" } ])"))
          .has_value());
  const std::string oversized(4097, 'k');
  const std::vector<std::pair<std::string, std::string>> faults{
    { "/accounts/b/keys",
      R"([ { "name": "a", "keys": [ "k" ] },
           { "name": "b", "keys": [ "j", "k" ] } ])" },
    { "/accounts/0/keys/1", R"([ { "name": "a", "keys": [ "k", "" ] } ])" },
    { "/accounts/0/keys/0",
      R"([ { "name": "a", "keys": [ ")" + oversized + R"(" ] } ])" },
    { "/accounts/0/keys/0", R"([ { "name": "a", "keys": [ 7 ] } ])" },
    { "/accounts/0/keys", R"([ { "name": "a", "keys": "k" } ])" },
    { "/accounts/0/rate", R"([ { "name": "a", "rate": -1 } ])" },
    { "/accounts/0/rate", R"([ { "name": "a", "rate": -1e-300 } ])" },
    { "/accounts/0/rate", R"([ { "name": "a", "rate": "NaN" } ])" },
    { "/accounts/0/rate", R"([ { "name": "a", "rate": null } ])" },
    { "/accounts/0/rate", R"([ { "name": "a", "rate": 1e10 } ])" },
    { "/accounts/0/burst", R"([ { "name": "a", "burst": -0.5 } ])" },
    { "/accounts/0/priority", R"([ { "name": "a", "priority": 0 } ])" },
    { "/accounts/0/priority", R"([ { "name": "a", "priority": 10 } ])" },
    { "/accounts/1/name", R"([ { "name": "a" }, { "name": "a" } ])" },
    { "/accounts/0/name", R"([ { "name": "" } ])" },
    { "/accounts/0/name", R"([ { "name": "a\r\nX-Admin: 1" } ])" },
    { "/accounts/0/name", R"([ { "name": " a" } ])" },
    { "/accounts/0/quota", R"([ { "name": "a", "quota": 1 } ])" },
    { "/accounts", R"({ "name": "a" })" },
    { "/", R"([ { "name": "a", "rate": 1e309 } ])" },
    { "/", R"([ { "name": "a", "rate": -1e309 } ])" },
    { "/", R"([ { "name": "a", "rate": NaN } ])" },
  };
  for (const auto& [pointer, accounts] : faults) {
    std::string label = accounts.substr(0, 100);
    auto document = ParseDocument(withAccounts(accounts));
    CHECK_TEXT(!document, label.c_str());
    LONGS_EQUAL_TEXT(1, document.error().size(), label.c_str());
    STRCMP_EQUAL(pointer.c_str(), document.error()[0].mPointer.c_str());
  }
}

TEST(Documents, AccountsAreCheckedAlikeWhetherParsedOrTranslated)
{
  Document valid = *ParseDocument(ReadFile("examples/kitakaze.json"));
  ClientAccount account;
  account.mName = AccountName("a");
  account.mKeys = { DigestKey("kitakaze", "k") };
  valid.mAccounts[account.mName] = account;
  CHECK(CheckDocument(valid).empty());
  CHECK(ParseDocument(FormatDocument(valid)).has_value());
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  const std::vector<std::function<void(ClientAccount&)>> changes{
    [](ClientAccount& aAccount) { aAccount.mRate = -1; },
    [](ClientAccount& aAccount) { aAccount.mRate = std::nan(""); },
    [](ClientAccount& aAccount) { aAccount.mRate = kInfinity; },
    [](ClientAccount& aAccount) { aAccount.mBurst = -1; },
    [](ClientAccount& aAccount) { aAccount.mBurst = std::nan(""); },
    [](ClientAccount& aAccount) { aAccount.mBurst = kInfinity; },
    [](ClientAccount& aAccount) { aAccount.mPriority = 0; },
    [](ClientAccount& aAccount) { aAccount.mPriority = 10; },
    [](ClientAccount& aAccount) { aAccount.mKeys.resize(1001); },
    [](ClientAccount& aAccount) { aAccount.mName = AccountName(); },
    [](ClientAccount& aAccount) {
      aAccount.mName = AccountName(std::string(65, 'n'));
    },
    [](ClientAccount& aAccount) { aAccount.mName = AccountName("a\nb"); },
    [](ClientAccount& aAccount) { aAccount.mName = AccountName("a "); },
  };
  for (std::size_t i = 0; i < changes.size(); ++i) {
    Document document = valid;
    changes[i](document.mAccounts.begin()->second);
    CHECK_TEXT(!CheckDocument(document).empty(), std::to_string(i).c_str());
  }
  Document shared = valid;
  account.mName = AccountName("b");
  shared.mAccounts[account.mName] = account;
  LONGS_EQUAL(1, CheckDocument(shared).size());
}
