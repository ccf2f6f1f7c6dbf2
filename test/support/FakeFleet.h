#ifndef VANILLASCALE_TEST_FAKEFLEET_H
#define VANILLASCALE_TEST_FAKEFLEET_H

#include "Fakes.h"
#include "Node.h"

#include <memory>
#include <set>

/** A simulated fleet: real node states on virtual time, connected by links that
 * delay and lose messages. */
namespace vanillascale::fake {

/** A node and the state of its process. */
struct FakeNode
{
  NodeState mState;
  bool mIsDead = false;
  bool mIsPaused = false;
  bool mHasStopped = false;
  /** Incremented at each start and kill, so that events for an earlier process
   * of the same node are dropped. */
  std::uint64_t mProcessGeneration = 1;
  /** Events received while the process is paused. */
  std::vector<Event> mDeferredEvents;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mSentMessages = 0;
  std::uint64_t mReceivedBytes = 0;
  /** When the link has sent and received all bytes so far, if its bandwidth is
   * limited. */
  TimePoint mSendFreeAt{};
  TimePoint mReceiveFreeAt{};
};

/** Properties of a request that a test submits. */
struct FakeWork
{
  /** Time that an unimpaired target needs to run the request. */
  Duration mTime{ 0 };
  bool mIsLong = false;
  /** The request crashes the target that runs it. */
  bool mIsPoison = false;
};

class FakeFleet
{
public:
  using AnswerHook =
    std::function<void(std::size_t, RequestId, const AnswerCaller&)>;
  using EventHook = std::function<void(std::size_t, const WriteEvent&)>;
  using RunHook =
    std::function<void(std::size_t, RequestId, const TargetId&, TargetOutcome)>;

