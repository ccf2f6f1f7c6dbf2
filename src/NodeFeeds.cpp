#include "NodeFeeds.h"

#include "DocumentEntries.h"
#include "EventNumbers.h"
#include "SchedulerEvidence.h"

#include <algorithm>
#include <utility>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Delay before nodes other than seeds read the store at the fleet's first
 * start. The number of nodes with a copy doubles with each pull; the first
 * callers arrive seconds after the start of the fleet. */
constexpr Duration kFirstStartReadDelay = milliseconds(3000);
/** The first list of members arrives within this time of the start. */
constexpr Duration kViewSettleTime = milliseconds(1000);
/** The delays of different nodes differ by up to this time, so that the first
 * ones to read the store can pass on their copies. */
constexpr Duration kReadDelaySpread = milliseconds(800);
/** Changed entries of each topic that are kept for peers that are behind. */
constexpr std::size_t kMaxRecentDocumentEntries = 4096;
constexpr std::size_t kMaxRecentTargetEntries = 1024;
/** Returns the read intervals of the document topic. Documents change rarely
 * and must be in force within two seconds. */
FeedSettings
DocumentFeedSettings()
{
  FeedSettings settings;
  settings.mTopic = kDocumentTopic;
  settings.mReadInterval = milliseconds(20);
  settings.mWait = milliseconds(800);
  settings.mStaleAfter = milliseconds(1250);
  settings.mHasWholeRecords = true;
  settings.mMaxRecentEntries = kMaxRecentDocumentEntries;
  return settings;
}

/** Returns the read intervals of the target topic. Target entries change
 * continuously, mostly only in a counter, so reads are spaced out. A leaving
 * target must be known within two seconds. */
FeedSettings
TargetFeedSettings()
{
  FeedSettings settings;
  settings.mTopic = kTargetTopic;
  settings.mReadInterval = milliseconds(450);
  settings.mStaleAfter = milliseconds(1000);
  settings.mOutageGracePeriod = milliseconds(2000);
  settings.mMaxRecentEntries = kMaxRecentTargetEntries;
  return settings;
}

/** Returns how long a starting node waits for copies from its peers before it
 * reads the store. At the fleet's first start the seeds read at once, and the
 * other nodes copy from them. At any later start callers may be waiting, and no
 * peer may have a copy, so that every node reads at once. */
Duration
StoreReadDelay(const NodeOptions& aOptions, Random& aRandom)
{
  const auto& seeds = aOptions.mSeeds;
  bool readsImmediately =
    !aOptions.mIsFirstStart || seeds.empty() ||
    std::find(seeds.begin(), seeds.end(), aOptions.mSelf) != seeds.end();
  if (readsImmediately) {
    return Duration(0);
  }
  auto spread = static_cast<Duration::rep>(
    RandomBelow(aRandom, static_cast<std::size_t>(kReadDelaySpread.count())));
  return kFirstStartReadDelay + Duration(spread);
}

/** Adds the proxies among aVms to the members. */
void
SeedProxies(NodeState& aState, TimePoint aNow, const std::vector<Vm>& aVms)
{
  std::vector<Vm> proxies;
  for (const Vm& it : aVms) {
    if (it.mGroup == aState.mOptions.mVmGroup) {
      proxies.push_back(it);
    }
  }
  SeedMembers(aState.mMembers, aNow, proxies);
}

/** Updates the members, the schedulers' target pools and the proxy's local
 * targets from all VMs. */
void
ApplyAllVms(NodeState& aState, TimePoint aNow)
{
  std::vector<Vm> vms = ValuesOf(aState.mVms);
  SeedProxies(aState, aNow, vms);
  for (auto& [name, scheduler] : aState.mSchedulers) {
    if (const Service* service = FindService(aState, name)) {
      UpdatePool(scheduler.mPool, aNow, service->mVmGroup, vms);
    }
  }
  UpdateServiceTargets(aState.mProxy, aState.mConfig.mConfig, aState.mVms);
}

/** Replaces or, without aNew, removes one VM and updates what depends on it.
 * The cost does not depend on the number of VMs. */
void
ApplyVm(NodeState& aState,
        TimePoint aNow,
        const std::string& aKey,
        const std::optional<Vm>& aNew)
{
  std::optional<Vm> old;
  auto it = aState.mVms.find(aKey);
  if (it != aState.mVms.end()) {
    old = std::move(it->second);
    aState.mVms.erase(it);
  }
  if (aNew) {
    aState.mVms.emplace(aKey, *aNew);
    SeedProxies(aState, aNow, { *aNew });
  }
  for (auto& [name, scheduler] : aState.mSchedulers) {
    const Service* service = FindService(aState, name);
    if (!service) {
      continue;
    }
    if (old && old->mGroup == service->mVmGroup) {
      RemoveTarget(scheduler.mPool, TargetId(old->mAddress));
    }
    if (aNew && aNew->mGroup == service->mVmGroup) {
      UpdateTarget(scheduler.mPool, aNow, *aNew);
    }
  }
  UpdateServiceTarget(aState.mProxy, aState.mConfig.mConfig, old, aNew);
}

