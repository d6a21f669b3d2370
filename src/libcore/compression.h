#ifndef AMARANTHWARD_LIBCORE_COMPRESSION_H
#define AMARANTHWARD_LIBCORE_COMPRESSION_H

#include "libcore/result.h"
#include <string>
#include <string_view>

namespace amaranthward {

/// Compresses \a Text in the zlib format. Texts below a few hundred bytes are
/// kept as they are, behind a mark of their own.
std::string compressText(std::string_view Text);

/// Inverse of \a compressText. Fails with Corrupt on anything else, and with
/// Exhausted when the text would be larger than \a MaxBytes.
Result<std::string> decompressText(std::string_view Data, std::size_t MaxBytes);

} // namespace amaranthward

#endif
