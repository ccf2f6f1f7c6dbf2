#ifndef VANILLASCALE_DOCUMENT_H
#define VANILLASCALE_DOCUMENT_H

#include "ClientAccounts.h"
#include "Clock.h"
#include "Ids.h"
#include "MsgpackTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace vanillascale {

/** The duration class of a route's requests: Long requests run many times
 * longer than Short ones. */
enum class WorkClass
{
  Short,
  Long
};

/** The scope within which a request that is not idempotent is executed at most
 * once. */
enum class AtMostOnceScope
{
  /** All requests with the same Idempotency-Key: a resend with the same key is
   * recognized by every proxy. */
  PerKey,
  /** A single request: it is sent to a target at most once, and a resend by the
   * caller is a new request. */
  PerRequest
};

/** A service: the VM group of its targets and the limits that protect them. */
struct Service
{
  ServiceName mName;
  /** The group in the platform's VM list whose VMs are the targets. */
  std::string mVmGroup;
  /** The minimum share of capacity, in percent, that ejection leaves usable. */
  unsigned mFloorPercent = 50;
  /** The maximum rate of one client account, in requests per second; 0 means no
   * limit. */
  unsigned mAccountLimit = 0;
  /** The share of slot time, in percent, that is guaranteed to each priority
   * below the first, even if higher priorities have demand for every slot. */
  unsigned mGuaranteedPercent = 5;
  /** The retry budget: retried sends, in percent of the requests. */
  unsigned mRetryPercent = 10;
  /** The number of retried sends allowed in a burst beyond mRetryPercent. */
  unsigned mRetryBurst = 30;
  /** The log offset of the change that last replaced this object; 0 if no
   * change has replaced it. */
  LogOffset mVersion = 0;
  /** Whether requests are concentrated on the targets that answered last. */
  bool mConcentrate = false;
  /** The hedge budget: second sends of slow requests, in percent of the
   * requests; 0 for none. Each also counts against the retry budget. */
  unsigned mHedgePercent = 0;
  MSGPACK_DEFINE(mName,
                 mVmGroup,
                 mFloorPercent,
                 mAccountLimit,
                 mGuaranteedPercent,
                 mRetryPercent,
                 mRetryBurst,
                 mVersion,
                 mConcentrate,
                 mHedgePercent)
};

/** The weight with which a route's requests are sent to a service. */
struct RouteShare
{
  ServiceName mService;
  unsigned mWeight = 1;
  MSGPACK_DEFINE(mService, mWeight)
};

/** A route: the requests that it matches and the rules for serving them. */
struct Route
{
  RouteName mName;
  /** The service of a route without shares; empty if mShares is set. */
  ServiceName mService;
  /** The services among which requests are distributed by weight; empty if the
   * route has a single service. */
  std::vector<RouteShare> mShares;
  /** The host to match; empty matches any host. */
  std::string mHost;
  /** The HTTP method to match; empty matches any method. */
  std::string mMethod;
  /** The path prefix to match, in whole segments. It matches the path itself
   * and all paths below it; with a trailing slash, only the paths below it. */
  std::string mPath;
  /** The priority; 1 is the highest. */
  unsigned mPriority = 1;
  WorkClass mWorkClass = WorkClass::Short;
  /** Whether a request may be executed more than once. */
  bool mIdempotent = true;
  /** Used only if mIdempotent is false. */
  AtMostOnceScope mAtMostOnceScope = AtMostOnceScope::PerKey;
  /** The deadline of requests that state none. If mIsDeadlineUpperBound is set,
   * it is also the maximum of the deadlines that callers state. */
  Duration mDeadline{ 0 };
  bool mIsDeadlineUpperBound = false;
  /** The latency goal: an answer within this time has its full value to the
   * caller; 0 if the document states none. */
  Duration mGoal{ 0 };
  /** The maximum number of targets to which one request is sent. */
  unsigned mAttempts = 3;
  /** Whether its requests need no API key although the document has accounts.
   */
  bool mIsOpen = false;
  /** The log offset of the change that last replaced this object; 0 if no
   * change has replaced it. */
  LogOffset mVersion = 0;
  /** The hedge budget of the route, in percent of its requests, where it is
   * lower than that of the service. */
  std::optional<unsigned> mHedgePercent;
  MSGPACK_DEFINE(mName,
                 mService,
                 mShares,
                 mHost,
                 mMethod,
                 mPath,
                 mPriority,
                 mWorkClass,
                 mIdempotent,
                 mAtMostOnceScope,
                 mDeadline,
                 mIsDeadlineUpperBound,
                 mGoal,
                 mAttempts,
                 mVersion,
                 mIsOpen,
                 mHedgePercent)
};

