#ifndef VANILLASCALE_HTTPMESSAGE_H
#define VANILLASCALE_HTTPMESSAGE_H

#include "Messages.h"

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
  bool mKeepsAlive = true;
};

/** An answer. */
struct HttpResponse
{
  unsigned mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody;
  bool mKeepsAlive = true;
};

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

/** Writes a request's bytes. Framing headers are added: mHeaders must hold
 * none. Pure. */
std::string
Serialize(const HttpRequest& aRequest);

/** Writes an answer's bytes, with its length and whether the connection stays.
 * An answer to HEAD has no body, and its Content-Length is kept. Pure. */
std::string
Serialize(const HttpResponse& aResponse, bool aIsToHead);

} // namespace vanillascale

#endif
