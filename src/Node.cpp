#include "Node.h"

#include "Duties.h"
#include "EventNumbers.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kVmListInterval = seconds(1);
/** While the list is empty the node can serve nobody. */
constexpr Duration kEmptyVmListInterval = milliseconds(100);
/** Members find each other within 0.3 s and have copies two pulls later; the
 * first callers come seconds after the fleet's start. */
constexpr Duration kJoinPatience = milliseconds(1200);
constexpr Duration kIdleSchedulerTime = seconds(5);
/** Long enough for the fleet to learn that a node is leaving, and for a
 * balancer that asks each second to miss two answers. */
constexpr Duration kLeavingTime = milliseconds(2300);
constexpr Duration kLongestLeavingTime = std::chrono::minutes(10);

/** The part of the burst of repeated sends that a new scheduler may give out at
 * once: schedules move several times in a few seconds when VMs are replaced. */
constexpr double kNewRetryShare = 1.0 / 3;

/** Documents change rarely and have to be in force within two seconds. */
FeedSettings
DocumentFeed()
{
  FeedSettings settings;
  settings.mTopic = kDocumentTopic;
  settings.mReadInterval = milliseconds(20);
  settings.mWait = milliseconds(800);
  settings.mStaleAfter = milliseconds(1250);
  return settings;
}

/** Targets' entries change all the time, mostly in nothing but a count: reads
 * are spaced. One that leaves must be known within two seconds. */
FeedSettings
TargetFeed()
{
  FeedSettings settings;
  settings.mTopic = kTargetTopic;
  settings.mReadInterval = milliseconds(450);
  settings.mStaleAfter = milliseconds(1000);
  settings.mOutageGracePeriod = milliseconds(2200);
  return settings;
}

/** At the fleet's first start, seeds read the store and the others get their
 * copies; nobody calls yet. At any later start each node reads at once, since
 * callers wait for it. */
Duration
JoinPatience(const NodeIdentity& aIdentity)
{
  const auto& seeds = aIdentity.mSeeds;
  bool readsAtOnce =
    !aIdentity.mIsFirstStart || seeds.empty() ||
    std::find(seeds.begin(), seeds.end(), aIdentity.mSelf) != seeds.end();
  return readsAtOnce ? Duration(0) : kJoinPatience;
}

/** Whether what comes in now might not end before the process is ended. */
bool
RefusesNew(const NodeState& aState, TimePoint aNow)
{
  return aState.mIsStopping && aState.mIdentity.mStopWithin > Duration(0) &&
         aNow - aState.mStoppingSince >= aState.mIdentity.mStopWithin / 2;
}

ProxyContext
ContextOf(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return {
    aNow,           aState.mMembers, aState.mConfig.mConfig,  aState.mVms,
    aState.mRandom, aEffects,        RefusesNew(aState, aNow)
  };
}

FeedContext
FeedContextOf(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return { aNow, aState.mMembers, aState.mRandom, aEffects };
}

ConfigContext
ConfigContextOf(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return { aNow, aState.mMembers, aState.mRandom, aEffects };
}

const Service*
FindService(const NodeState& aState, const ServiceName& aName)
{
  const auto& services = aState.mConfig.mConfig.mDocument.mServices;
  auto it = services.find(aName);
  return it == services.end() ? nullptr : &it->second;
}

/** The scheduler of a service, made when the first proxy asks this node. */
SchedulerState&
SchedulerOf(NodeState& aState,
            TimePoint aNow,
            const Service& aService,
            Effects& aEffects)
{
  auto it = aState.mSchedulers.find(aService.mName);
  if (it != aState.mSchedulers.end()) {
    return it->second;
  }
  // The top bit is left free: it marks leases that proxies gave themselves.
  auto epoch = static_cast<std::uint32_t>(aState.mRandom() >> 1);
  SchedulerState& scheduler =
    aState.mSchedulers
      .emplace(aService.mName,
               SchedulerState::Make(
                 aService.mName, aState.mIdentity.mSelf, epoch, aNow))
      .first->second;
  scheduler.mPool.mFloorPercent = aService.mFloorPercent;
  // It does not know what its predecessor has given out.
  scheduler.mRetryTokens = aService.mRetryBurst * kNewRetryShare;
  if (aState.mHasVms) {
    UpdatePool(scheduler.mPool, aNow, aService.mVmGroup, aState.mVms);
  }
  aEffects.push_back(
    WriteEvent{ kEventSchedulerStarted, "service=" + aService.mName.mValue });
  return scheduler;
}