/** Limits on the requests and connections of callers. */
struct CallerLimits
{
  /** The maximum size of a request's head, in bytes. */
  std::size_t mHeadBytes = 16UL * 1024;
  /** The maximum size of a request's body, in bytes. */
  std::size_t mBodyBytes = 64UL * 1024 * 1024;
  /** The maximum time from a request's first byte to the end of its head. */
  Duration mRequestTime{ 0 };
  /** The maximum idle time between two requests on one connection. */
  Duration mIdleTime{ 0 };
  MSGPACK_DEFINE(mHeadBytes, mBodyBytes, mRequestTime, mIdleTime)
};

/** The configuration of an environment, which operators promote as a whole. */
struct Document
{
  std::string mEnvironment;
  /** The revision, which increases with each document on platforms that publish
   * whole documents; otherwise 0. */
  std::uint64_t mRevision = 0;
  /** The limits on callers; empty if the document states none. */
  std::optional<CallerLimits> mLimits;
  std::map<ServiceName, Service> mServices;
  std::map<RouteName, Route> mRoutes;
  /** Empty if callers need no API keys. */
  std::map<AccountName, ClientAccount> mAccounts;
};

/** A validation fault of a document. */
struct DocumentFault
{
  /** The location as a JSON pointer, for example "/routes/2/deadlineMs". Faults
   * of CheckReferences have the route's name in place of its index. */
  std::string mPointer;
  /** What is wrong or which values are allowed. */
  std::string mProblem;
};

/** Parses a document from JSON text and validates it as a whole.
 *
 * Returns all faults found, each with its JSON pointer. References between
 * objects are checked only if the objects themselves have no faults. The
 * function is pure and safe to call from any thread.
 *
 * \code
 *   auto document = ParseDocument(text);
 *   if (!document) { for (auto& it : document.error()) Print(it); }
 * \endcode */
tl::expected<Document, std::vector<DocumentFault>>
ParseDocument(const std::string& aText);

/** Checks the references between objects: every route names services of the
 * document, no two routes match the same requests, and no two accounts have the
 * same key. Returns all faults. Pure and safe to call from any thread. */
std::vector<DocumentFault>
CheckReferences(const Document& aDocument);

/** Parses one service from JSON text in the format of a document's services.
 * Returns all faults found. */
tl::expected<Service, std::vector<DocumentFault>>
ParseService(const std::string& aText);

/** Parses one route from JSON text in the format of a document's routes.
 * Returns all faults found. */
tl::expected<Route, std::vector<DocumentFault>>
ParseRoute(const std::string& aText);

/** Formats a document as JSON text that ParseDocument accepts. Pure. */
std::string
FormatDocument(const Document& aDocument);

/** Returns the services to which a route's requests are sent. Pure. */
std::vector<ServiceName>
ServicesOf(const Route& aRoute);

/** Formats a service as canonical JSON text, without its version. */
std::string
FormatService(const Service& aService);

/** Formats a route as canonical JSON text, without its version. */
std::string
FormatRoute(const Route& aRoute);

} // namespace vanillascale

MSGPACK_ADD_ENUM(vanillascale::WorkClass)
MSGPACK_ADD_ENUM(vanillascale::AtMostOnceScope)

#endif