  FakeFleet(std::size_t aNodes,
            std::size_t aZones,
            std::uint64_t aSeed,
            ConfigSource aSource = ConfigSource::ChangeStream,
            bool aIsFirstStart = false)
    : mRandom(aSeed)
    , mZones(aZones)
    , mSource(aSource)
    , mIsFirstStart(aIsFirstStart)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      mNodes.push_back(std::make_unique<FakeNode>());
      mVms.push_back({ "proxies", NodeName(i), "", ZoneAt(i), 0, false });
    }
    for (std::size_t i = 0; i < aNodes; ++i) {
      StartNode(i);
    }
  }

  ZoneName ZoneAt(std::size_t aIndex) const
  {
    return ZoneName("zone-" + std::to_string(aIndex % mZones));
  }
  static std::string NodeName(std::size_t aIndex)
  {
    return "10.0." + std::to_string(aIndex / 250) + "." +
           std::to_string(aIndex % 250) + ":7000";
  }
  std::size_t IndexOf(const NodeId& aNode) const
  {
    auto it = mIndex.find(aNode);
    return it == mIndex.end() ? SIZE_MAX : it->second;
  }

  void AddTargets(const std::string& aGroup, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      auto target = std::make_unique<FakeTarget>();
      target->mId = TargetId(aGroup + "-" + std::to_string(i) + ":80");
      target->mZone = ZoneAt(i);
      mVms.push_back({ aGroup,
                       target->mId.mValue,
                       "",
                       target->mZone,
                       target->mSlots,
                       false });
      mTargets.emplace(target->mId, std::move(target));
    }
  }

  /** Starts or restarts the process of a node. */
  void StartNode(std::size_t aIndex)
  {
    FakeNode& node = *mNodes[aIndex];
    NodeOptions options;
    options.mSelf = NodeId(NodeName(aIndex));
    options.mZone = ZoneAt(aIndex);
    options.mEnvironment = "test";
    options.mVmGroup = "proxies";
    options.mIncarnation = 1000 * ++node.mProcessGeneration;
    options.mSeed = mRandom();
    options.mSource = mSource;
    options.mStopWithin = mStopWithin;
    options.mIsFirstStart = mIsFirstStart;
    if (mSource == ConfigSource::KeyedFeeds) {
      // There is no VM list that introduces the nodes to each other.
      for (std::size_t it : mSeedsOf(aIndex)) {
        options.mSeeds.emplace_back(NodeName(it));
      }
    }
    mIndex[options.mSelf] = aIndex;
    node.mState = NodeState::Make(options, Now());
    node.mIsDead = false;
    node.mIsPaused = false;
    node.mDeferredEvents.clear();
    ScheduleTick(aIndex, Duration(mRandom() % kTickInterval.count()));
  }
  void KillNode(std::size_t aIndex)
  {
    mNodes[aIndex]->mIsDead = true;
    ++mNodes[aIndex]->mProcessGeneration;
  }
  void PauseNode(std::size_t aIndex) { mNodes[aIndex]->mIsPaused = true; }
  void ResumeNode(std::size_t aIndex)
  {
    FakeNode& node = *mNodes[aIndex];
    node.mIsPaused = false;
    std::vector<Event> events = std::move(node.mDeferredEvents);
    node.mDeferredEvents.clear();
    for (const Event& it : events) {
      Post(aIndex, it);
    }
  }

  /** Delivers an event to a node and runs the effects. A paused process
   * receives the event when it resumes; ticks are dropped instead. */
  void Post(std::size_t aIndex, const Event& aEvent)
  {
    FakeNode& node = *mNodes[aIndex];
    if (node.mIsDead) {
      return;
    }
    if (node.mIsPaused) {
      if (!std::holds_alternative<Tick>(aEvent)) {
        node.mDeferredEvents.push_back(aEvent);
      }
      return;
    }
    for (Effect& it : Step(node.mState, Now(), aEvent)) {
      std::visit([&](auto& aEffect) { Run(aIndex, aEffect); }, it);
    }
  }

  /** Sends a caller's request to a node. The request id must not be in use on
   * that node. */
  void Submit(std::size_t aIndex, CallerRequest aRequest, FakeWork aWork)
  {
    mWork[{ aIndex, aRequest.mRequest }] = aWork;
    aRequest.mWallTime = WallNow();
    Post(aIndex, std::move(aRequest));
  }

  TimePoint Now() const { return mQueue.Now(); }
  WallTime WallNow() const
  {
    auto ms = std::chrono::duration_cast<milliseconds>(Now() - kStart);
    return WallTime(milliseconds(kStartWallMs) + ms);
  }
  void RunFor(Duration aTime) { mQueue.RunUntil(Now() + aTime); }
  /** Returns how long a node's link takes to receive bytes from the platform.
   */
  Duration ReceiveOnLink(std::size_t aNode, std::size_t aBytes)
  {
    return mLinkBytesPerSecond > 0
             ? Transfer(mNodes[aNode]->mReceiveFreeAt, aBytes)
             : Duration(0);
  }

  /** NodeOptions::mStopWithin of nodes that are started from now on. */
  Duration mStopWithin{ 0 };
  /** Returns the seeds of a node that is started from now on. Used with
   * ConfigSource::KeyedFeeds. */
  std::function<std::vector<std::size_t>(std::size_t)> mSeedsOf =
    [](std::size_t) {
      return std::vector<std::size_t>{ 0, 1 };
    };
  /** Returns whether a message from one node to another is lost. Tests replace
   * it. */
  std::function<bool(std::size_t, std::size_t, const Message&)> mIsLost =
    [](std::size_t, std::size_t, const Message&) { return false; };
  /** Returns whether a node and a target cannot reach each other. Tests replace
   * it. */
  std::function<bool(std::size_t, const FakeTarget&)> mIsPartitioned =
    [](std::size_t, const FakeTarget&) { return false; };
  AnswerHook mOnAnswer = [](std::size_t, RequestId, const AnswerCaller&) {};
  EventHook mOnEvent = [](std::size_t, const WriteEvent&) {};
  std::function<void(std::size_t, const ReadFeed&)> mOnReadFeed =
    [](std::size_t, const ReadFeed&) {};
  /** Called when a request of a node arrives at a target. */
  std::function<void(std::size_t, const TargetId&)> mOnArrival =
    [](std::size_t, const TargetId&) {};
  /** Called when a target starts to run a request. */
  std::function<void(std::size_t, RequestId)> mOnStart = [](std::size_t,
                                                            RequestId) {};
  /** Called when a target has finished, rejected or failed a request. */
  RunHook mOnRunEnd =
    [](std::size_t, RequestId, const TargetId&, TargetOutcome) {};

  VirtualTimeQueue mQueue;
  Random mRandom;
  std::size_t mZones;
  ConfigSource mSource;
  bool mIsFirstStart = false;
  /** The bandwidth of each node's link in each direction, in bytes per second;
   * 0 if it is not limited. */
  double mLinkBytesPerSecond = 0;
  /** A message that a limited link cannot send in this time is lost. */
  Duration mMaxLinkDelay = seconds(3);
  Duration mLinkDelay = microseconds(250);
  std::vector<std::unique_ptr<FakeNode>> mNodes;
  std::map<TargetId, std::unique_ptr<FakeTarget>> mTargets;
  FakeLog mLog;
  FakeContacts mContacts;
  std::vector<Vm> mVms;

