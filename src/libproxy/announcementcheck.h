#ifndef AMARANTHWARD_LIBPROXY_ANNOUNCEMENTCHECK_H
#define AMARANTHWARD_LIBPROXY_ANNOUNCEMENTCHECK_H

#include "libconfig/routingview.h"
#include "libproxy/announcement.h"

namespace amaranthward {

/// What a node knows when an announcement arrives.
struct AnnouncementContext {
  /// Service that the settings name for the upstream beside the node; empty:
  /// any.
  ServiceName OwnService;
  /// Address that the settings name for it; empty: any.
  Endpoint OwnAddress;
  /// The configuration in force; null before the first.
  const RoutingView *View = nullptr;
  /// The upstream that receives requests; null without one.
  const UpstreamAnnouncement *Current = nullptr;
  /// Time since the last announcement of Current.
  Duration Silence = Duration::zero();

  /// An upstream that announced itself within this time counts as running.
  /// Longer than the interval of two announcements.
  static constexpr Duration RunningTime = std::chrono::seconds(3);
};

/// Whether an announcement may be about the upstream beside the node. Fails
/// with InvalidArgument, and a reason, on one of another address, of a service
/// that neither the settings nor the configuration names, of another service
/// while the present upstream still announces itself, or one that contradicts
/// an earlier announcement of the same start.
Result<void> checkAnnouncement(const UpstreamAnnouncement &Received,
                               const AnnouncementContext &Known);

} // namespace amaranthward

#endif
