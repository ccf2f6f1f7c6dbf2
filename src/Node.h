#ifndef VANILLASCALE_NODE_H
#define VANILLASCALE_NODE_H

#include "ConfigReader.h"
#include "IntentWriter.h"
#include "KeyedFeed.h"
#include "Membership.h"
#include "NodeEvents.h"
#include "Proxy.h"
#include "Scheduler.h"

#include <map>

namespace vanillascale {

/** Where the document comes from. */
enum class ConfigSource
{
  /** A stream of changes in the platform's log, which all nodes fold. */
  ChangeStream,
  /** Whole documents in a keyed topic of the platform's store; targets stand in
   * another. */
  KeyedFeeds
};

/** The topics of a node that lives on keyed feeds, as adapters name them. */
constexpr const char* kDocumentTopic = "documents";
constexpr const char* kTargetTopic = "targets";

/** What a node is told at its start. */
struct NodeIdentity
{
  NodeId mSelf;
  ZoneName mZone;
  std::string mEnvironment;
  /** The VM list's group whose VMs are the environment's proxies. */
  std::string mVmGroup;
  /** Higher for every later process with the same id. */
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSeed = 1;
  /** Choose targets locally, without schedulers: a baseline to compare with. */
  bool mChoosesAlone = false;
  /** The VM's processor share, in percent of a core. */
  unsigned mCorePercent = 100;
  ConfigSource mSource = ConfigSource::ChangeStream;
  /** Other proxies that may be there already. */
  std::vector<NodeId> mSeeds;
  /** The whole fleet starts for the first time. */
  bool mIsFirstStart = false;
  /** The process has to be gone this long after it was told to stop; 0 where
   * nobody will end it. */
  Duration mStopWithin{ 0 };
};

/** Everything one process knows. */
struct NodeState
{
  NodeIdentity mIdentity;
  Random mRandom;
  MembershipState mMembers;
  ConfigReaderState mConfig;
  ProxyState mProxy;
  std::map<ServiceName, SchedulerState> mSchedulers;
  std::map<std::string, IntentWriterState> mWriters;
  /** Empty where the source is ChangeStream. */
  std::map<std::string, KeyedFeedState> mFeeds;
  std::uint64_t mSeenDocuments = 0;
  std::uint64_t mSeenTargets = 0;
  std::vector<Vm> mVms;
  bool mHasVms = false;
  TimePoint mNextVmListAt{};
  std::uint64_t mSeenMembersVersion = 0;
  bool mIsStopping = false;
  TimePoint mStoppingSince{};
  bool mIsStopped = false;

  /** Makes the state of a node that starts at aNow. */
  static NodeState Make(NodeIdentity aIdentity, TimePoint aNow);
};

/** The one reducer: takes in an event at an instant and returns what is to be
 * done. It touches no clock, thread or socket. aNow must not go back from call
 * to call. Not thread safe: one thread at a time per state.
 *
 * \code
 *   Effects effects = Step(state, now, Tick{});
 *   for (const Effect& it : effects) { std::visit(runner, it); }
 * \endcode */
Effects
Step(NodeState& aState, TimePoint aNow, const Event& aEvent);

/** Whether callers should be sent here: the configuration is current and the
 * node is not leaving. Pure. */
bool
IsReady(const NodeState& aState, TimePoint aNow);

/** Whether requests are in progress or waiting, so that time matters at the
 * scale of kTickInterval. Pure. */
bool
IsBusy(const NodeState& aState);

/** Writes a VM as the value of a feed's entry. Pure. */
std::string
FormatVm(const Vm& aVm);

/** Reads it back; nothing where the value is none. Pure. */
std::optional<Vm>
ParseVm(const std::string& aValue);

} // namespace vanillascale

#endif
