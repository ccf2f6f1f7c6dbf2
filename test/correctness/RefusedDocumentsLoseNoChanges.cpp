#include "../support/FleetHelpers.h"
#include "DocumentEntries.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** One node that reads its configuration as a topic whose records replace each
 * other. */
struct ReadingNode
{
  NodeState mState;

  ReadingNode()
  {
    NodeOptions options;
    options.mSelf = NodeId("10.0.0.1:7000");
    options.mZone = ZoneName("z");
    options.mEnvironment = "test";
    options.mVmGroup = "proxies";
    options.mSource = ConfigSource::KeyedFeeds;
    mState = NodeState::Make(options, kStart);
  }

  /** Delivers the record of a revision, with one entry that is replaced by
   * bytes that can't be decoded if aBroken names it. */
  void Read(const Document& aDocument, const std::string& aBroken = "")
  {
    FeedReadResult read;
    read.mTopic = kDocumentTopic;
    read.mIsSuccessful = true;
    read.mIsSnapshot = true;
    read.mEnd = { 0, aDocument.mRevision + 1 };
    read.mRevision = aDocument.mRevision;
    read.mEntries = MakeDocumentEntries(aDocument, { 0, aDocument.mRevision });
    for (FeedEntry& it : read.mEntries) {
      if (it.mKey == aBroken) {
        it.mValue = "\xc1";
      }
    }
    Step(mState, kStart, read);
  }

  std::string PathOf(const std::string& aRoute) const
  {
    const auto& routes = mState.mConfig.mConfig.mDocument.mRoutes;
    auto it = routes.find(RouteName(aRoute));
    return it == routes.end() ? "" : it->second.mPath;
  }
  std::uint64_t Revision() const
  {
    return mState.mConfig.mConfig.mDocument.mRevision;
  }
};

Document
MakeDocument(std::uint64_t aRevision, const std::string& aPath)
{
  Document document = MakeServiceDocument("ledger");
  document.mEnvironment = "test";
  document.mRevision = aRevision;
  for (const char* it : { "moved", "other" }) {
    Route route;
    route.mName = RouteName(it);
    route.mService = ServiceName("ledger");
    route.mHost = "ficu.example";
    route.mPath = std::string("/") + it + aPath;
    route.mDeadline = milliseconds(800);
    document.mRoutes[route.mName] = route;
  }
  document.mRoutes[RouteName("other")].mPath = "/other/";
  return document;
}

} // namespace

TEST_GROUP(RefusedDocuments){};

/** A document that can't be put in force, such as one of a newer build, changes
 * a route. The next one has that route as it was there, so that it isn't among
 * the next changes. It was served as before the refused document. */
TEST(RefusedDocuments, LoseNoChangesOfTheNextOne)
{
  ReadingNode node;
  node.Read(MakeDocument(1, "/a/"));
  STRCMP_EQUAL("/moved/a/", node.PathOf("moved").c_str());
  node.Read(MakeDocument(2, "/b/"), "route/other");
  LONGS_EQUAL(1, node.Revision());
  STRCMP_EQUAL("/moved/a/", node.PathOf("moved").c_str());
  node.Read(MakeDocument(3, "/b/"));
  LONGS_EQUAL(3, node.Revision());
  STRCMP_EQUAL("/moved/b/", node.PathOf("moved").c_str());
}

/** Entries that a node had wrongly under a revision were corrected in its copy
 * and not in what it served, since the revision was the same. */
TEST(RefusedDocuments, AreNotThoseThatCorrectTheRevisionInForce)
{
  ReadingNode node;
  node.Read(MakeDocument(1, "/a/"));
  node.Read(MakeDocument(1, "/b/"));
  STRCMP_EQUAL("/moved/b/", node.PathOf("moved").c_str());
}
