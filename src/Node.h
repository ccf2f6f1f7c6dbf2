#ifndef VANILLASCALE_NODE_H
#define VANILLASCALE_NODE_H

#include "ConfigReader.h"
#include "ContactRecord.h"
#include "IntentWriter.h"
#include "KeyedFeed.h"
#include "Membership.h"
#include "NodeEvents.h"
#include "NodeQuota.h"
#include "Proxy.h"
#include "Scheduler.h"

#include <map>

namespace vanillascale {

/** Source of the document. */
enum class ConfigSource
{
  /** A stream of changes in the platform's log, which every node folds. */
  ChangeStream,
  /** Complete documents in a keyed topic of the platform's store. Targets are
   * read from a second topic. */
  KeyedFeeds
};

/** Names of the topics used with ConfigSource::KeyedFeeds, shared with the
 * platform adapters. */
constexpr const char* kDocumentTopic = "documents";
constexpr const char* kTargetTopic = "targets";

/** Start parameters of a node. */
struct NodeOptions
{
  NodeId mSelf;
  ZoneName mZone;
  std::string mEnvironment;
  /** Group in the VM list whose VMs run the proxies of the environment. */
  std::string mVmGroup;
  /** Higher for each later process with the same id. */
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSeed = 1;
  /** Always choose targets locally, without schedulers. Serves as a baseline
   * for comparison. */
  bool mChoosesLocally = false;
  /** CPU share of the VM, in percent of one core. */
  unsigned mCorePercent = 100;
  ConfigSource mSource = ConfigSource::ChangeStream;
  /** Other proxies that may already be running. */
  std::vector<NodeId> mSeeds;
  /** The whole fleet is starting for the first time. */
  bool mIsFirstStart = false;
  /** Time from the shutdown request until the process must have exited; 0 if
   * nothing terminates the process. */
  Duration mStopWithin{ 0 };
};

/** The complete state of one node. */
struct NodeState
{
  NodeOptions mOptions;
  Random mRandom;
  MembershipState mMembers;
  ConfigReaderState mConfig;
  ProxyState mProxy;
  std::map<ServiceName, SchedulerState> mSchedulers;
  NodeQuota mQuota;
  std::map<std::string, IntentWriterState> mIntentWriters;
  /** By topic; empty if the source is ChangeStream. */
  std::map<std::string, KeyedFeedState> mFeeds;
  /** Used if the source is KeyedFeeds. */
  ContactRecordState mContactRecord;
  std::uint64_t mSeenDocumentsVersion = 0;
  std::uint64_t mSeenTargetsVersion = 0;
  /** By the keys of the target topic or, if the source is ChangeStream, by
   * address. */
  VmsByKey mVms;
  bool mHasVms = false;
  TimePoint mNextVmListAt{};
  std::uint64_t mSeenMembersVersion = 0;
  bool mIsStopping = false;
  TimePoint mStoppingSince{};
  bool mIsStopped = false;

  /** Returns the state of a node that starts at aNow. */
  static NodeState Make(NodeOptions aOptions, TimePoint aNow);
};

/** The reducer of a node: applies an event at the time aNow to the state and
 * returns the effects to execute. Accesses no clock, thread or socket. aNow
 * must not decrease between calls. Not thread-safe: only one thread at a time
 * may use a state.
 *
 * \code
 *   Effects effects = Step(state, now, Tick{});
 *   for (const Effect& it : effects) { std::visit(runner, it); }
 * \endcode */
Effects
Step(NodeState& aState, TimePoint aNow, const Event& aEvent);

/** Returns whether the node should receive callers' requests: it is not
 * shutting down and its configuration is current (ChangeStream) or loaded
 * (KeyedFeeds). Pure. */
bool
IsReady(const NodeState& aState, TimePoint aNow);

/** Returns whether requests are in progress or queued, so that the node needs a
 * Tick every kTickInterval. Also true while it shuts down or has intent
 * writers. Pure. */
bool
IsBusy(const NodeState& aState);

/** Encodes a VM as the value of a FeedEntry. Pure. */
std::string
FormatVm(const Vm& aVm);

/** Decodes a value written by FormatVm. Returns nothing if the value is
 * malformed. Pure. */
std::optional<Vm>
ParseVm(const std::string& aValue);

} // namespace vanillascale

#endif
