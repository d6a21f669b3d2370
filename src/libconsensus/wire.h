#ifndef AMARANTHWARD_LIBCONSENSUS_WIRE_H
#define AMARANTHWARD_LIBCONSENSUS_WIRE_H

#include "libconsensus/logrecord.h"
#include "libcore/json.h"
#include "libcore/result.h"
#include <string>
#include <string_view>
#include <vector>

namespace amaranthward {

/// Values of the "type" field of messages between replicas.
namespace wire {
inline constexpr const char *PreVote = "prevote";
inline constexpr const char *PreVoteReply = "prevote_reply";
inline constexpr const char *Vote = "vote";
inline constexpr const char *VoteReply = "vote_reply";
inline constexpr const char *TimeoutNow = "timeout_now";
inline constexpr const char *Append = "append";
inline constexpr const char *AppendReply = "append_reply";
inline constexpr const char *Snapshot = "snapshot";
inline constexpr const char *SnapshotReply = "snapshot_reply";
inline constexpr const char *Hello = "hello";
inline constexpr const char *Form = "form";
/// Names of all voters, in answer to the hello of a replica that is not one.
inline constexpr const char *Voters = "voters";
} // namespace wire

std::string encodeBase64(std::string_view Data);
/// Fails with InvalidArgument.
Result<std::string> decodeBase64(std::string_view Text);

Json encodeEntry(const LogEntry &Entry);
/// Fails with InvalidArgument unless the entries are well formed, follow
/// \a Previous without a gap and do not go back in term.
Result<std::vector<LogEntry>> decodeEntries(const Json &Message,
                                            LogIndex Previous);

} // namespace amaranthward

#endif
