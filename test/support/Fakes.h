#ifndef VANILLASCALE_TEST_FAKES_H
#define VANILLASCALE_TEST_FAKES_H

#include "NodeEvents.h"
#include "Random.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>

/** Fakes of the nodes' environment on virtual time: a queue of timed actions,
 * targets and the platform's log. All random numbers derive from one seed, so
 * that every run can be reproduced exactly. */
namespace vanillascale::fake {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Virtual time at the start of every run. */
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
/** Wall clock time at kStart, in ms since the Unix epoch. */
constexpr std::int64_t kStartWallMs = 1800000000000;

/** Returns a random duration from an exponential distribution. */
inline Duration
DrawExponential(Random& aRandom, Duration aMean)
{
  double uniform = (aRandom() + 0.5) / 4294967296.0;
  return Duration(
    std::llround(-std::log(uniform) * static_cast<double>(aMean.count())));
}

/** Runs actions at their scheduled virtual time. Actions with the same time run
 * in the order in which they were scheduled. */
class VirtualTimeQueue
{
public:
  TimePoint Now() const { return mNow; }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    mItems.push({ std::max(aTime, mNow), ++mSequence, std::move(aAction) });
  }
  void After(Duration aDelay, std::function<void()> aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }
  void RunUntil(TimePoint aEnd)
  {
    while (!mItems.empty() && mItems.top().mTime <= aEnd) {
      auto action = std::move(const_cast<Item&>(mItems.top()).mAction);
      mNow = mItems.top().mTime;
      mItems.pop();
      action();
    }
    mNow = std::max(mNow, aEnd);
  }

private:
  struct Item
  {
    TimePoint mTime;
    std::uint64_t mSequence;
    std::function<void()> mAction;
    bool operator<(const Item& aOther) const
    {
      return std::tie(mTime, mSequence) >
             std::tie(aOther.mTime, aOther.mSequence);
    }
  };

  TimePoint mNow = kStart;
  std::uint64_t mSequence = 0;
  std::priority_queue<Item> mItems;
};

/** A target with slots, a queue of waiting requests and injectable faults. */
struct FakeTarget
{
  struct Job
  {
    std::uint64_t mId = 0;
    Duration mTime{ 0 };
    bool mIsLong = false;
    TimePoint mDeadlineAt{};
    std::function<void(TargetOutcome)> mOnDone;
    std::function<void()> mOnStart = [] {};
  };

  TargetId mId;
  ZoneName mZone;
  unsigned mSlots = 3;
  std::size_t mMaxQueueLength = 400;
  double mSlowFactor = 1;
  /** Share of requests that end with a server error. */
  double mErrorShare = 0;
  bool mIsCrashed = false;
  bool mIsFrozen = false;
  bool mIsDraining = false;
  /** What the target states of itself in its answers; a pause only in
   * refusals. */
  TargetStatements mStatements;
  /** Share of requests that are refused as not run, at random. */
  double mShedShare = 0;
  /** Share of requests that take mHiccup longer, at random. */
  double mHiccupShare = 0;
  Duration mHiccup{ 0 };
  std::deque<Job> mWaiting;
  std::map<std::uint64_t, Job> mRunning;
  std::uint64_t mRuns = 0;
  /** Slot time used in total, by requests that ended after their deadline, and
   * by long requests. */
  Duration mBusyTime{ 0 };
  Duration mLateTime{ 0 };
  Duration mLongTime{ 0 };

  void Receive(VirtualTimeQueue& aQueue, Random& aRandom, Job aJob)
  {
    bool isShed = mShedShare > 0 && aRandom() < mShedShare * 4294967296.0;
    if (mIsCrashed) {
      aJob.mOnDone(TargetOutcome::ConnectFailed);
    } else if (mIsDraining) {
      aJob.mOnDone(TargetOutcome::Draining);
    } else if (!isShed && mRunning.size() < mSlots) {
      Start(aQueue, aRandom, std::move(aJob));
    } else if (!isShed && mWaiting.size() < mMaxQueueLength) {
      mWaiting.push_back(std::move(aJob));
    } else {
      aJob.mOnDone(TargetOutcome::Shed);
    }
  }

