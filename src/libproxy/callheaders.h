#ifndef AMARANTHWARD_LIBPROXY_CALLHEADERS_H
#define AMARANTHWARD_LIBPROXY_CALLHEADERS_H

#include "libcore/callclass.h"
#include "libcore/ids.h"
#include "libcore/result.h"
#include "libcore/units.h"
#include "libnet/httpmessage.h"
#include <optional>
#include <string>
#include <tuple>

namespace amaranthward {

/// Header names of the data path.
namespace header {
inline constexpr const char *DeadlineMs = "Amaranth-Deadline-Ms";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *Class = "Amaranth-Class";
inline constexpr const char *RequestId = "Amaranth-Request-Id";
inline constexpr const char *Incarnation = "Amaranth-Incarnation";
inline constexpr const char *Revision = "Amaranth-Revision";
inline constexpr const char *Route = "Amaranth-Route";
inline constexpr const char *Version = "Amaranth-Version";
inline constexpr const char *Attach = "Amaranth-Attach";
inline constexpr const char *Outcome = "Amaranth-Outcome";
inline constexpr const char *Reason = "Amaranth-Reason";
inline constexpr const char *Load = "Amaranth-Load";
} // namespace header

/// Values of the reason header for requests that reached an upstream but did
/// not run there.
namespace reason {
inline constexpr const char *UpstreamRefused = "upstream-refused";
inline constexpr const char *UpstreamReplaced = "other-instance";
} // namespace reason

/// What a node knows about a request that it forwarded.
enum class Outcome {
  /// The upstream responded.
  Answered,
  /// The request did not run: no byte of it reached an upstream, or the
  /// upstream
  /// stated that it did not run it.
  NotRun,
  /// The request may have run.
  Unknown,
};

const char *toString(Outcome Value);
/// Reads the outcome header; none when it is absent or has an unknown value.
std::optional<Outcome> outcomeOf(const HttpHeaders &Headers);

/// The outcome and reason fields of a response.
HttpHeaders outcomeFields(Outcome Value, const std::string &Reason);

/// Identifies one forwarded request in the mesh. Assigned by the entry; the
/// sequence number increases with each attempt.
struct RequestId {
  /// Incarnation of the entry.
  Incarnation Entry;
  std::uint64_t Sequence = 0;

  /// "ENTRY-SEQUENCE" in decimal.
  std::string str() const;
  /// None when \a Text is not in the format of str().
  static std::optional<RequestId> parse(const std::string &Text);

  friend bool operator==(const RequestId &, const RequestId &) = default;
  friend bool operator<(const RequestId &Left, const RequestId &Right) {
    return std::tie(Left.Entry, Left.Sequence) <
           std::tie(Right.Entry, Right.Sequence);
  }
};

/// Fields that a gate reads from the headers of a forwarded request.
struct ForwardedRequest {
  RequestId Id;
  /// Incarnation of the gate as the sender knows it. Requests for another
  /// incarnation are refused.
  Incarnation ExpectedGate;
  /// Configuration revision of the sender.
  Revision SenderRevision;
  RouteName Route;
  VersionName Version;
  CallClass Class = CallClass::Interactive;
  Duration TimeLeft{0};
  /// Asks only for the response to a request that was sent earlier.
  bool Attach = false;
  /// Has an idempotency key.
  bool Keyed = false;
};

/// Fails with InvalidArgument, naming the header that is absent or malformed.
Result<ForwardedRequest> parseForwarded(const HttpHeaders &Headers);

/// The end-to-end headers: all except the hop-by-hop headers, those listed in
/// Connection, and the Amaranth- headers.
HttpHeaders endToEnd(const HttpHeaders &Headers);

/// The less important of the route's class and the class in the caller's
/// header. Fails with InvalidArgument on an unknown class.
Result<CallClass> classOf(CallClass RouteClass, const HttpHeaders &Headers);

} // namespace amaranthward

#endif