ZoneName
ZoneOf(const NodeState& aState, const NodeId& aNode)
{
  if (aNode == aState.mIdentity.mSelf) {
    return aState.mIdentity.mZone;
  }
  auto it = aState.mMembers.mMembers.find(aNode);
  return it == aState.mMembers.mMembers.end() ? ZoneName() : it->second.mZone;
}

IntentWriterState&
WriterOf(NodeState& aState, const std::string& aStream)
{
  auto it = aState.mWriters.find(aStream);
  if (it == aState.mWriters.end()) {
    it =
      aState.mWriters.emplace(aStream, IntentWriterState::Make(aStream)).first;
  }
  return it->second;
}

/** Takes over a new list of the platform's VMs. */
void
TakeVms(NodeState& aState, TimePoint aNow, std::vector<Vm> aVms)
{
  aState.mVms = std::move(aVms);
  aState.mHasVms = true;
  std::vector<Vm> proxies;
  for (const Vm& it : aState.mVms) {
    if (it.mGroup == aState.mIdentity.mVmGroup) {
      proxies.push_back(it);
    }
  }
  SeedMembers(aState.mMembers, aNow, proxies);
  for (auto& [name, scheduler] : aState.mSchedulers) {
    if (const Service* service = FindService(aState, name)) {
      UpdatePool(scheduler.mPool, aNow, service->mVmGroup, aState.mVms);
    }
  }
  SeedLocalTargets(aState.mProxy, aState.mConfig.mConfig, aState.mVms);
}

/** Puts the newest document of the feed in force. */
void
AdoptDocument(NodeState& aState, const KeyedFeedState& aFeed, Effects& aEffects)
{
  for (const auto& [key, entry] : aFeed.mEntries) {
    auto document = ParseDocument(entry.mValue);
    std::string outcome = "in_force";
    if (!document) {
      outcome = "invalid place=" + document.error().front().mPlace;
    } else if (!ReplaceDocument(
                 aState.mConfig.mConfig, std::move(*document), entry.mOffset)) {
      outcome = "not_newer";
    }
    aEffects.push_back(
      WriteEvent{ kEventDocumentRead,
                  "offset=" + std::to_string(entry.mOffset) + " revision=" +
                    std::to_string(aState.mConfig.mConfig.mDocument.mRevision) +
                    " outcome=" + outcome });
  }
}

/** Acts on what has changed in the feeds. */
void
AdoptFeeds(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  const KeyedFeedState& documents = aState.mFeeds.at(kDocumentTopic);
  if (documents.mVersion != aState.mSeenDocuments) {
    aState.mSeenDocuments = documents.mVersion;
    AdoptDocument(aState, documents, aEffects);
  }
  const KeyedFeedState& targets = aState.mFeeds.at(kTargetTopic);
  bool isFirst = targets.mIsLoaded && !aState.mHasVms;
  if (targets.mVersion == aState.mSeenTargets && !isFirst) {
    return;
  }
  aState.mSeenTargets = targets.mVersion;
  std::vector<Vm> vms;
  for (const auto& [key, entry] : targets.mEntries) {
    if (auto vm = ParseVm(entry.mValue)) {
      vms.push_back(std::move(*vm));
    }
  }
  TakeVms(aState, aNow, std::move(vms));
}

/** Hands each kind of message to the role that it is for. */
struct MessageHandler
{
  NodeState& mState;
  TimePoint mNow;
  const NodeId& mFrom;
  Effects& mEffects;

  void operator()(const Ping& aMessage) { ToMembers(aMessage); }
  void operator()(const PingAck& aMessage) { ToMembers(aMessage); }
  void operator()(const PingRequest& aMessage) { ToMembers(aMessage); }

