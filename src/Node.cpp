#include "Node.h"

#include "Duties.h"
#include "EventNumbers.h"
#include "MemberReport.h"
#include "NodeFeeds.h"
#include "NodeShutdown.h"
#include "ProxyHedges.h"
#include "SchedulerHedges.h"

#include <algorithm>
#include <utility>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kVmListInterval = seconds(1);
/** Shorter, since a node cannot serve requests while its VM list is empty. */
constexpr Duration kEmptyVmListInterval = milliseconds(100);
/** A scheduler that has been idle for longer is removed if another node owns
 * its duty. */
constexpr Duration kSchedulerIdleTimeout = seconds(5);
/** Share of the retry burst that a new scheduler may grant at once. It is
 * limited because a service's scheduler moves several times within a few
 * seconds when VMs are replaced. */
constexpr double kInitialRetryTokenShare = 1.0 / 3;

ProxyContext
MakeProxyContext(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return { aNow,
           aState.mMembers,
           aState.mConfig.mConfig,
           aState.mVms,
           TargetListEnd(aState),
           aState.mRandom,
           aEffects,
           AdmissionDuringShutdown(aState, aNow),
           MustEndBy(aState),
           aState.mQuota.mSpender.get() };
}

QuotaContext
MakeQuotaContext(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return { aNow, aState.mMembers, aState.mConfig.mConfig, aEffects };
}

FeedContext
MakeFeedContext(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return { aNow, aState.mMembers, aState.mRandom, aEffects };
}

ConfigContext
MakeConfigContext(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  return { aNow, aState.mMembers, aState.mRandom, aEffects };
}

/** Returns the scheduler of a service. Creates it on the first message of a
 * proxy for this service. */
SchedulerState&
GetOrCreateScheduler(NodeState& aState,
                     TimePoint aNow,
                     const Service& aService,
                     Effects& aEffects)
{
  auto it = aState.mSchedulers.find(aService.mName);
  if (it != aState.mSchedulers.end()) {
    return it->second;
  }
  // Leaves the top bit of lease ids clear: it marks leases that proxies grant
  // to themselves.
  auto epoch = static_cast<std::uint32_t>(aState.mRandom() >> 1);
  SchedulerState& scheduler =
    aState.mSchedulers
      .emplace(aService.mName,
               SchedulerState::Make(
                 aService.mName, aState.mOptions.mSelf, epoch, aNow))
      .first->second;
  scheduler.mPool.mFloorPercent = aService.mFloorPercent;
  scheduler.mQuota = aState.mQuota.mSpender;
  // The retries granted by the previous scheduler are not known.
  scheduler.mRetryTokens = aService.mRetryBurst * kInitialRetryTokenShare;
  if (aState.mHasVms) {
    UpdatePool(scheduler.mPool, aNow, aService.mVmGroup, ValuesOf(aState.mVms));
  }
  scheduler.mTargetListEnd = TargetListEnd(aState);
  aEffects.push_back(
    WriteEvent{ kEventSchedulerStarted, "service=" + aService.mName.mValue });
  return scheduler;
}

/** Returns the zone of a node, or an empty name if the node is unknown. */
ZoneName
FindZone(const NodeState& aState, const NodeId& aNode)
{
  if (aNode == aState.mOptions.mSelf) {
    return aState.mOptions.mZone;
  }
  auto it = aState.mMembers.mMembers.find(aNode);
  return it == aState.mMembers.mMembers.end() ? ZoneName() : it->second.mZone;
}

/** Returns the intent writer of a stream, creating it if necessary. */
IntentWriterState&
GetOrCreateIntentWriter(NodeState& aState, const std::string& aStream)
{
  auto it = aState.mIntentWriters.find(aStream);
  if (it == aState.mIntentWriters.end()) {
    it =
      aState.mIntentWriters.emplace(aStream, IntentWriterState::Make(aStream))
        .first;
  }
  return it->second;
}

