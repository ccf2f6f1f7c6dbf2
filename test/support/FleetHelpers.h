#ifndef VANILLASCALE_TEST_FLEETHELPERS_H
#define VANILLASCALE_TEST_FLEETHELPERS_H

#include "FakeFleet.h"

#include "ConfigFold.h"
#include "RequestKeys.h"

#include <cstdlib>
#include <numeric>
#include <stdexcept>

namespace vanillascale::fake {

/** Returns the seeds of a test: aCount of them, from 1 on.
 * VANILLASCALE_TEST_SEED overrides the first. */
inline std::vector<std::uint64_t>
TestSeeds(std::size_t aCount)
{
  const char* text = std::getenv("VANILLASCALE_TEST_SEED");
  std::uint64_t first = text ? std::strtoull(text, nullptr, 10) : 1;
  std::vector<std::uint64_t> seeds(aCount);
  std::iota(seeds.begin(), seeds.end(), first);
  return seeds;
}

/** A document with one idempotent and one non-idempotent route. */
constexpr const char* kSmallDocument = R"({
  "environment": "test",
  "services": [ { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 } ],
  "routes": [
    { "name": "post-fee", "service": "ledger", "method": "POST",
      "path": "/fees", "priority": 1, "idempotent": false, "deadlineMs": 2000 },
    { "name": "balance", "service": "ledger", "method": "GET",
      "path": "/balance", "priority": 2, "deadlineMs": 2000 } ] })";

/** Returns a change that puts a document in force on an empty configuration.
 * Throws std::logic_error if the document is invalid. */
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

/** Returns a document with one service, whose VM group has the same name. */
inline Document
MakeServiceDocument(const std::string& aService)
{
  Document document;
  document.mEnvironment = "test";
  document.mRevision = 1;
  Service service;
  service.mName = ServiceName(aService);
  service.mVmGroup = aService;
  document.mServices[service.mName] = service;
  return document;
}

/** Appends a change with the given document to the configuration stream of a
 * fleet. */
inline void
PublishDocument(FakeFleet& aFleet, const std::string& aDocument)
{
  aFleet.mLog.Append(
    aFleet.Now(), "test.config", FormatChange(MakeChange(aDocument, "first")));
}

/** Returns a new random request key with the fleet's current time. */
inline RequestKey
MakeFreshKey(FakeFleet& aFleet)
{
  std::uint64_t low = (std::uint64_t(aFleet.mRandom()) << 32);
  return MakeRequestKey(
    aFleet.WallNow(), aFleet.mRandom(), low | aFleet.mRandom());
}

/** Returns the indexes of the live nodes that run at least one scheduler. */
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