  void operator()(const LeaseRequest& aMessage)
  {
    if (const Service* service = FindService(mState, aMessage.mService)) {
      SchedulerReceive(SchedulerOf(mState, mNow, *service, mEffects),
                       mNow,
                       *service,
                       mFrom,
                       ZoneOf(mState, mFrom),
                       aMessage,
                       mEffects);
    }
  }
  void operator()(const LeaseSync& aMessage)
  {
    if (const Service* service = FindService(mState, aMessage.mService)) {
      SchedulerReceive(SchedulerOf(mState, mNow, *service, mEffects),
                       mNow,
                       mFrom,
                       ZoneOf(mState, mFrom),
                       aMessage);
    }
  }
  void operator()(const LeaseReport& aMessage)
  {
    ServiceName name = aMessage.mService;
    if (name.mValue.empty()) {
      name = FindLease(aMessage.mLease);
    }
    const Service* service = FindService(mState, name);
    auto it = mState.mSchedulers.find(name);
    if (service && it != mState.mSchedulers.end()) {
      SchedulerReceive(it->second, mNow, *service, mFrom, aMessage, mEffects);
    }
  }
  void operator()(const LeaseWithdrawal& aMessage)
  {
    auto it = mState.mSchedulers.find(aMessage.mService);
    if (it != mState.mSchedulers.end()) {
      SchedulerReceive(it->second, mNow, mFrom, aMessage);
    }
  }

  void operator()(const LeaseQueued& aMessage) { ToProxy(aMessage); }
  void operator()(const LeaseGrant& aMessage) { ToProxy(aMessage); }
  void operator()(const LeaseRefusal& aMessage) { ToProxy(aMessage); }
  void operator()(const LeaseQuery& aMessage) { ToProxy(aMessage); }
  void operator()(const TargetView& aMessage) { ToProxy(aMessage); }
  void operator()(const IntentDecision& aMessage) { ToProxy(aMessage); }
  void operator()(const KeptAnswerQuery& aMessage) { ToProxy(aMessage); }
  void operator()(const KeptAnswerReply& aMessage) { ToProxy(aMessage); }

  void operator()(const ConfigPull& aMessage) { ToConfig(aMessage); }
  void operator()(const ConfigPush& aMessage) { ToConfig(aMessage); }

  void operator()(const FeedPush& aMessage) { ToFeed(aMessage); }
  void operator()(const FeedPull& aMessage) { ToFeed(aMessage); }

  void operator()(const IntentRequest& aMessage)
  {
    std::string stream =
      IntentStream(mState.mIdentity.mEnvironment, aMessage.mKey);
    IntentWriterReceive(
      WriterOf(mState, stream), mNow, mFrom, aMessage, mEffects);
  }

private:
  /** The service whose scheduler lent a lease: a proxy that has forgotten its
   * request can name the lease alone. */
  ServiceName FindLease(LeaseId aLease) const
  {
    for (const auto& [name, scheduler] : mState.mSchedulers) {
      if (scheduler.mLeases.count(aLease) > 0) {
        return name;
      }
    }
    return ServiceName();
  }

  template<typename Body>
  void ToMembers(const Body& aMessage)
  {
    MembershipReceive(mState.mMembers, mNow, mFrom, aMessage, mEffects);
  }
  template<typename Body>
  void ToProxy(const Body& aMessage)
  {
    ProxyReceive(
      mState.mProxy, ContextOf(mState, mNow, mEffects), mFrom, aMessage);
  }
  template<typename Body>
  void ToFeed(const Body& aMessage)
  {
    auto it = mState.mFeeds.find(aMessage.mTopic);
    if (it != mState.mFeeds.end()) {
      FeedReceive(
        it->second, FeedContextOf(mState, mNow, mEffects), mFrom, aMessage);
      AdoptFeeds(mState, mNow, mEffects);
    }
  }
  template<typename Body>
  void ToConfig(const Body& aMessage)
  {
    ConfigReceive(
      mState.mConfig, ConfigContextOf(mState, mNow, mEffects), mFrom, aMessage);
  }
};

void
ForgetDeadHolders(NodeState& aState)
{
  if (aState.mSeenMembersVersion == aState.mMembers.mVersion) {
    return;
  }
  aState.mSeenMembersVersion = aState.mMembers.mVersion;
  for (auto& [name, scheduler] : aState.mSchedulers) {
    std::vector<NodeId> dead;
    for (const auto& [node, client] : scheduler.mClients) {
      bool isGone =
        node != aState.mIdentity.mSelf && !IsReachable(aState.mMembers, node);
      if (isGone) {
        dead.push_back(node);
      }
    }
    for (const NodeId& it : dead) {
      ForgetHolder(scheduler, it);
    }
  }
}