/** Passes a lease request to the scheduler of its service. */
void
HandOnLeaseRequest(NodeState& aState,
                   TimePoint aNow,
                   const NodeId& aFrom,
                   const LeaseRequest& aRequest,
                   Effects& aEffects)
{
  if (const Service* service = FindService(aState, aRequest.mService)) {
    SchedulerReceive(GetOrCreateScheduler(aState, aNow, *service, aEffects),
                     aNow,
                     *service,
                     aFrom,
                     FindZone(aState, aFrom),
                     aRequest,
                     aEffects);
  }
}

/** Passes on the lease requests that need not wait for a quota any longer. */
void
HandOnHeldRequests(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  if (aState.mQuota.mHeld.empty()) {
    return;
  }
  for (const HeldLeaseRequest& it : ReleaseHeldRequests(aState.mQuota, aNow)) {
    HandOnLeaseRequest(aState, aNow, it.mFrom, it.mRequest, aEffects);
  }
}

/** Dispatches a message from a peer to the component that handles its type. */
struct MessageHandler
{
  NodeState& mState;
  TimePoint mNow;
  const NodeId& mFrom;
  Effects& mEffects;

  void operator()(const Ping& aMessage) { DispatchToMembers(aMessage); }
  void operator()(const PingAck& aMessage) { DispatchToMembers(aMessage); }
  void operator()(const PingRequest& aMessage) { DispatchToMembers(aMessage); }

  void operator()(const MemberPull& aMessage)
  {
    MembershipReceive(mState.mMembers, mFrom, aMessage, mEffects);
  }
  void operator()(const MemberPage& aMessage) { DispatchToMembers(aMessage); }

