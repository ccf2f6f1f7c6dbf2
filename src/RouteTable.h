#ifndef VANILLASCALE_ROUTETABLE_H
#define VANILLASCALE_ROUTETABLE_H

#include "Document.h"

#include <string_view>
#include <unordered_map>

namespace vanillascale {

/** An index of route names by host, method and path. A lookup costs a fixed
 * number of hash lookups for each segment of the request's path, independent of
 * the number of routes. An update costs only the routes that it changes. Not
 * thread safe. */
class RouteTable
{
public:
  /** Indexes the routes of aDocument. No two of them may match the same
   * requests. */
  static RouteTable Make(const Document& aDocument);

  /** Adds a route. Returns false and adds nothing where another route matches
   * the same requests. */
  bool Add(const Route& aRoute);

  /** Removes a route. Does nothing where the route is not in the table. */
  void Remove(const Route& aRoute);

  /** Returns the name of the route that matches the same requests as aRoute, or
   * null. */
  const RouteName* FindEquivalent(const Route& aRoute) const;

  /** Returns the name of the route whose path is the longest prefix of aPath by
   * whole segments, or null. Ignores the query part of the path and the port of
   * the host. Routes that name the host take precedence over those that match
   * any host and, for the same path, routes that name the method over those
   * that match any method. */
  const RouteName* Find(std::string_view aMethod,
                        std::string_view aPath,
                        std::string_view aHost = {}) const;

private:
  /** Returns the route with the longest matching path among those with this
   * host, or null. An empty host stands for routes that match any host. */
  const RouteName* FindForHost(const std::string& aHost,
                               std::string_view aMethod,
                               std::string_view aPath) const;

  std::unordered_map<std::string, RouteName> mNamesByIndexKey;
  /** Numbers of routes that name a host and of routes that match any method.
   * Where a number is 0, the lookup of such routes is skipped. */
  std::size_t mHostRouteCount = 0;
  std::size_t mAnyMethodRouteCount = 0;
};

} // namespace vanillascale

#endif
