#include "EventNumbers.h"

namespace vanillascale {

const char*
EventName(int aEventNumber)
{
  switch (aEventNumber) {
    case kEventStarted:
      return "Started";
    case kEventStopping:
      return "Stopping";
    case kEventStopped:
      return "Stopped";
    case kEventSettingsRefused:
      return "SettingsRefused";
    case kEventServerFailed:
      return "ServerFailed";
    case kEventReloaded:
      return "Reloaded";
    case kEventLinesDropped:
      return "LinesDropped";
    case kEventLoopDelayed:
      return "LoopDelayed";
    case kEventPeerMessagesDropped:
      return "PeerMessagesDropped";
    case kEventRequestRefused:
      return "RequestRefused";
    case kEventRequestEnded:
      return "RequestEnded";
    case kEventRequestRetried:
      return "RequestRetried";
    case kEventCallerGone:
      return "CallerGone";
    case kEventSlotRefused:
      return "SlotRefused";
    case kEventRequestDelayed:
      return "RequestDelayed";
    case kEventChangeFolded:
      return "ChangeFolded";
    case kEventCheckpointWritten:
      return "CheckpointWritten";
    case kEventDocumentRead:
      return "DocumentRead";
    case kEventRecordSkipped:
      return "RecordSkipped";
    case kEventSchedulerStarted:
      return "SchedulerStarted";
    case kEventSchedulerEnded:
      return "SchedulerEnded";
    case kEventFallbackEntered:
      return "FallbackEntered";
    case kEventFallbackLeft:
      return "FallbackLeft";
    case kEventSchedulerPassedOver:
      return "SchedulerPassedOver";
    case kEventTargetEjected:
      return "TargetEjected";
    case kEventTrialStarted:
      return "TrialStarted";
    case kEventTrialFailed:
      return "TrialFailed";
    case kEventTargetReturned:
      return "TargetReturned";
    case kEventReturnedForFloor:
      return "ReturnedForFloor";
    case kEventPathAvoided:
      return "PathAvoided";
    case kEventRequestQuarantined:
      return "RequestQuarantined";
    case kEventTargetLimited:
      return "TargetLimited";
    case kEventTargetUnlimited:
      return "TargetUnlimited";
    case kEventTargetLeaving:
      return "TargetLeaving";
    case kEventTargetPaused:
      return "TargetPaused";
    case kEventLogAway:
      return "LogAway";
    case kEventLogBack:
      return "LogBack";
    case kEventStoreLost:
      return "StoreLost";
    case kEventStoreBack:
      return "StoreBack";
    default:
      return "Unknown";
  }
}

} // namespace vanillascale