  void operator()(const LeaseRequest& aMessage)
  {
    QuotaContext context = MakeQuotaContext(mState, mNow, mEffects);
    PrepareQuota(
      *mState.mQuota.mSpender, mNow, mState.mConfig.mConfig, aMessage.mAccount);
    if (!HoldForQuota(mState.mQuota, context, mFrom, aMessage)) {
      HandOnLeaseRequest(mState, mNow, mFrom, aMessage, mEffects);
    }
    SendUrgentReports(mState.mQuota, context);
  }
  void operator()(const QuotaReport& aMessage) { DispatchToQuota(aMessage); }
  void operator()(const QuotaLevels& aMessage) { DispatchToQuota(aMessage); }
  void operator()(const LeaseSync& aMessage)
  {
    if (const Service* service = FindService(mState, aMessage.mService)) {
      SchedulerReceive(GetOrCreateScheduler(mState, mNow, *service, mEffects),
                       mNow,
                       mFrom,
                       FindZone(mState, mFrom),
                       aMessage,
                       mEffects);
    }
  }
  void operator()(const LeaseReport& aMessage)
  {
    ServiceName name = aMessage.mService;
    if (name.mValue.empty()) {
      name = FindServiceOfLease(aMessage.mLease);
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
    if (!WithdrawHeldRequest(mState.mQuota, mFrom, aMessage) &&
        it != mState.mSchedulers.end()) {
      SchedulerReceive(it->second, mNow, mFrom, aMessage);
    }
  }

  void operator()(const LeaseQueued& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const LeaseGrant& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const LeaseRefusal& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const LeaseQuery& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const HedgeOffer& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const TargetView& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const IntentDecision& aMessage) { DispatchToProxy(aMessage); }
  void operator()(const CachedAnswerQuery& aMessage)
  {
    DispatchToProxy(aMessage);
  }
  void operator()(const CachedAnswerReply& aMessage)
  {
    DispatchToProxy(aMessage);
  }

  void operator()(const ConfigPull& aMessage) { DispatchToConfig(aMessage); }
  void operator()(const ConfigPush& aMessage) { DispatchToConfig(aMessage); }

  void operator()(const FeedPush& aMessage) { DispatchToFeed(aMessage); }
  void operator()(const FeedPull& aMessage) { DispatchToFeed(aMessage); }

  void operator()(const IntentRequest& aMessage)
  {
    std::string stream =
      IntentStream(mState.mOptions.mEnvironment, aMessage.mKey);
    IntentWriterReceive(
      GetOrCreateIntentWriter(mState, stream), mNow, mFrom, aMessage, mEffects);
  }

private:
  /** Returns the service whose scheduler granted a lease, or an empty name. A
   * proxy that no longer has the request knows only the lease id. */
  ServiceName FindServiceOfLease(LeaseId aLease) const
  {
    for (const auto& [name, scheduler] : mState.mSchedulers) {
      if (scheduler.mLeases.count(aLease) > 0) {
        return name;
      }
    }
    return ServiceName();
  }

  template<typename Body>
  void DispatchToMembers(const Body& aMessage)
  {
    MembershipReceive(mState.mMembers, mNow, mFrom, aMessage, mEffects);
  }
  template<typename Body>
  void DispatchToProxy(const Body& aMessage)
  {
    ProxyReceive(
      mState.mProxy, MakeProxyContext(mState, mNow, mEffects), mFrom, aMessage);
  }
  template<typename Body>
  void DispatchToQuota(const Body& aMessage)
  {
    QuotaContext context = MakeQuotaContext(mState, mNow, mEffects);
    QuotaReceive(mState.mQuota, context, mFrom, aMessage);
    HandOnHeldRequests(mState, mNow, mEffects);
  }
  template<typename Body>
  void DispatchToFeed(const Body& aMessage)
  {
    auto it = mState.mFeeds.find(aMessage.mTopic);
    if (it != mState.mFeeds.end()) {
      FeedReceive(
        it->second, MakeFeedContext(mState, mNow, mEffects), mFrom, aMessage);
      ApplyFeedChanges(mState, mNow, mEffects);
    }
  }
  template<typename Body>
  void DispatchToConfig(const Body& aMessage)
  {
    ConfigReceive(mState.mConfig,
                  MakeConfigContext(mState, mNow, mEffects),
                  mFrom,
                  aMessage);
  }
};

/** Removes clients that are no longer reachable, with their leases and queued
 * requests, from the schedulers. Does nothing unless the members have changed.
 */
void
RemoveUnreachableClients(NodeState& aState)
{
  if (aState.mSeenMembersVersion == aState.mMembers.mVersion) {
    return;
  }
  aState.mSeenMembersVersion = aState.mMembers.mVersion;
  for (auto& [name, scheduler] : aState.mSchedulers) {
    std::vector<NodeId> unreachable;
    for (const auto& [node, client] : scheduler.mClients) {
      bool isUnreachable =
        node != aState.mOptions.mSelf && !IsReachable(aState.mMembers, node);
      if (isUnreachable) {
        unreachable.push_back(node);
      }
    }
    for (const NodeId& it : unreachable) {
      RemoveProxy(scheduler, it);
    }
  }
}

void
TickSchedulers(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  RemoveUnreachableClients(aState);
  for (auto it = aState.mSchedulers.begin(); it != aState.mSchedulers.end();) {
    SchedulerState& scheduler = it->second;
    const Service* service = FindService(aState, it->first);
    bool isIdle = scheduler.mLeases.empty() &&
                  scheduler.mQueue.mEntries.empty() &&
                  aNow - scheduler.mLastClientMessageAt > kSchedulerIdleTimeout;
    bool isEnded = !service || (isIdle && DutyOwner(aState.mMembers,
                                                    SchedulerDuty(it->first)) !=
                                            aState.mOptions.mSelf);
    if (isEnded) {
      aEffects.push_back(
        WriteEvent{ kEventSchedulerEnded, "service=" + it->first.mValue });
      it = aState.mSchedulers.erase(it);
      continue;
    }
    UpdateHedgeRoutes(scheduler,
                      *service,
                      aState.mConfig.mConfig.mDocument,
                      ConfigPosition(aState.mConfig.mConfig));
    SchedulerTick(scheduler, aNow, *service, aEffects);
    ++it;
  }
}

/** Dispatches an event to the component that handles its type. */
struct EventHandler
{
  NodeState& mState;
  TimePoint mNow;
  Effects& mEffects;

