#ifndef VANILLASCALE_EVENTNUMBERS_H
#define VANILLASCALE_EVENTNUMBERS_H

namespace vanillascale {

/** Numbers of the events in the log. docs/EVENTS.md lists the meaning of each
 * event and the operator's response; the test EventsAreListed checks that the
 * list and these constants match. */
constexpr int kEventStarted = 100;
constexpr int kEventStopping = 103;
constexpr int kEventStopped = 104;
constexpr int kEventSettingsRefused = 105;
constexpr int kEventServerFailed = 106;
constexpr int kEventReloaded = 107;
constexpr int kEventLinesDropped = 108;
constexpr int kEventLoopDelayed = 109;
constexpr int kEventPeerMessagesDropped = 110;
constexpr int kEventCallersLimited = 111;

constexpr int kEventRequestRefused = 200;
constexpr int kEventRequestEnded = 202;
constexpr int kEventRequestRetried = 203;
constexpr int kEventCallerGone = 204;
constexpr int kEventSlotRefused = 206;
constexpr int kEventRequestDelayed = 207;
constexpr int kEventGrantDeclined = 208;

constexpr int kEventHedgeOffered = 240;
constexpr int kEventHedgeDenied = 241;
constexpr int kEventHedgeEnded = 242;

constexpr int kEventChangeFolded = 300;
constexpr int kEventCheckpointWritten = 302;
constexpr int kEventDocumentRead = 303;
constexpr int kEventRecordSkipped = 304;
constexpr int kEventOutdatedEntries = 305;
constexpr int kEventContentDiffers = 306;
constexpr int kEventEntryAdjusted = 307;

constexpr int kEventSchedulerStarted = 400;
constexpr int kEventSchedulerEnded = 401;
constexpr int kEventFallbackEntered = 402;
constexpr int kEventFallbackLeft = 403;
constexpr int kEventSchedulerPassedOver = 404;
constexpr int kEventQuotaShareOnly = 405;
constexpr int kEventMembersChanged = 406;
constexpr int kEventContactRecord = 407;

constexpr int kEventTargetEjected = 500;
constexpr int kEventTrialStarted = 501;
constexpr int kEventTrialFailed = 502;
constexpr int kEventTargetReturned = 503;
constexpr int kEventReturnedForFloor = 504;
constexpr int kEventPathAvoided = 505;
constexpr int kEventRequestQuarantined = 506;
constexpr int kEventTargetLimited = 507;
constexpr int kEventTargetUnlimited = 508;
constexpr int kEventTargetLeaving = 509;
constexpr int kEventTargetPaused = 510;

constexpr int kEventLogAway = 600;
constexpr int kEventLogBack = 601;
constexpr int kEventStoreLost = 602;
constexpr int kEventStoreBack = 603;
constexpr int kEventStoreRestored = 604;
constexpr int kEventStoreEraIgnored = 605;

/** Returns the name of an event as in docs/EVENTS.md, or "Unknown" if the
 * number is not defined. Pure. */
const char*
EventName(int aEventNumber);

} // namespace vanillascale

#endif
