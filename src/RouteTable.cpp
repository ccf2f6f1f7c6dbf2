#include "RouteTable.h"

#include <algorithm>
#include <cctype>

namespace vanillascale {

namespace {

/** Returns a host in lower case and without its port. */
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return host;
}

/** Returns the index key of a host, method and path. An empty host or method
 * stands for any. */
std::string
MakeIndexKey(std::string_view aHost,
             std::string_view aMethod,
             std::string_view aPath)
{
  std::string key;
  key.reserve(aHost.size() + aMethod.size() + 2 + aPath.size());
  key.append(aHost).append(" ").append(aMethod).append(" ").append(aPath);
  return key;
}

std::string
MakeIndexKey(const Route& aRoute)
{
  return MakeIndexKey(
    NormalizeHost(aRoute.mHost), aRoute.mMethod, aRoute.mPath);
}

/** Returns the next shorter path to look up: without the trailing slash or,
 * where there is none, without the last segment. Empty after the root. */
std::string_view
NextShorterPrefix(std::string_view aPath)
{
  if (aPath.size() > 1 && aPath.back() == '/') {
    return aPath.substr(0, aPath.size() - 1);
  }
  std::size_t slash = aPath.rfind('/');
  bool isRoot = aPath.size() <= 1 || slash == std::string_view::npos;
  return isRoot ? std::string_view() : aPath.substr(0, slash + 1);
}

} // namespace

RouteTable
RouteTable::Make(const Document& aDocument)
{
  RouteTable table;
  for (const auto& [name, route] : aDocument.mRoutes) {
    table.Add(route);
  }
  return table;
}

bool
RouteTable::Add(const Route& aRoute)
{
  bool isNew =
    mNamesByIndexKey.emplace(MakeIndexKey(aRoute), aRoute.mName).second;
  if (isNew) {
    mHostRouteCount += aRoute.mHost.empty() ? 0 : 1;
    mAnyMethodRouteCount += aRoute.mMethod.empty() ? 1 : 0;
  }
  return isNew;
}

void
RouteTable::Remove(const Route& aRoute)
{
  auto it = mNamesByIndexKey.find(MakeIndexKey(aRoute));
  if (it != mNamesByIndexKey.end() && it->second == aRoute.mName) {
    mNamesByIndexKey.erase(it);
    mHostRouteCount -= aRoute.mHost.empty() ? 0 : 1;
    mAnyMethodRouteCount -= aRoute.mMethod.empty() ? 1 : 0;
  }
}

const RouteName*
RouteTable::FindEquivalent(const Route& aRoute) const
{
  auto it = mNamesByIndexKey.find(MakeIndexKey(aRoute));
  return it == mNamesByIndexKey.end() ? nullptr : &it->second;
}

const RouteName*
RouteTable::FindForHost(const std::string& aHost,
                        std::string_view aMethod,
                        std::string_view aPath) const
{
  for (std::string_view it = aPath; !it.empty(); it = NextShorterPrefix(it)) {
    auto found = mNamesByIndexKey.find(MakeIndexKey(aHost, aMethod, it));
    if (found == mNamesByIndexKey.end() && mAnyMethodRouteCount > 0) {
      found = mNamesByIndexKey.find(MakeIndexKey(aHost, "", it));
    }
    if (found != mNamesByIndexKey.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

const RouteName*
RouteTable::Find(std::string_view aMethod,
                 std::string_view aPath,
                 std::string_view aHost) const
{
  std::string_view path = aPath.substr(0, aPath.find('?'));
  const RouteName* name = nullptr;
  if (mHostRouteCount > 0 && !aHost.empty()) {
    name = FindForHost(NormalizeHost(aHost), aMethod, path);
  }
  return name ? name : FindForHost(std::string(), aMethod, path);
}

} // namespace vanillascale
