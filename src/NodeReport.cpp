#include "NodeReport.h"

#include "MemberReport.h"
#include "ProxyVerdicts.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace vanillascale {

namespace {

using Json = nlohmann::json;
using Labels = std::map<std::string, std::string>;

void
AddCounter(prometheus::Registry& aRegistry,
           const char* aName,
           const char* aHelp,
           double aValue,
           const Labels& aLabels = {})
{
  prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add(aLabels)
    .Increment(aValue);
}

void
AddGauge(prometheus::Registry& aRegistry,
         const char* aName,
         const char* aHelp,
         double aValue,
         const Labels& aLabels = {})
{
  prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add(aLabels)
    .Set(aValue);
}

void
AddHistogram(prometheus::Registry& aRegistry,
             const char* aName,
             const char* aHelp,
             const LatencyHistogram& aHistogram,
             const Labels& aLabels = {})
{
  constexpr double kMsPerSecond = 1000;
  prometheus::Histogram::BucketBoundaries bounds;
  for (int boundMs : kLatencyBucketBoundsMs) {
    bounds.push_back(boundMs / kMsPerSecond);
  }
  std::vector<double> counts(aHistogram.mCounts.begin(),
                             aHistogram.mCounts.end());
  prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add(aLabels, bounds)
    .ObserveMultiple(counts,
                     std::chrono::duration<double>(aHistogram.mSum).count());
}

void
AddProxyMetrics(prometheus::Registry& aRegistry, const ProxyState& aProxy)
{
  const ProxyCounters& counters = aProxy.mCounters;
  auto add = [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
    AddCounter(aRegistry, aName, aHelp, static_cast<double>(aValue));
  };
  add("vanillascale_requests_total",
      "Requests accepted from callers",
      counters.mRequests);
  add("vanillascale_answered_total",
      "Requests answered by a target",
      counters.mAnswered);
  add("vanillascale_not_run_total",
      "Requests answered with the outcome not-run",
      counters.mNotRun);
  add("vanillascale_unknown_total",
      "Requests answered with an unknown outcome",
      counters.mUnknown);
  add("vanillascale_sends_total", "Requests sent to targets", counters.mSends);
  add("vanillascale_retries_total",
      "Retried sends to targets",
      counters.mRetries);
  add("vanillascale_fallback_sends_total",
      "Sends to targets that the proxy chose without a scheduler",
      counters.mFallbackSends);
  add("vanillascale_hedges_total",
      "Second sends of requests that were slow at their first target",
      counters.mHedges);
  add("vanillascale_hedges_won_total",
      "Requests answered by their second send",
      counters.mHedgesWon);
  add("vanillascale_hedges_wasted_total",
      "Requests with a second send that were answered by another one or failed",
      counters.mHedgesWasted);
  add("vanillascale_hedges_declined_total",
      "Offered second leases that were returned unused",
      counters.mHedgesDeclined);
  for (RunOutcome outcome :
       { RunOutcome::NotRun, RunOutcome::Ran, RunOutcome::Unknown }) {
    AddHistogram(aRegistry,
                 "vanillascale_request_duration_seconds",
                 "Time from the arrival of a request to its answer",
                 counters.mDurations[static_cast<std::size_t>(outcome)],
                 { { "outcome", RunOutcomeName(outcome) } });
  }
  AddCounter(aRegistry,
             "vanillascale_declined_grants_total",
             "Slot leases returned because the target had stated that it "
             "accepts no request, or is leaving or gone",
             static_cast<double>(counters.mDeclinedGrants));
  AddCounter(aRegistry,
             "vanillascale_unmatched_grants_total",
             "Slot leases returned because their request has ended or is of an "
             "earlier process",
             static_cast<double>(counters.mUnmatchedGrants));
  AddHistogram(aRegistry,
               "vanillascale_slot_wait_seconds",
               "Time from the request for a slot to the send",
               counters.mSlotWait);
  AddHistogram(aRegistry,
               "vanillascale_target_duration_seconds",
               "Time from each send to a target to its result",
               counters.mTargetTime);
  for (const auto& [service, link] : aProxy.mSchedulerLinks) {
    AddGauge(
      aRegistry,
      "vanillascale_fallback",
      "1 while no scheduler answers and the proxy chooses targets itself",
      link.mIsInFallback ? 1 : 0,
      { { "service", service.mValue } });
  }
}

void
AddSchedulerMetrics(prometheus::Registry& aRegistry,
                    const SchedulerState& aScheduler,
                    TimePoint aNow)
{
  Labels labels{ { "service", aScheduler.mService.mValue } };
  AddCounter(aRegistry,
             "vanillascale_grants_total",
             "Slot leases granted",
             static_cast<double>(aScheduler.mCounters.mGrants),
             labels);
  AddCounter(aRegistry,
             "vanillascale_leases_expired_total",
             "Slot leases that expired before they were returned",
             static_cast<double>(aScheduler.mCounters.mExpired),
             labels);
  for (std::size_t i = 0; i < kHedgeDenials; ++i) {
    Labels denialLabels = labels;
    denialLabels["cause"] = HedgeDenialName(static_cast<HedgeDenial>(i));
    AddCounter(aRegistry,
               "vanillascale_hedges_denied_total",
               "Slow requests that were offered no second lease, by cause",
               static_cast<double>(aScheduler.mHedges.mDenied[i]),
               denialLabels);
  }
  AddCounter(aRegistry,
             "vanillascale_hedges_offered_total",
             "Second leases offered for slow requests",
             static_cast<double>(aScheduler.mHedges.mOffered),
             labels);
  AddGauge(aRegistry,
           "vanillascale_queue",
           "Requests queued for a slot",
           static_cast<double>(aScheduler.mQueue.mEntries.size()),
           labels);
  AddGauge(aRegistry,
           "vanillascale_busy_long_slots",
           "Slots in use by long requests",
           BusyLongSlots(aScheduler.mPool),
           labels);
  AddGauge(aRegistry,
           "vanillascale_limited_targets",
           "Targets that state a limit on their requests",
           static_cast<double>(CountLimitedTargets(aScheduler.mPool)),
           labels);
  AddGauge(aRegistry,
           "vanillascale_leaving_targets",
           "Targets that state that they are leaving",
           static_cast<double>(CountLeavingTargets(aScheduler.mPool)),
           labels);
  AddGauge(aRegistry,
           "vanillascale_paused_targets",
           "Targets that accept no requests from some proxy",
           static_cast<double>(CountPausedTargets(aScheduler.mPool, aNow)),
           labels);
  for (const auto& [id, target] : aScheduler.mPool.mTargets) {
    Labels targetLabels = labels;
    targetLabels["target"] = id.mValue;
    AddGauge(aRegistry,
             "vanillascale_target_state",
             "0 serving, 1 ejected, 2 on trial",
             static_cast<double>(target.mState),
             targetLabels);
  }
}

/** Adds the budget of bytes and what limits did to callers. */
void
AddCallerMetrics(prometheus::Registry& aRegistry,
                 const RuntimeCounters& aRuntime)
{
  auto addBytes = [&](const char* aKind, std::size_t aBytes) {
    AddGauge(aRegistry,
             "vanillascale_held_bytes",
             "Bytes that may be and that are held for callers, targets and "
             "peers",
             static_cast<double>(aBytes),
             { { "kind", aKind } });
  };
  addBytes("budget", aRuntime.mBudgetBytes);
  addBytes("now", aRuntime.mHeldBytes);
  addBytes("most", aRuntime.mMostHeldBytes);
  auto addLimited = [&](const char* aCause, std::uint64_t aCount) {
    AddCounter(aRegistry,
               "vanillascale_limited_callers_total",
               "Callers that a limit made wait, refused or closed",
               static_cast<double>(aCount),
               { { "cause", aCause } });
  };
  addLimited("waited", aRuntime.mCallers.mWaited);
  addLimited("refused_no_memory", aRuntime.mCallers.mRefusedForRoom);
  addLimited("closed_no_memory", aRuntime.mCallers.mClosedForRoom);
  addLimited("request_too_slow", aRuntime.mCallers.mTooSlow);
  addLimited("read_too_slowly", aRuntime.mCallers.mSlowReaders);
  addLimited("too_many_connections", aRuntime.mCallers.mOverConnections);
}

void
AddRuntimeMetrics(prometheus::Registry& aRegistry,
                  const RuntimeCounters& aRuntime)
{
  AddGauge(aRegistry,
           "vanillascale_caller_connections",
           "Open connections from callers",
           static_cast<double>(aRuntime.mCallerConnections));
  AddCallerMetrics(aRegistry, aRuntime);
  AddGauge(aRegistry,
           "vanillascale_kept_target_connections",
           "Idle connections to targets that are kept for reuse",
           static_cast<double>(aRuntime.mIdleTargetConnections));
  AddCounter(aRegistry,
             "vanillascale_target_connects_total",
             "Connections opened to targets",
             static_cast<double>(aRuntime.mTargetConnects));
  AddCounter(aRegistry,
             "vanillascale_log_lines_total",
             "Lines written to the log",
             static_cast<double>(aRuntime.mWrittenLogLines));
  AddCounter(aRegistry,
             "vanillascale_log_dropped_lines_total",
             "Log lines dropped by the rate limit of an event or a full buffer",
             static_cast<double>(aRuntime.mDroppedLogLines));
  AddGauge(aRegistry,
           "vanillascale_loop_lag_max_seconds",
           "Longest delay of the event loop behind a due timer",
           std::chrono::duration<double>(aRuntime.mMaxTimerLag).count());
  static const char* const sKinds[] = { "append_log",   "read_log",
                                        "read_vm_list", "read_feed",
                                        "read_contact", "write_contact" };
  for (std::size_t i = 0; i < aRuntime.mPlatformCalls.size(); ++i) {
    AddCounter(aRegistry,
               "vanillascale_platform_calls_total",
               "Calls made to the platform",
               static_cast<double>(aRuntime.mPlatformCalls[i]),
               { { "kind", sKinds[i] } });
  }
}

void
AddFeedMetrics(prometheus::Registry& aRegistry,
               const KeyedFeedState& aFeed,
               TimePoint aNow)
{
  Labels labels{ { "topic", aFeed.mSettings.mTopic } };
  AddGauge(aRegistry,
           "vanillascale_feed_age_seconds",
           "Age of the local copy of a topic of the platform's store",
           std::chrono::duration<double>(aNow - aFeed.mFreshAt).count(),
           labels);
  AddCounter(aRegistry,
             "vanillascale_feed_failed_reads_total",
             "Failed reads of a topic of the platform's store",
             static_cast<double>(aFeed.mFailedReads),
             labels);
  AddCounter(aRegistry,
             "vanillascale_feed_reads_total",
             "Reads of a topic of the platform's store",
             static_cast<double>(aFeed.mReads),
             labels);
  AddCounter(aRegistry,
             "vanillascale_feed_outdated_entries_total",
             "Records skipped because the store executed their writes after "
             "later ones of the same writer",
             static_cast<double>(aFeed.mOutdatedEntries),
             labels);
  AddGauge(aRegistry,
           "vanillascale_feed_adjusted_entries",
           "Entries left out of the last record read, and values held at a "
           "bound",
           static_cast<double>(aFeed.mAdjustedEntries),
           labels);
  AddGauge(aRegistry,
           "vanillascale_feed_era",
           "Era of the platform's store that the local copy of a topic follows",
           static_cast<double>(aFeed.mEnd.mEra),
           labels);
  AddGauge(aRegistry,
           "vanillascale_feed_end",
           "Offset at which the local copy of a topic of the platform's store "
           "ends",
           static_cast<double>(aFeed.mEnd.mOffset),
           labels);
  AddGauge(aRegistry,
           "vanillascale_feed_entries",
           "Entries of the local copy of a topic of the platform's store",
           static_cast<double>(aFeed.mEntries.size()),
           labels);
}

/** Adds the levels of the accounts that this node owns and that have less than
 * half of their quota left, the lowest first. */
void
AddQuotaLevels(prometheus::Registry& aRegistry, const NodeState& aState)
{
  constexpr std::size_t kMaxLevels = 50;
  std::vector<std::pair<double, std::uint64_t>> levels;
  for (const auto& [account, entry] : aState.mQuota.mLedger.mEntries) {
    if (entry.mLevel < QuotaCapacity(entry.mLimits) / 2) {
      levels.emplace_back(entry.mLevel, account);
    }
  }
  std::sort(levels.begin(), levels.end());
  levels.resize(std::min(levels.size(), kMaxLevels));
  for (const auto& [level, id] : levels) {
    const ClientAccount* account = FindAccountById(aState.mConfig.mConfig, id);
    if (account) {
      AddGauge(aRegistry,
               "vanillascale_quota_level",
               "Requests left in the quota of an account that this node owns, "
               "for the 50 lowest below a half",
               level,
               { { "account", account->mName.mValue } });
    }
  }
}

void
AddQuotaMetrics(prometheus::Registry& aRegistry, const NodeState& aState)
{
  const NodeQuota& quota = aState.mQuota;
  auto add = [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
    AddCounter(aRegistry, aName, aHelp, static_cast<double>(aValue));
  };
  add("vanillascale_quota_taken_total",
      "Tokens taken from quotas of accounts by this node",
      quota.mSpender->mTaken);
  add("vanillascale_quota_returned_total",
      "Tokens returned because their requests were not sent",
      quota.mSpender->mReturned);
  add("vanillascale_quota_refused_total",
      "Requests refused by this node because of a quota",
      quota.mSpender->mRefused);
  add("vanillascale_quota_held_total",
      "Requests held until the level of a quota was known",
      quota.mHeldRequests);
  add("vanillascale_quota_reports_total",
      "Reports of spending sent to owners of accounts",
      quota.mSentReports);
  AddGauge(aRegistry,
           "vanillascale_quota_spent_accounts",
           "Accounts whose quota this node spends",
           static_cast<double>(quota.mSpender->mBuckets.size()));
  AddGauge(aRegistry,
           "vanillascale_quota_owned_accounts",
           "Accounts in use whose ledger this node keeps",
           static_cast<double>(quota.mLedger.mEntries.size()));
  AddQuotaLevels(aRegistry, aState);
}

/** Adds the counters of one message type between peers, unless all are 0. */
void
AddPeerTypeMetrics(prometheus::Registry& aRegistry,
                   const char* aType,
                   const PeerTypeCounters& aCounters)
{
  if (aCounters.mSentMessages + aCounters.mReceivedMessages == 0) {
    return;
  }
  for (bool isSent : { true, false }) {
    Labels labels{ { "type", aType },
                   { "direction", isSent ? "sent" : "received" } };
    AddCounter(aRegistry,
               "vanillascale_peer_type_messages_total",
               "Messages between peers by type",
               static_cast<double>(isSent ? aCounters.mSentMessages
                                          : aCounters.mReceivedMessages),
               labels);
    AddCounter(aRegistry,
               "vanillascale_peer_type_bytes_total",
               "Bytes between peers by message type",
               static_cast<double>(isSent ? aCounters.mSentBytes
                                          : aCounters.mReceivedBytes),
               labels);
  }
}

void
AddMemberMetrics(prometheus::Registry& aRegistry, const MemberCounts& aCounts)
{
  auto add = [&](const char* aName, const char* aHelp, std::size_t aValue) {
    AddGauge(aRegistry, aName, aHelp, static_cast<double>(aValue));
  };
  add("vanillascale_members",
      "Live members in the membership view of this node",
      aCounts.mLive);
  add("vanillascale_members_unreachable",
      "Members that stopped answering without announcing that they leave",
      aCounts.mUnreachable);
  add("vanillascale_seeds_unreachable",
      "Seeds that are not live members",
      aCounts.mUnreachableSeeds);
}

const char*
MemberStatusName(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return "alive";
    case MemberStatus::Suspect:
      return "suspect";
    case MemberStatus::Leaving:
      return "leaving";
    case MemberStatus::Dead:
      return "dead";
  }
  return "dead";
}

} // namespace