private:
  void ScheduleTick(std::size_t aIndex, Duration aDelay)
  {
    std::uint64_t generation = mNodes[aIndex]->mProcessGeneration;
    mQueue.After(aDelay, [this, aIndex, generation] {
      FakeNode& node = *mNodes[aIndex];
      if (node.mProcessGeneration == generation && !node.mHasStopped) {
        Post(aIndex, Tick{});
        ScheduleTick(aIndex, kTickInterval);
      }
    });
  }

  /** Delivers an event after a delay, unless the node's current process has
   * been killed or restarted in the meantime. */
  void PostAfter(std::size_t aIndex, Duration aDelay, Event aEvent)
  {
    std::uint64_t generation = mNodes[aIndex]->mProcessGeneration;
    mQueue.After(aDelay, [this, aIndex, generation, event = std::move(aEvent)] {
      if (mNodes[aIndex]->mProcessGeneration == generation) {
        Post(aIndex, event);
      }
    });
  }

  void Run(std::size_t aFrom, SendToPeer& aEffect)
  {
    FakeNode& node = *mNodes[aFrom];
    std::size_t to = IndexOf(aEffect.mTo);
    Envelope envelope{ node.mState.mOptions.mSelf,
                       std::move(aEffect.mMessage) };
    std::size_t bytes = 0;
    if (mCountsSentBytes || mLinkBytesPerSecond > 0) {
      bytes = Encode("test", envelope).size();
    }
    node.mSentBytes += mCountsSentBytes ? bytes : 0;
    node.mSentMessages += mCountsSentBytes ? 1 : 0;
    if (to == SIZE_MAX || mIsLost(aFrom, to, envelope.mMessage)) {
      return;
    }
    Duration delay = mLinkDelay;
    if (mLinkBytesPerSecond > 0) {
      delay += std::max(Transfer(node.mSendFreeAt, bytes),
                        Transfer(mNodes[to]->mReceiveFreeAt, bytes));
    }
    if (delay < mMaxLinkDelay) {
      mNodes[to]->mReceivedBytes += mCountsSentBytes ? bytes : 0;
      PostAfter(to, delay, PeerMessageReceived{ std::move(envelope) });
    }
  }

  /** Appends bytes to those that one direction of a link transfers, and returns
   * how long they take from now on. */
  Duration Transfer(TimePoint& aFreeAt, std::size_t aBytes) const
  {
    aFreeAt =
      std::max(aFreeAt, Now()) +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(aBytes) / mLinkBytesPerSecond));
    return aFreeAt - Now();
  }

  void Run(std::size_t aFrom, SendToTarget& aEffect)
  {
    auto it = mTargets.find(aEffect.mTarget);
    RequestId request = aEffect.mRequest;
    bool isHedge = aEffect.mIsHedge;
    TimePoint deadline = aEffect.mDeadlineAt;
    std::uint64_t generation = mNodes[aFrom]->mProcessGeneration;
    auto finish =
      [this, aFrom, request, isHedge, generation, id = aEffect.mTarget](
        TargetOutcome aOutcome) {
        mOnRunEnd(aFrom, request, id, aOutcome);
        auto target = mTargets.find(id);
        bool hasAnswered =
          target != mTargets.end() && (aOutcome == TargetOutcome::Answered ||
                                       aOutcome == TargetOutcome::ServerError ||
                                       aOutcome == TargetOutcome::Shed);
        auto statements = hasAnswered
                            ? std::make_optional(target->second->mStatements)
                            : std::nullopt;
        if (statements && aOutcome != TargetOutcome::Shed) {
          statements->mPause = Duration(0);
        }
        mQueue.After(mLinkDelay, [=] {
          SendKey key{ aFrom, request, isHedge, generation };
          End(key, aOutcome, statements);
        });
      };
    SendKey sendKey{ aFrom, request, isHedge, generation };
    std::uint64_t jobId = ++mJobs;
    mOpenSends[sendKey] = { aEffect.mTarget, jobId };
    // Like the real runtime, ends a send at its deadline in any case.
    mQueue.At(deadline, [this, sendKey] {
      End(sendKey, TargetOutcome::TimedOut, std::nullopt);
    });
    if (it == mTargets.end()) {
      finish(TargetOutcome::ConnectFailed);
      return;
    }
    FakeTarget& target = *it->second;
    if (mIsPartitioned(aFrom, target)) {
      return;
    }
    const FakeWork& work = mWork[{ aFrom, request }];
    FakeTarget::Job job{ jobId, work.mTime, work.mIsLong, deadline, finish };
    job.mOnStart = [this, aFrom, request] { mOnStart(aFrom, request); };
    bool isPoison = work.mIsPoison;
    mQueue.After(mLinkDelay, [this, aFrom, &target, isPoison, job] {
      mOnArrival(aFrom, target.mId);
      target.Receive(mQueue, mRandom, job);
      if (isPoison && !target.mIsCrashed) {
        target.Crash();
      }
    });
  }

  /** Identifies a send: the node, the request, whether it is the hedge, and the
   * process generation. */
  using SendKey = std::tuple<std::size_t, RequestId, bool, std::uint64_t>;

  void End(const SendKey& aSend,
           TargetOutcome aOutcome,
           const std::optional<TargetStatements>& aStatements)
  {
    auto [from, request, isHedge, generation] = aSend;
    if (mOpenSends.erase(aSend) == 0 ||
        mNodes[from]->mProcessGeneration != generation) {
      return;
    }
    TargetRequestEnded ended{ request,     aOutcome, nullptr,
                              aStatements, false,    isHedge };
    bool hasAnswer = aOutcome == TargetOutcome::Answered ||
                     aOutcome == TargetOutcome::ServerError;
    if (hasAnswer) {
      auto answer = std::make_shared<Answer>();
      answer->mStatus = aOutcome == TargetOutcome::Answered ? 200 : 500;
      ended.mAnswer = std::move(answer);
    }
    Post(from, ended);
  }

  /** Ends a send at once and its work after the link's delay, as a target does
   * whose platform cancels by closing the connection. */
  void Run(std::size_t aFrom, CancelAtTarget& aEffect)
  {
    SendKey key{ aFrom,
                 aEffect.mRequest,
                 aEffect.mIsHedge,
                 mNodes[aFrom]->mProcessGeneration };
    mOnCancel(aFrom, aEffect);
    auto it = mOpenSends.find(key);
    if (!mDeliversCancels || it == mOpenSends.end()) {
      return;
    }
    auto [target, job] = it->second;
    mQueue.After(Duration(0), [this, key] {
      End(key, TargetOutcome::Cancelled, std::nullopt);
    });
    mQueue.After(mLinkDelay, [this, id = target, jobId = job] {
      mTargets.at(id)->Cancel(mQueue, mRandom, jobId);
    });
  }
  /** Forwards reads of the store to mOnReadFeed. */
  void Run(std::size_t aFrom, ReadFeed& aEffect)
  {
    mOnReadFeed(aFrom, aEffect);
  }
  void Run(std::size_t aFrom, AnswerCaller& aEffect)
  {
    mWork.erase({ aFrom, aEffect.mRequest });
    mOnAnswer(aFrom, aEffect.mRequest, aEffect);
  }
  void Run(std::size_t aFrom, AppendLog& aEffect)
  {
    LogAppendResult appended{ aEffect.mStream,
                              aEffect.mToken,
                              AppendOutcome::Done };
    if (mLog.mIsDown) {
      appended.mOutcome = AppendOutcome::Refused;
    } else {
      // The record is appended halfway through the call.
      mQueue.After(mLog.mDelay / 2, [this, effect = aEffect] {
        mLog.Append(Now(), effect.mStream, effect.mPayload);
      });
      bool isLost = mRandom() < mLog.mLostReplyShare * 4294967296.0;
      appended.mOutcome = isLost ? AppendOutcome::Unknown : AppendOutcome::Done;
    }
    PostAfter(aFrom, mLog.mDelay, appended);
  }
  void Run(std::size_t aFrom, ReadLog& aEffect)
  {
    std::uint64_t generation = mNodes[aFrom]->mProcessGeneration;
    mQueue.After(mLog.mDelay / 2, [this, aFrom, generation, effect = aEffect] {
      LogReadResult read;
      read.mStream = effect.mStream;
      if (!mLog.mIsDown && mCanReadLog(aFrom)) {
        read = mLog.Read(effect.mStream, effect.mAfter);
      }
      if (mNodes[aFrom]->mProcessGeneration == generation) {
        PostAfter(aFrom, mLog.mDelay / 2, std::move(read));
      }
    });
  }
  void Run(std::size_t aFrom, ReadVmList&)
  {
    PostAfter(aFrom, mLog.mDelay, VmListReadResult{ true, mVms });
  }
  void Run(std::size_t aFrom, ReadContact&)
  {
    ++mContacts.mReads;
    ContactReadResult read{ mContacts.mIsAvailable,
                            mContacts.mContact,
                            mContacts.mEnd };
    PostAfter(aFrom, mLog.mDelay, read);
  }
  void Run(std::size_t aFrom, WriteContact& aEffect)
  {
    ++mContacts.mWrites;
    ContactWriteResult written;
    if (mContacts.mIsAvailable) {
      bool isCurrent = aEffect.mExpectedEnd == mContacts.mEnd;
      written.mOutcome =
        isCurrent ? ContactWriteOutcome::Done : ContactWriteOutcome::Outdated;
      mContacts.mContact = isCurrent ? aEffect.mContact : mContacts.mContact;
      mContacts.mEnd += isCurrent ? 1 : 0;
    }
    PostAfter(aFrom, mLog.mDelay, written);
  }
  void Run(std::size_t aFrom, WriteEvent& aEffect) { mOnEvent(aFrom, aEffect); }
  /** Ends the process; its open requests are aborted. */
  void Run(std::size_t aFrom, Stop&)
  {
    mNodes[aFrom]->mHasStopped = true;
    KillNode(aFrom);
  }

public:
  /** Returns whether a node can read the log. Tests replace it. */
  std::function<bool(std::size_t)> mCanReadLog = [](std::size_t) {
    return true;
  };
  /** Called when a node cancels a send. */
  std::function<void(std::size_t, const CancelAtTarget&)> mOnCancel =
    [](std::size_t, const CancelAtTarget&) {};
  /** Whether cancellations have an effect. */
  bool mDeliversCancels = false;
  /** Counts the messages that nodes send, and the encoded size in bytes of
   * those that they send and receive. */
  bool mCountsSentBytes = false;

private:
  std::map<NodeId, std::size_t> mIndex;
  std::map<std::pair<std::size_t, RequestId>, FakeWork> mWork;
  std::map<SendKey, std::pair<TargetId, std::uint64_t>> mOpenSends;
  std::uint64_t mJobs = 0;
};

} // namespace vanillascale::fake

#endif