void
TickSchedulers(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  ForgetDeadHolders(aState);
  for (auto it = aState.mSchedulers.begin(); it != aState.mSchedulers.end();) {
    SchedulerState& scheduler = it->second;
    const Service* service = FindService(aState, it->first);
    bool isIdle = scheduler.mLeases.empty() &&
                  scheduler.mQueue.mEntries.empty() &&
                  aNow - scheduler.mLastAskedAt > kIdleSchedulerTime;
    bool isEnded = !service || (isIdle && DutyOwner(aState.mMembers,
                                                    SchedulerDuty(it->first)) !=
                                            aState.mIdentity.mSelf);
    if (isEnded) {
      aEffects.push_back(
        WriteEvent{ kEventSchedulerEnded, "service=" + it->first.mValue });
      it = aState.mSchedulers.erase(it);
      continue;
    }
    SchedulerTick(scheduler, aNow, *service, aEffects);
    ++it;
  }
}

void
FinishStopping(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  if (!aState.mIsStopping || aState.mIsStopped) {
    return;
  }
  Duration age = aNow - aState.mStoppingSince;
  bool isDone = aState.mProxy.mRequests.empty() &&
                aState.mProxy.mAbandoned.empty() && age >= kLeavingTime;
  Duration longest = aState.mIdentity.mStopWithin > Duration(0)
                       ? aState.mIdentity.mStopWithin
                       : kLongestLeavingTime;
  if (isDone || age >= longest) {
    aState.mIsStopped = true;
    aEffects.push_back(Stop{});
  }
}

/** Hands each kind of event to the role that it is for. */
struct EventHandler
{
  NodeState& mState;
  TimePoint mNow;
  Effects& mEffects;

  void operator()(const Tick&)
  {
    MembershipTick(mState.mMembers, mNow, mState.mRandom, mEffects);
    FollowPlatform();
    TickSchedulers(mState, mNow, mEffects);
    for (auto& [stream, writer] : mState.mWriters) {
      IntentWriterTick(writer, mNow, mEffects);
    }
    ProxyTick(mState.mProxy, ContextOf(mState, mNow, mEffects));
    FinishStopping(mState, mNow, mEffects);
  }

  void operator()(const CallerRequest& aEvent) { ToProxy(aEvent); }
  void operator()(const CallerGone& aEvent) { ToProxy(aEvent); }
  void operator()(const TargetEnded& aEvent) { ToProxy(aEvent); }

  void operator()(const PeerReceived& aEvent)
  {
    const Envelope& envelope = aEvent.mEnvelope;
    std::visit(MessageHandler{ mState, mNow, envelope.mFrom, mEffects },
               envelope.mMessage);
  }

  void operator()(const LogAppended& aEvent)
  {
    if (aEvent.mStream == mState.mConfig.mStream) {
      ConfigReceive(mState.mConfig, aEvent);
      return;
    }
    auto it = mState.mWriters.find(aEvent.mStream);
    if (it != mState.mWriters.end()) {
      IntentWriterReceive(it->second, mNow, aEvent, mEffects);
    }
  }

  void operator()(const LogRead& aEvent)
  {
    if (aEvent.mStream == mState.mConfig.mStream) {
      ConfigReceive(
        mState.mConfig, ConfigContextOf(mState, mNow, mEffects), aEvent);
      return;
    }
    auto it = mState.mWriters.find(aEvent.mStream);
    if (it != mState.mWriters.end()) {
      IntentWriterReceive(it->second, mNow, aEvent, mEffects);
    }
  }

  void operator()(const VmListRead& aEvent)
  {
    if (!aEvent.mIsDone) {
      return;
    }
    TakeVms(mState, mNow, aEvent.mVms);
  }

  void operator()(const FeedRead& aEvent)
  {
    auto it = mState.mFeeds.find(aEvent.mTopic);
    if (it != mState.mFeeds.end()) {
      FeedReceive(it->second, FeedContextOf(mState, mNow, mEffects), aEvent);
      AdoptFeeds(mState, mNow, mEffects);
    }
  }