std::string
ReportMetrics(const NodeState& aState,
              const PeerLinkCounters& aLinks,
              const RuntimeCounters& aRuntime,
              TimePoint aNow)
{
  prometheus::Registry registry;
  AddProxyMetrics(registry, aState.mProxy);
  for (const auto& [service, scheduler] : aState.mSchedulers) {
    AddSchedulerMetrics(registry, scheduler, aNow);
  }
  AddGauge(registry,
           "vanillascale_open_callers",
           "Requests from callers in progress",
           static_cast<double>(aRuntime.mOpenRequests));
  AddRuntimeMetrics(registry, aRuntime);
  AddQuotaMetrics(registry, aState);
  for (const auto& [topic, feed] : aState.mFeeds) {
    AddFeedMetrics(registry, feed, aNow);
  }
  AddGauge(registry,
           "vanillascale_config_offset",
           "Offset of the configuration in force",
           static_cast<double>(ConfigPosition(aState.mConfig.mConfig).mOffset));
  AddMemberMetrics(registry, CountMembers(aState.mMembers));
  auto add = [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
    AddCounter(registry, aName, aHelp, static_cast<double>(aValue));
  };
  add("vanillascale_peer_sent_messages_total",
      "Messages sent to peers",
      aLinks.mSentMessages);
  add("vanillascale_peer_sent_bytes_total",
      "Bytes sent to peers",
      aLinks.mSentBytes);
  add("vanillascale_peer_received_bytes_total",
      "Bytes received from peers",
      aLinks.mReceivedBytes);
  add("vanillascale_peer_dropped_total",
      "Messages to peers that were discarded or failed to be sent",
      aLinks.mDropped);
  add("vanillascale_peer_unreadable_total",
      "Received messages of another cluster or version, or malformed",
      aLinks.mUnreadable);
  for (std::size_t i = 0; i < kMessageTypes; ++i) {
    AddPeerTypeMetrics(registry, MessageTypeName(i), aLinks.mByType[i]);
  }
  std::uint64_t appends = 0;
  for (const auto& [stream, writer] : aState.mIntentWriters) {
    appends += writer.mAppends;
  }
  add("vanillascale_intent_appends_total",
      "Appends of intent records to the platform's log",
      appends);
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

std::string
ReportStatus(const NodeState& aState, TimePoint aNow)
{
  Json members = Json::array();
  for (const auto& [node, member] : aState.mMembers.mMembers) {
    members.push_back({ { "node", node.mValue },
                        { "zone", member.mZone.mValue },
                        { "status", MemberStatusName(member.mStatus) },
                        { "configOffset", member.mConfigOffset } });
  }
  Json duties = Json::array();
  for (const auto& [service, scheduler] : aState.mSchedulers) {
    duties.push_back(service.mValue);
  }
  StorePosition position = ConfigPosition(aState.mConfig.mConfig);
  Json feeds = Json::object();
  for (const auto& [topic, feed] : aState.mFeeds) {
    feeds[topic] = {
      { "era", feed.mEnd.mEra },
      { "end", feed.mEnd.mOffset },
      { "revision", feed.mRevision },
      { "ageMs", (aNow - feed.mFreshAt) / std::chrono::milliseconds(1) }
    };
  }
  return Json{
    { "node", aState.mOptions.mSelf.mValue },
    { "zone", aState.mOptions.mZone.mValue },
    { "environment", aState.mOptions.mEnvironment },
    { "ready", IsReady(aState, aNow) },
    { "configOffset", position.mOffset },
    { "configEra", position.mEra },
    { "heardConfigOffset", aState.mMembers.mHeardConfigOffset },
    { "feeds", std::move(feeds) },
    { "schedules", std::move(duties) },
    { "members", std::move(members) }
  }.dump();
}

} // namespace vanillascale
