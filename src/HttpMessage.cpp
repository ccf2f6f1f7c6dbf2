#include "HttpMessage.h"

#include <algorithm>
#include <strings.h>

namespace vanillascale {

namespace {

constexpr unsigned kStatusNoContent = 204;
constexpr unsigned kStatusNotModified = 304;
constexpr unsigned kFirstFinalStatus = 200;

const char*
ReasonPhrase(unsigned aStatus)
{
  switch (aStatus) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

void
AppendHeader(std::string& aInto,
             std::string_view aName,
             std::string_view aValue)
{
  aInto.append(aName).append(": ").append(aValue).append("\r\n");
}

bool
IsListed(std::string_view aList, std::string_view aName)
{
  auto items = SplitList(aList);
  return std::any_of(items.begin(), items.end(), [&](std::string_view aItem) {
    return IsSameName(aItem, aName);
  });
}

} // namespace

bool
IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  auto it =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
      return IsSameName(aHeader.mName, aName);
    });
  return it == aHeaders.end() ? nullptr : &it->mValue;
}

std::vector<std::string_view>
SplitList(std::string_view aList)
{
  std::vector<std::string_view> items;
  while (!aList.empty()) {
    std::size_t comma = aList.find(',');
    std::string_view item = aList.substr(0, comma);
    aList = comma == std::string_view::npos ? std::string_view()
                                            : aList.substr(comma + 1);
    std::size_t first = item.find_first_not_of(" \t");
    std::size_t last = item.find_last_not_of(" \t");
    if (first != std::string_view::npos) {
      items.push_back(item.substr(first, last - first + 1));
    }
  }
  return items;
}

bool
IsHopByHop(const std::vector<Header>& aHeaders, std::string_view aName)
{
  static constexpr std::string_view kNames[] = { "Connection",
                                                 "Keep-Alive",
                                                 "Transfer-Encoding",
                                                 "Content-Length",
                                                 "TE",
                                                 "Trailer",
                                                 "Upgrade",
                                                 "Expect",
                                                 "Proxy-Authenticate",
                                                 "Proxy-Authorization",
                                                 "Proxy-Connection" };
  bool isFixed =
    std::any_of(std::begin(kNames), std::end(kNames), [&](auto aOther) {
      return IsSameName(aName, aOther);
    });
  return isFixed ||
         std::any_of(
           aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
             return IsSameName(aHeader.mName, "Connection") &&
                    IsListed(aHeader.mValue, aName);
           });
}

const std::string&
BodyOf(const HttpRequest& aRequest)
{
  return aRequest.mSharedBody ? *aRequest.mSharedBody : aRequest.mBody;
}

const std::string&
BodyOf(const HttpResponse& aResponse)
{
  return aResponse.mSharedBody ? *aResponse.mSharedBody : aResponse.mBody;
}

std::string
SerializeHead(const HttpRequest& aRequest)
{
  std::string bytes;
  bytes.append(aRequest.mMethod)
    .append(" ")
    .append(aRequest.mTarget)
    .append(" HTTP/1.1\r\n");
  for (const Header& it : aRequest.mHeaders) {
    AppendHeader(bytes, it.mName, it.mValue);
  }
  bool mayLackBody = aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
  std::size_t length = BodyOf(aRequest).size();
  if (length > 0 || !mayLackBody) {
    AppendHeader(bytes, "Content-Length", std::to_string(length));
  }
  if (!aRequest.mKeepsAlive) {
    AppendHeader(bytes, "Connection", "close");
  }
  return bytes.append("\r\n");
}

std::string
Serialize(const HttpRequest& aRequest)
{
  return SerializeHead(aRequest).append(BodyOf(aRequest));
}

bool
HasBody(const HttpResponse& aResponse, bool aIsToHead)
{
  return aResponse.mStatus >= kFirstFinalStatus &&
         aResponse.mStatus != kStatusNoContent &&
         aResponse.mStatus != kStatusNotModified && !aIsToHead;
}

std::string
SerializeHead(const HttpResponse& aResponse, bool aIsToHead)
{
  std::string bytes = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + " " +
                      ReasonPhrase(aResponse.mStatus) + "\r\n";
  for (const Header& it : aResponse.mHeaders) {
    AppendHeader(bytes, it.mName, it.mValue);
  }
  if (HasBody(aResponse, aIsToHead)) {
    AppendHeader(
      bytes, "Content-Length", std::to_string(BodyOf(aResponse).size()));
  }
  if (aResponse.mStatus >= kFirstFinalStatus && !aResponse.mKeepsAlive) {
    AppendHeader(bytes, "Connection", "close");
  }
  return bytes.append("\r\n");
}

std::string
Serialize(const HttpResponse& aResponse, bool aIsToHead)
{
  std::string bytes = SerializeHead(aResponse, aIsToHead);
  if (HasBody(aResponse, aIsToHead)) {
    bytes.append(BodyOf(aResponse));
  }
  return bytes;
}

} // namespace vanillascale