  void Start(VirtualTimeQueue& aQueue, Random& aRandom, Job aJob)
  {
    ++mRuns;
    std::uint64_t id = aJob.mId;
    aJob.mOnStart();
    auto time = Duration(
      std::llround(static_cast<double>(aJob.mTime.count()) * mSlowFactor));
    if (mHiccupShare > 0 && aRandom() < mHiccupShare * 4294967296.0) {
      time += mHiccup;
    }
    bool isError = aRandom() < mErrorShare * 4294967296.0;
    mRunning.emplace(id, std::move(aJob));
    TimePoint startedAt = aQueue.Now();
    aQueue.After(time, [this, id, isError, startedAt, &aQueue, &aRandom] {
      End(aQueue, aRandom, id, isError, startedAt);
    });
  }

  void End(VirtualTimeQueue& aQueue,
           Random& aRandom,
           std::uint64_t aId,
           bool aIsError,
           TimePoint aStartedAt)
  {
    auto it = mRunning.find(aId);
    if (it == mRunning.end() || mIsFrozen) {
      return;
    }
    Job job = std::move(it->second);
    mRunning.erase(it);
    Duration spent = aQueue.Now() - aStartedAt;
    mBusyTime += spent;
    mLongTime += job.mIsLong ? spent : Duration(0);
    mLateTime += aQueue.Now() > job.mDeadlineAt ? spent : Duration(0);
    job.mOnDone(aIsError ? TargetOutcome::ServerError
                         : TargetOutcome::Answered);
    StartWaiting(aQueue, aRandom);
  }

  /** Ends a request's work without a result. */
  void Cancel(VirtualTimeQueue& aQueue, Random& aRandom, std::uint64_t aId)
  {
    mRunning.erase(aId);
    mWaiting.erase(
      std::remove_if(mWaiting.begin(),
                     mWaiting.end(),
                     [&](const Job& aJob) { return aJob.mId == aId; }),
      mWaiting.end());
    StartWaiting(aQueue, aRandom);
  }

  void StartWaiting(VirtualTimeQueue& aQueue, Random& aRandom)
  {
    while (!mWaiting.empty() && mRunning.size() < mSlots) {
      Job next = std::move(mWaiting.front());
      mWaiting.pop_front();
      // Targets are told the deadlines and do not start expired requests.
      if (aQueue.Now() >= next.mDeadlineAt) {
        next.mOnDone(TargetOutcome::TimedOut);
      } else {
        Start(aQueue, aRandom, std::move(next));
      }
    }
  }

  /** Fails all running and waiting requests and refuses connections until
   * mIsCrashed is reset. */
  void Crash()
  {
    mIsCrashed = true;
    auto running = std::move(mRunning);
    auto waiting = std::move(mWaiting);
    mRunning.clear();
    mWaiting.clear();
    for (auto& [id, job] : running) {
      job.mOnDone(TargetOutcome::Broken);
    }
    for (Job& it : waiting) {
      it.mOnDone(TargetOutcome::Broken);
    }
  }
};

/** The platform's log: streams of records and injectable faults. */
struct FakeLog
{
  std::map<std::string, std::vector<LogRecord>> mStreams;
  /** Lowest retained offset of each stream. */
  std::map<std::string, LogOffset> mFirst;
  Duration mDelay = milliseconds(3);
  bool mIsDown = false;
  /** Share of appends that take effect but whose answer is lost. */
  double mLostReplyShare = 0;
  std::uint64_t mAppends = 0;

  LogOffset Append(TimePoint aNow,
                   const std::string& aStream,
                   const std::string& aPayload)
  {
    auto& records = mStreams[aStream];
    auto ms = std::chrono::duration_cast<milliseconds>(aNow - kStart).count();
    records.push_back({ records.size() + 1, kStartWallMs + ms, aPayload });
    ++mAppends;
    return records.size();
  }

  LogReadResult Read(const std::string& aStream, LogOffset aAfter)
  {
    LogReadResult read;
    read.mStream = aStream;
    read.mIsSuccessful = true;
    const auto& records = mStreams[aStream];
    read.mFirst = std::max<LogOffset>(mFirst[aStream], 1);
    read.mEnd = records.size();
    for (const LogRecord& it : records) {
      if (it.mOffset > aAfter && it.mOffset >= read.mFirst &&
          read.mRecords.size() < 500) {
        read.mRecords.push_back(it);
      }
    }
    return read;
  }
};

/** The contact record of the platform's store. */
struct FakeContacts
{
  bool mIsAvailable = true;
  NodeId mContact;
  LogOffset mEnd = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

} // namespace vanillascale::fake

#endif