  void operator()(const Tick&)
  {
    MembershipTick(mState.mMembers, mNow, mState.mRandom, mEffects);
    ReportMembers(mState.mMembers, mNow, mEffects);
    PollPlatform();
    TickSchedulers(mState, mNow, mEffects);
    for (auto& [stream, writer] : mState.mIntentWriters) {
      IntentWriterTick(writer, mNow, mEffects);
    }
    ProxyTick(mState.mProxy, MakeProxyContext(mState, mNow, mEffects));
    HandOnHeldRequests(mState, mNow, mEffects);
    QuotaTick(mState.mQuota, MakeQuotaContext(mState, mNow, mEffects));
    FinishShutdown(mState, mNow, mEffects);
  }

  void operator()(const CallerRequest& aEvent) { DispatchToProxy(aEvent); }
  void operator()(const CallerDisconnected& aEvent) { DispatchToProxy(aEvent); }
  void operator()(const TargetRequestEnded& aEvent) { DispatchToProxy(aEvent); }

  void operator()(const PeerMessageReceived& aEvent)
  {
    const Envelope& envelope = aEvent.mEnvelope;
    std::visit(MessageHandler{ mState, mNow, envelope.mFrom, mEffects },
               envelope.mMessage);
  }

  void operator()(const LogAppendResult& aEvent)
  {
    if (aEvent.mStream == mState.mConfig.mStream) {
      ConfigReceive(mState.mConfig, aEvent);
      return;
    }
    auto it = mState.mIntentWriters.find(aEvent.mStream);
    if (it != mState.mIntentWriters.end()) {
      IntentWriterReceive(it->second, mNow, aEvent, mEffects);
    }
  }

  void operator()(const LogReadResult& aEvent)
  {
    if (aEvent.mStream == mState.mConfig.mStream) {
      ConfigReceive(
        mState.mConfig, MakeConfigContext(mState, mNow, mEffects), aEvent);
      return;
    }
    auto it = mState.mIntentWriters.find(aEvent.mStream);
    if (it != mState.mIntentWriters.end()) {
      IntentWriterReceive(it->second, mNow, aEvent, mEffects);
    }
  }

  void operator()(const VmListReadResult& aEvent)
  {
    if (!aEvent.mIsSuccessful) {
      return;
    }
    ApplyVmList(mState, mNow, aEvent.mVms);
  }

  void operator()(const ContactReadResult& aEvent)
  {
    ContactRecordReceive(
      mState.mContactRecord, mState.mMembers, mNow, aEvent, mEffects);
  }

  void operator()(const ContactWriteResult& aEvent)
  {
    ContactRecordReceive(
      mState.mContactRecord, mState.mMembers, aEvent, mEffects);
  }

