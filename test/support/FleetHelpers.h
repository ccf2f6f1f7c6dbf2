#ifndef VANILLASCALE_TEST_SMALLSITE_H
#define VANILLASCALE_TEST_SMALLSITE_H

#include "FakeFleet.h"

#include "ConfigFold.h"
#include "RequestKeys.h"

#include <stdexcept>

namespace vanillascale::fake {

/** A document with one route of each kind. */
constexpr const char* kSmallDocument = R"({
  "environment": "test",
  "services": [ { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 } ],
  "routes": [
    { "name": "post-fee", "service": "ledger", "method": "POST",
      "path": "/fees", "priority": 1, "idempotent": false, "deadlineMs": 2000 },
    { "name": "balance", "service": "ledger", "method": "GET",
      "path": "/balance", "priority": 2, "deadlineMs": 2000 } ] })";

/** The change that puts a whole document in force. */
inline Change
MakeChange(const std::string& aDocument, const std::string& aId)
{
  auto document = ParseDocument(aDocument);
  if (!document) {
    throw std::logic_error(document.error().front().mProblem);
  }
  Change change;
  change.mId = aId;
  change.mWho = "test";
  change.mEnvironment = document->mEnvironment;
  change.mObjects = DiffDocument(ConfigState{}, *document);
  return change;
}

/** Promotes a document on a fleet's log. */
inline void
PublishDocument(FakeFleet& aFleet, const std::string& aDocument)
{
  aFleet.mLog.Append(
    aFleet.Now(), "test.config", FormatChange(MakeChange(aDocument, "first")));
}

/** A fresh key of the fleet's time. */
inline RequestKey
MakeFreshKey(FakeFleet& aFleet)
{
  std::uint64_t low = (std::uint64_t(aFleet.mRandom()) << 32);
  return MakeRequestKey(
    aFleet.WallNow(), aFleet.mRandom(), low | aFleet.mRandom());
}

/** The live nodes that schedule at least one service. */
inline std::vector<std::size_t>
SchedulerNodes(const FakeFleet& aFleet)
{
  std::vector<std::size_t> nodes;
  for (std::size_t i = 0; i < aFleet.mNodes.size(); ++i) {
    const FakeNode& node = *aFleet.mNodes[i];
    if (!node.mIsDead && !node.mState.mSchedulers.empty()) {
      nodes.push_back(i);
    }
  }
  return nodes;
}

} // namespace vanillascale::fake

#endif
