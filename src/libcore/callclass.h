#ifndef AMARANTHWARD_LIBCORE_CALLCLASS_H
#define AMARANTHWARD_LIBCORE_CALLCLASS_H

namespace amaranthward {

/// Importance of a call, most important first.
enum class CallClass { Urgent, Interactive, Bulk };

} // namespace amaranthward

#endif