  void operator()(const FeedReadResult& aEvent)
  {
    auto it = mState.mFeeds.find(aEvent.mTopic);
    if (it != mState.mFeeds.end()) {
      FeedReceive(it->second, MakeFeedContext(mState, mNow, mEffects), aEvent);
      ApplyFeedChanges(mState, mNow, mEffects);
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
    LimitDeadlines(mState.mProxy, MustEndBy(mState));
    mEffects.push_back(WriteEvent{ kEventStopping, "" });
  }

private:
  void PollPlatform()
  {
    if (mState.mOptions.mSource == ConfigSource::KeyedFeeds) {
      for (auto& [topic, feed] : mState.mFeeds) {
        FeedTick(feed, MakeFeedContext(mState, mNow, mEffects));
      }
      ApplyFeedChanges(mState, mNow, mEffects);
      ContactRecordTick(
        mState.mContactRecord, mState.mMembers, mNow, mState.mRandom, mEffects);
      return;
    }
    ConfigTick(mState.mConfig, MakeConfigContext(mState, mNow, mEffects));
    if (mNow >= mState.mNextVmListAt) {
      mState.mNextVmListAt =
        mNow + (mState.mVms.empty() ? kEmptyVmListInterval : kVmListInterval);
      mEffects.push_back(ReadVmList{});
    }
  }

  template<typename Body>
  void DispatchToProxy(const Body& aEvent)
  {
    ProxyReceive(
      mState.mProxy, MakeProxyContext(mState, mNow, mEffects), aEvent);
    SendUrgentReports(mState.mQuota, MakeQuotaContext(mState, mNow, mEffects));
  }
};

} // namespace

NodeState
NodeState::Make(NodeOptions aOptions, TimePoint aNow)
{
  NodeState state;
  state.mRandom.seed(aOptions.mSeed);
  state.mMembers = MembershipState::Make(
    aOptions.mSelf, aOptions.mZone, aOptions.mIncarnation);
  state.mMembers.mCorePercent = aOptions.mCorePercent;
  state.mConfig = ConfigReaderState::Make(aOptions.mEnvironment, aNow);
  state.mProxy = ProxyState::Make(
    aOptions.mSelf, aOptions.mIncarnation, aOptions.mEnvironment);
  state.mProxy.mChoosesLocally = aOptions.mChoosesLocally;
  state.mQuota = NodeQuota::Make(aOptions.mIncarnation);
  std::vector<Vm> seeds;
  for (const NodeId& it : aOptions.mSeeds) {
    Vm vm;
    vm.mAddress = it.mValue;
    seeds.push_back(std::move(vm));
  }
  state.mMembers.mSeeds = aOptions.mSeeds;
  SeedMembers(state.mMembers, aNow, seeds);
  if (aOptions.mSource == ConfigSource::KeyedFeeds) {
    state.mFeeds = MakeFeeds(aOptions, aNow, state.mRandom);
  }
  state.mOptions = std::move(aOptions);
  return state;
}

Effects
Step(NodeState& aState, TimePoint aNow, const Event& aEvent)
{
  Effects effects;
  std::visit(EventHandler{ aState, aNow, effects }, aEvent);
  // Messages of the node to itself bypass the network and are handled at once.
  Effects external;
  for (std::size_t i = 0; i < effects.size(); ++i) {
    auto* send = std::get_if<SendToPeer>(&effects[i]);
    if (!send || send->mTo != aState.mOptions.mSelf) {
      external.push_back(std::move(effects[i]));
      continue;
    }
    Message message = std::move(send->mMessage);
    std::visit(MessageHandler{ aState, aNow, aState.mOptions.mSelf, effects },
               message);
  }
  return external;
}

bool
IsReady(const NodeState& aState, TimePoint aNow)
{
  if (aState.mIsStopping) {
    return false;
  }
  if (aState.mOptions.mSource == ConfigSource::KeyedFeeds) {
    // A copy that became stale during an outage is still used; a missing one
    // makes the node not ready.
    return aState.mHasVms &&
           !aState.mConfig.mConfig.mDocument.mEnvironment.empty();
  }
  return IsConfigCurrent(aState.mConfig, aNow);
}

bool
IsBusy(const NodeState& aState)
{
  if (!aState.mProxy.mRequests.empty() || aState.mIsStopping ||
      !aState.mQuota.mHeld.empty()) {
    return true;
  }
  for (const auto& [name, scheduler] : aState.mSchedulers) {
    if (!scheduler.mLeases.empty() || !scheduler.mQueue.mEntries.empty()) {
      return true;
    }
  }
  return !aState.mIntentWriters.empty();
}

} // namespace vanillascale