  void operator()(const ShutdownRequested&)
  {
    if (mState.mIsStopping) {
      return;
    }
    mState.mIsStopping = true;
    mState.mStoppingSince = mNow;
    AnnounceLeaving(mState.mMembers);
    mEffects.push_back(WriteEvent{ kEventStopping, "" });
  }

private:
  void FollowPlatform()
  {
    if (mState.mIdentity.mSource == ConfigSource::KeyedFeeds) {
      for (auto& [topic, feed] : mState.mFeeds) {
        FeedTick(feed, FeedContextOf(mState, mNow, mEffects));
      }
      AdoptFeeds(mState, mNow, mEffects);
      return;
    }
    ConfigTick(mState.mConfig, ConfigContextOf(mState, mNow, mEffects));
    if (mNow >= mState.mNextVmListAt) {
      mState.mNextVmListAt =
        mNow + (mState.mVms.empty() ? kEmptyVmListInterval : kVmListInterval);
      mEffects.push_back(ReadVmList{});
    }
  }

  template<typename Body>
  void ToProxy(const Body& aEvent)
  {
    ProxyReceive(mState.mProxy, ContextOf(mState, mNow, mEffects), aEvent);
  }
};

} // namespace

NodeState
NodeState::Make(NodeIdentity aIdentity, TimePoint aNow)
{
  NodeState state;
  state.mRandom.seed(aIdentity.mSeed);
  state.mMembers = MembershipState::Make(
    aIdentity.mSelf, aIdentity.mZone, aIdentity.mIncarnation);
  state.mMembers.mCorePercent = aIdentity.mCorePercent;
  state.mConfig = ConfigReaderState::Make(aIdentity.mEnvironment, aNow);
  state.mProxy = ProxyState::Make(
    aIdentity.mSelf, aIdentity.mIncarnation, aIdentity.mEnvironment);
  state.mProxy.mChoosesAlone = aIdentity.mChoosesAlone;
  std::vector<Vm> seeds;
  for (const NodeId& it : aIdentity.mSeeds) {
    Vm vm;
    vm.mAddress = it.mValue;
    seeds.push_back(std::move(vm));
  }
  SeedMembers(state.mMembers, aNow, seeds);
  if (aIdentity.mSource == ConfigSource::KeyedFeeds) {
    for (FeedSettings it : { DocumentFeed(), TargetFeed() }) {
      it.mPeerLoadTimeout = JoinPatience(aIdentity);
      state.mFeeds.emplace(it.mTopic, KeyedFeedState::Make(it, aNow));
    }
  }
  state.mIdentity = std::move(aIdentity);
  return state;
}

Effects
Step(NodeState& aState, TimePoint aNow, const Event& aEvent)
{
  Effects effects;
  std::visit(EventHandler{ aState, aNow, effects }, aEvent);
  // What the node says to itself needs no network: it is taken in at once.
  Effects outward;
  for (std::size_t i = 0; i < effects.size(); ++i) {
    auto* send = std::get_if<SendPeer>(&effects[i]);
    if (!send || send->mTo != aState.mIdentity.mSelf) {
      outward.push_back(std::move(effects[i]));
      continue;
    }
    Message message = std::move(send->mMessage);
    std::visit(MessageHandler{ aState, aNow, aState.mIdentity.mSelf, effects },
               message);
  }
  return outward;
}

bool
IsReady(const NodeState& aState, TimePoint aNow)
{
  if (aState.mIsStopping) {
    return false;
  }
  if (aState.mIdentity.mSource == ConfigSource::KeyedFeeds) {
    // A copy that has aged in an outage still serves; one that is missing not.
    return aState.mHasVms &&
           !aState.mConfig.mConfig.mDocument.mEnvironment.empty();
  }
  return IsConfigCurrent(aState.mConfig, aNow);
}

bool
IsBusy(const NodeState& aState)
{
  if (!aState.mProxy.mRequests.empty() || aState.mIsStopping) {
    return true;
  }
  for (const auto& [name, scheduler] : aState.mSchedulers) {
    if (!scheduler.mLeases.empty() || !scheduler.mQueue.mEntries.empty()) {
      return true;
    }
  }
  return !aState.mWriters.empty();
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
