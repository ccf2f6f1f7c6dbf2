#include "EventNumbers.h"

#include <algorithm>
#include <iterator>

namespace vanillascale {

namespace {

struct NamedEvent
{
  int mNumber;
  const char* mName;
};

constexpr NamedEvent kNamedEvents[] = {
  { kEventStarted, "Started" },
  { kEventStopping, "Stopping" },
  { kEventStopped, "Stopped" },
  { kEventSettingsRefused, "SettingsRefused" },
  { kEventServerFailed, "ServerFailed" },
  { kEventReloaded, "Reloaded" },
  { kEventLinesDropped, "LinesDropped" },
  { kEventLoopDelayed, "LoopDelayed" },
  { kEventPeerMessagesDropped, "PeerMessagesDropped" },
  { kEventCallersLimited, "CallersLimited" },
  { kEventRequestRefused, "RequestRefused" },
  { kEventRequestEnded, "RequestEnded" },
  { kEventRequestRetried, "RequestRetried" },
  { kEventCallerGone, "CallerGone" },
  { kEventSlotRefused, "SlotRefused" },
  { kEventRequestDelayed, "RequestDelayed" },
  { kEventGrantDeclined, "GrantDeclined" },
  { kEventHedgeOffered, "HedgeOffered" },
  { kEventHedgeDenied, "HedgeDenied" },
  { kEventHedgeEnded, "HedgeEnded" },
  { kEventChangeFolded, "ChangeFolded" },
  { kEventCheckpointWritten, "CheckpointWritten" },
  { kEventDocumentRead, "DocumentRead" },
  { kEventRecordSkipped, "RecordSkipped" },
  { kEventOutdatedEntries, "OutdatedEntries" },
  { kEventContentDiffers, "ContentDiffers" },
  { kEventEntryAdjusted, "EntryAdjusted" },
  { kEventSchedulerStarted, "SchedulerStarted" },
  { kEventSchedulerEnded, "SchedulerEnded" },
  { kEventFallbackEntered, "FallbackEntered" },
  { kEventFallbackLeft, "FallbackLeft" },
  { kEventSchedulerPassedOver, "SchedulerPassedOver" },
  { kEventQuotaShareOnly, "QuotaShareOnly" },
  { kEventMembersChanged, "MembersChanged" },
  { kEventContactRecord, "ContactRecord" },
  { kEventTargetEjected, "TargetEjected" },
  { kEventTrialStarted, "TrialStarted" },
  { kEventTrialFailed, "TrialFailed" },
  { kEventTargetReturned, "TargetReturned" },
  { kEventReturnedForFloor, "ReturnedForFloor" },
  { kEventPathAvoided, "PathAvoided" },
  { kEventRequestQuarantined, "RequestQuarantined" },
  { kEventTargetLimited, "TargetLimited" },
  { kEventTargetUnlimited, "TargetUnlimited" },
  { kEventTargetLeaving, "TargetLeaving" },
  { kEventTargetPaused, "TargetPaused" },
  { kEventLogAway, "LogAway" },
  { kEventLogBack, "LogBack" },
  { kEventStoreLost, "StoreLost" },
  { kEventStoreBack, "StoreBack" },
  { kEventStoreRestored, "StoreRestored" },
  { kEventStoreEraIgnored, "StoreEraIgnored" },
};

} // namespace

const char*
EventName(int aEventNumber)
{
  const auto* it = std::find_if(
    std::begin(kNamedEvents),
    std::end(kNamedEvents),
    [&](const NamedEvent& aEvent) { return aEvent.mNumber == aEventNumber; });
  return it == std::end(kNamedEvents) ? "Unknown" : it->mName;
}

} // namespace vanillascale
