#include "DocumentChecks.h"

#include <fstream>
#include <functional>
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