/** Puts the first copy of the target topic in use. */
void
LoadVms(NodeState& aState, TimePoint aNow, KeyedFeedState& aFeed)
{
  aFeed.mChangedKeys.clear();
  for (const auto& [key, entry] : aFeed.mEntries) {
    if (auto vm = ParseVm(entry.mValue)) {
      aState.mVms.emplace(key, std::move(*vm));
    }
  }
  aState.mHasVms = true;
  ApplyAllVms(aState, aNow);
}

const char*
OutcomeName(DocumentUpdate aUpdate)
{
  switch (aUpdate) {
    case DocumentUpdate::InForce:
      return "in_force";
    case DocumentUpdate::NotNewer:
      return "not_newer";
    case DocumentUpdate::Undecodable:
      return "undecodable";
  }
  return "undecodable";
}

/** Puts the changed entries of the document feed in force. Logs the outcome.
 * The keys of an update that is refused are kept for the next one, which is
 * made of what the feed holds then and not of what the refused one has changed.
 */
void
ApplyDocuments(NodeState& aState,
               TimePoint aNow,
               KeyedFeedState& aFeed,
               Effects& aEffects)
{
  ConfigState& config = aState.mConfig.mConfig;
  std::vector<std::string>& keys = aFeed.mChangedKeys;
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  std::size_t changes = keys.size();
  DocumentUpdate update = UpdateDocument(config, aFeed.mEntries, keys);
  if (update == DocumentUpdate::InForce) {
    keys.clear();
  }
  std::string source =
    aFeed.mConfirmedBy.mValue.empty() ? "store" : aFeed.mConfirmedBy.mValue;
  auto ageMs = (aNow - aFeed.mFreshAt) / milliseconds(1);
  aEffects.push_back(WriteEvent{
    kEventDocumentRead,
    "position=" + FormatPosition(config.mPosition) +
      " revision=" + std::to_string(config.mDocument.mRevision) +
      " changes=" + std::to_string(changes) +
      " entries=" + std::to_string(aFeed.mEntries.size()) +
      " digest=" + std::to_string(aFeed.mDigest) + " source=" + source +
      " age_ms=" + std::to_string(ageMs) + " outcome=" + OutcomeName(update) });
}

} // namespace

std::map<std::string, KeyedFeedState>
MakeFeeds(const NodeOptions& aOptions, TimePoint aNow, Random& aRandom)
{
  std::map<std::string, KeyedFeedState> feeds;
  for (FeedSettings it : { DocumentFeedSettings(), TargetFeedSettings() }) {
    it.mSeeds = aOptions.mSeeds;
    it.mViewSettleTime = kViewSettleTime;
    it.mPeerLoadTimeout = StoreReadDelay(aOptions, aRandom);
    feeds.emplace(it.mTopic, KeyedFeedState::Make(it, aNow));
  }
  return feeds;
}

const Service*
FindService(const NodeState& aState, const ServiceName& aName)
{
  const auto& services = aState.mConfig.mConfig.mDocument.mServices;
  auto it = services.find(aName);
  return it == services.end() ? nullptr : &it->second;
}

StorePosition
TargetListEnd(const NodeState& aState)
{
  auto it = aState.mFeeds.find(kTargetTopic);
  return it == aState.mFeeds.end() ? StorePosition() : it->second.mEnd;
}

void
ApplyVmList(NodeState& aState, TimePoint aNow, const std::vector<Vm>& aVms)
{
  aState.mVms.clear();
  for (const Vm& it : aVms) {
    aState.mVms.insert_or_assign(it.mAddress, it);
  }
  aState.mHasVms = true;
  ApplyAllVms(aState, aNow);
}

void
ApplyFeedChanges(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  KeyedFeedState& documents = aState.mFeeds.at(kDocumentTopic);
  if (documents.mVersion != aState.mSeenDocumentsVersion) {
    aState.mSeenDocumentsVersion = documents.mVersion;
    ApplyDocuments(aState, aNow, documents, aEffects);
    if (aState.mHasVms) {
      // Services may use other groups of VMs now.
      ApplyAllVms(aState, aNow);
    }
  }
  KeyedFeedState& targets = aState.mFeeds.at(kTargetTopic);
  for (auto& [name, scheduler] : aState.mSchedulers) {
    MoveTargetListEnd(scheduler, targets.mEnd);
  }
  bool isFirst = targets.mIsLoaded && !aState.mHasVms;
  if (targets.mVersion == aState.mSeenTargetsVersion && !isFirst) {
    return;
  }
  aState.mSeenTargetsVersion = targets.mVersion;
  if (isFirst) {
    LoadVms(aState, aNow, targets);
    return;
  }
  for (const std::string& it : std::exchange(targets.mChangedKeys, {})) {
    auto entry = targets.mEntries.find(it);
    ApplyVm(aState,
            aNow,
            it,
            entry == targets.mEntries.end() ? std::nullopt
                                            : ParseVm(entry->second.mValue));
  }
}

std::string
FormatVm(const Vm& aVm)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aVm);
  return std::string(buf.data(), buf.size());
}

std::optional<Vm>
ParseVm(const std::string& aValue)
{
  try {
    return msgpack::unpack(aValue.data(), aValue.size())->as<Vm>();
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

} // namespace vanillascale
