#include "Document.h"

#include <fstream>
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
    auto again = ParseRoute(FormatRoute(route));
    CHECK(again.has_value());
    STRCMP_EQUAL(FormatRoute(route).c_str(), FormatRoute(*again).c_str());
  }
  for (const auto& [name, service] : document->mServices) {
    auto again = ParseService(FormatService(service));
    CHECK(again.has_value());
    STRCMP_EQUAL(FormatService(service).c_str(), FormatService(*again).c_str());
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

/** Each broken document of test/error names the places that have to be found.
 */
TEST(Documents, InvalidDocumentsReportExpectedFaults)
{
  for (int i = 1; i <= 10; ++i) {
    std::string base =
      "test/error/broken-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
    auto document = ParseDocument(ReadFile(base + ".json"));
    CHECK_TEXT(!document.has_value(), base.c_str());
    std::istringstream expected(ReadFile(base + ".expected"));
    std::string place;
    std::size_t n = 0;
    while (std::getline(expected, place)) {
      bool isFound = false;
      for (const DocumentFault& it : document.error()) {
        isFound = isFound || it.mPointer == place;
      }
      CHECK_TEXT(isFound, place.c_str());
      ++n;
    }
    CHECK_TEXT(n > 0, base.c_str());
    LONGS_EQUAL_TEXT(n, document.error().size(), base.c_str());
  }
}
