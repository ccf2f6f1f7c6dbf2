#ifndef VANILLASCALE_DOCUMENT_H
#define VANILLASCALE_DOCUMENT_H

#include "Clock.h"
#include "Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace vanillascale {

/** Whether a route's work is of ordinary length or many times longer. */
enum class WorkClass
{
  Short,
  Long
};

/** What makes sure that work which may not be repeated runs only once. */
enum class AtMostOnceScope
{
  /** The caller's Idempotency-Key: a resend with the same key is recognized,
   * whichever proxy it comes to. */
  PerKey,
  /** Each request is sent to a target once; a resend is a new request. */
  PerRequest
};

/** One service: where its targets are found and what protects them.
 *
 * mVersion is the log offset of the change that last replaced the object, 0 for
 * one that no change has touched. */
struct Service
{
  ServiceName mName;
  /** The group of the platform's VM list whose VMs are the targets. */
  std::string mVmGroup;
  /** Ejection never takes usable capacity under this share, in percent. */
  unsigned mFloorPercent = 50;
  /** Requests a second that one caller account may make; 0 means no limit. */
  unsigned mAccountLimit = 0;
  /** The share of slot time, in percent, that each priority below the first
   * keeps while higher ones could use every slot. */
  unsigned mGuaranteedPercent = 5;
  /** Repeated sends, in percent of the requests. */
  unsigned mRetryPercent = 10;
  /** Repeated sends that may come at once, beyond that share. */
  unsigned mRetryBurst = 30;
  LogOffset mVersion = 0;
};

/** A part of a route's requests that goes to a service. */
struct RouteShare
{
  ServiceName mService;
  unsigned mWeight = 1;
};

/** One route: which requests it matches and how they are served. */
struct Route
{
  RouteName mName;
  /** The service, where the route has one. */
  ServiceName mService;
  /** The services among which requests are spread by weight, instead. */
  std::vector<RouteShare> mShares;
  /** Empty for any host. */
  std::string mHost;
  /** Empty for any method. */
  std::string mMethod;
  /** Matches the path itself and everything below it; one that ends in a slash
   * only what is below it. */
  std::string mPath;
  /** 1 is served first. */
  unsigned mPriority = 1;
  WorkClass mWorkClass = WorkClass::Short;
  bool mIdempotent = true;
  AtMostOnceScope mAtMostOnceScope = AtMostOnceScope::PerKey;
  /** How long a caller waits who does not say, and the longest that one waits
   * where mIsDeadlineUpperBound is set. */
  Duration mDeadline{ 0 };
  bool mIsDeadlineUpperBound = false;
  /** The time within which an answer is of full use; 0 where not stated. */
  Duration mGoal{ 0 };
  /** Targets to which one request may be sent. */
  unsigned mAttempts = 3;
  LogOffset mVersion = 0;
};

/** What callers may send, where the document bounds it. */
struct CallerLimits
{
  std::size_t mHeadBytes = 16UL * 1024;
  std::size_t mBodyBytes = 64UL * 1024 * 1024;
  /** From a request's first byte to its end. */
  Duration mRequestTime{ 0 };
  /** Between requests of one connection. */
  Duration mIdleTime{ 0 };
};

/** What operators promote: one document per environment. */
struct Document
{
  std::string mEnvironment;
  /** Rises with each document where whole documents are published. */
  std::uint64_t mRevision = 0;
  std::optional<CallerLimits> mLimits;
  std::map<ServiceName, Service> mServices;
  std::map<RouteName, Route> mRoutes;
};

/** One thing wrong with a document: where, and what is allowed there. */
struct DocumentFault
{
  /** A JSON pointer into the document, for example "/routes/2/deadlineMs". */
  std::string mPointer;
  std::string mProblem;
};

/** Reads a document from JSON text and checks it as a whole.
 *
 * All faults are returned at once, each with its place. The function is pure
 * and safe to call from any thread.
 *
 * \code
 *   auto document = ParseDocument(text);
 *   if (!document) { for (auto& it : document.error()) Print(it); }
 * \endcode */
tl::expected<Document, std::vector<DocumentFault>>
ParseDocument(const std::string& aText);

/** Checks what a single object cannot: that routes name services that exist and
 * that no two routes match the same requests. Pure; any thread. */
std::vector<DocumentFault>
CheckReferences(const Document& aDocument);

/** Reads one service from JSON text, as it stands in a document. */
tl::expected<Service, std::vector<DocumentFault>>
ParseService(const std::string& aText);

/** Reads one route from JSON text, as it stands in a document. */
tl::expected<Route, std::vector<DocumentFault>>
ParseRoute(const std::string& aText);

/** Writes a whole document as JSON that ParseDocument reads back. Pure. */
std::string
FormatDocument(const Document& aDocument);

/** The services to which a route's requests may go. Pure. */
std::vector<ServiceName>
ServicesOf(const Route& aRoute);

/** Writes a service as canonical JSON, without its version. */
std::string
FormatService(const Service& aService);

/** Writes a route as canonical JSON, without its version. */
std::string
FormatRoute(const Route& aRoute);

} // namespace vanillascale

#endif
