#include "RouteTable.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

namespace {

Document
MakeDocumentWithPaths(const std::vector<std::string>& aPaths)
{
  Document document;
  for (const std::string& it : aPaths) {
    Route route;
    route.mName = RouteName("at " + it);
    route.mMethod = "GET";
    route.mPath = it;
    document.mRoutes.emplace(route.mName, route);
  }
  return document;
}

std::string
Find(const RouteTable& aTable, const char* aMethod, const char* aPath)
{
  // Routes are named after their paths.
  const RouteName* name = aTable.Find(aMethod, aPath);
  return name ? name->mValue.substr(3) : "none";
}

} // namespace

TEST_GROUP(Routes){};

TEST(Routes, LongestPrefixMatches)
{
  RouteTable table =
    RouteTable::Make(MakeDocumentWithPaths({ "/a", "/a/b", "/a/b/c/d" }));
  STRCMP_EQUAL("/a", Find(table, "GET", "/a").c_str());
  STRCMP_EQUAL("/a/b", Find(table, "GET", "/a/b/x").c_str());
  STRCMP_EQUAL("/a/b", Find(table, "GET", "/a/b/c").c_str());
  STRCMP_EQUAL("/a/b/c/d", Find(table, "GET", "/a/b/c/d/e/f").c_str());
}

TEST(Routes, PrefixesMatchWholeSegments)
{
  RouteTable table = RouteTable::Make(MakeDocumentWithPaths({ "/a/b" }));
  STRCMP_EQUAL("none", Find(table, "GET", "/a/bc").c_str());
  STRCMP_EQUAL("none", Find(table, "GET", "/a").c_str());
  STRCMP_EQUAL("none", Find(table, "GET", "").c_str());
  STRCMP_EQUAL("none", Find(table, "GET", "/").c_str());
}

TEST(Routes, IgnoresQueryAndMatchesMethod)
{
  RouteTable table = RouteTable::Make(MakeDocumentWithPaths({ "/a" }));
  STRCMP_EQUAL("/a", Find(table, "GET", "/a?b=/c").c_str());
  STRCMP_EQUAL("none", Find(table, "POST", "/a").c_str());
}

TEST(Routes, RootMatchesEveryPath)
{
  RouteTable table = RouteTable::Make(MakeDocumentWithPaths({ "/", "/a" }));
  STRCMP_EQUAL("/", Find(table, "GET", "/").c_str());
  STRCMP_EQUAL("/", Find(table, "GET", "/x/y").c_str());
  STRCMP_EQUAL("/a", Find(table, "GET", "/a/y").c_str());
}
