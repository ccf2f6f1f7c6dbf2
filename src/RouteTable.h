#ifndef VANILLASCALE_ROUTETABLE_H
#define VANILLASCALE_ROUTETABLE_H

#include "Document.h"

#include <string_view>
#include <unordered_map>

namespace vanillascale {

/** The names of routes by method and path, so that one lookup costs a hash for
 * each segment of the request's path however many routes there are, and a
 * change costs no more than the routes that it touches. Not thread safe. */
class RouteTable
{
public:
  /** Indexes the routes of aDocument, which must match no request twice. */
  static RouteTable Make(const Document& aDocument);

  /** Adds a route; false, and nothing is added, where another route matches the
   * same requests. */
  bool Add(const Route& aRoute);

  /** Removes a route that was added; nothing happens where it was not. */
  void Remove(const Route& aRoute);

  /** The name of the route that matches the same requests, or null. */
  const RouteName* FindEquivalent(const Route& aRoute) const;

  /** Returns the name of the route whose path is the longest prefix of aPath,
   * by whole segments, or null. A query part behind '?' and a port behind the
   * host are not looked at. Routes that name the host go before those that
   * take any, and routes that name the method before those that take any. */
  const RouteName* Find(std::string_view aMethod,
                        std::string_view aPath,
                        std::string_view aHost = {}) const;

private:
  const RouteName* FindForHost(const std::string& aHost,
                               std::string_view aMethod,
                               std::string_view aPath) const;

  std::unordered_map<std::string, RouteName> mNamesByIndexKey;
  /** Routes that name a host, and that take any method: what there are none of
   * need not be looked up. */
  std::size_t mHostRouteCount = 0;
  std::size_t mAnyMethodRouteCount = 0;
};

} // namespace vanillascale

#endif
