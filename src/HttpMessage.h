#ifndef VANILLASCALE_HTTPMESSAGE_H
#define VANILLASCALE_HTTPMESSAGE_H

#include "ByteBudget.h"
#include "Messages.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillascale {

/** A request as it came in, whole. */
struct HttpRequest
{
  std::string mMethod;
  /** Path and query, as they stood in the first line. */
  std::string mTarget;
  std::vector<Header> mHeaders;
  std::string mBody;
  /** Takes the place of mBody where it is set, so that a body is not copied. */
  std::shared_ptr<const std::string> mSharedBody;
  /** Counts what the request holds; null if nobody counts it. */
  std::shared_ptr<BudgetCharge> mCharge;
  bool mKeepsAlive = true;
};

/** An answer. */
struct HttpResponse
{
  unsigned mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody;
  /** As those of HttpRequest. */
  std::shared_ptr<const std::string> mSharedBody;
  std::shared_ptr<BudgetCharge> mCharge;
  bool mKeepsAlive = true;
};

/** The body of a message, wherever it is. Pure. */
const std::string&
BodyOf(const HttpRequest& aRequest);
const std::string&
BodyOf(const HttpResponse& aResponse);

/** The first header with a name, whatever its case; null for none. Pure. */
const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/** Whether two header names are the same, whatever their case. Pure. */
bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/** Returns the elements of a comma-separated list without the blanks around
 * them. Empty ones are left out. They point into aList. Pure. */
std::vector<std::string_view>
SplitList(std::string_view aList);

/** Whether a header speaks of one connection and its framing only, so that it
 * must not be passed on. Names listed in Connection count as well. Pure. */
bool
IsHopByHop(const std::vector<Header>& aHeaders, std::string_view aName);

/** Writes the bytes of a request's head. Framing headers are added: mHeaders
 * must hold none. The body follows as it is. Pure. */
std::string
SerializeHead(const HttpRequest& aRequest);

/** Writes a request's bytes, head and body. Pure. */
std::string
Serialize(const HttpRequest& aRequest);

/** Whether an answer has a body on the wire. One to HEAD has none. Pure. */
bool
HasBody(const HttpResponse& aResponse, bool aIsToHead);

/** Writes the bytes of an answer's head, with its length and whether the
 * connection stays. Pure. */
std::string
SerializeHead(const HttpResponse& aResponse, bool aIsToHead);

/** Writes an answer's bytes, with its length and whether the connection stays.
 * An answer to HEAD has no body, and its Content-Length is kept. Pure. */
std::string
Serialize(const HttpResponse& aResponse, bool aIsToHead);

} // namespace vanillascale

#endif
