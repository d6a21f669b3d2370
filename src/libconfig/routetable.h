#ifndef AMARANTHWARD_LIBCONFIG_ROUTETABLE_H
#define AMARANTHWARD_LIBCONFIG_ROUTETABLE_H

#include "libconfig/configurationset.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthward {

/// Finds the route of a call: of the routes of its host, the one with the
/// longest path prefix that matches (see RouteSpec::PathPrefix). Paths and
/// prefixes are compared byte by byte; nothing is decoded or normalized.
///
/// The table is a tree with one level for each path segment. The time of a
/// match is linear in the length of the matched prefix, however long the path
/// is.
class RouteTable {
public:
  /// \param Route must outlive the table or be removed. Of two routes with the
  /// same match, the one with the lower name is used.
  void add(const RouteSpec &Route);
  /// \param Route as it was added.
  void remove(const RouteSpec &Route);

  /// See RoutingView::matchRoute.
  const RouteSpec *match(std::string_view Method, std::string_view Host,
                         std::string_view Path) const;

private:
  /// By name, so that the order does not depend on the history.
  using RouteList = std::vector<const RouteSpec *>;

  struct Level {
    std::map<std::string, std::unique_ptr<Level>, std::less<>> Children;
    /// Routes whose prefix ends with the segment of this level.
    RouteList Routes;
    /// Routes whose prefix ends with a slash after that segment.
    RouteList RoutesBelow;

    bool empty() const {
      return this->Children.empty() && this->Routes.empty() &&
             this->RoutesBelow.empty();
    }
    /// The list that holds a route with \a PathPrefix.
    RouteList &listFor(std::string_view PathPrefix);
  };

  /// Removes \a Route, whose prefix below \a At is \a Rest, and levels that
  /// become empty.
  static void removeBelow(Level &At, std::string_view Rest,
                          const RouteSpec &Route);
  static const RouteSpec *pick(const RouteList &Routes,
                               std::string_view Method);
  static const RouteSpec *matchBelow(const Level &Root, std::string_view Method,
                                     std::string_view Path);

  /// One tree for each host, in lower case; the empty host matches any.
  std::map<std::string, Level, std::less<>> Hosts;
};

} // namespace amaranthward

#endif
