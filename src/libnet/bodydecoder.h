#ifndef AMARANTHWARD_LIBNET_BODYDECODER_H
#define AMARANTHWARD_LIBNET_BODYDECODER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthward {

/// Decodes a body that arrives in pieces, by its length or as chunks.
class BodyDecoder {
public:
  /// \param Length none for a chunked body.
  void start(std::optional<std::uint64_t> Length);

  /// For a body that ends with its connection.
  void startUntilEnd();
  /// The sender has closed the connection in order; completes such a body.
  void end();

  struct Step {
    /// Input bytes used up.
    std::size_t Consumed = 0;
    /// Body bytes within the input.
    std::string_view Data;
  };

  /// Decodes the next part of \a Input, which starts with the first byte not
  /// yet consumed. Nothing is consumed when more input is needed.
  Step decode(std::string_view Input);

  bool done() const { return this->Current == State::Done; }
  bool failed() const { return this->Current == State::Failed; }

private:
  enum class State {
    Length,
    Size,
    Data,
    DataEnd,
    Trailers,
    UntilEnd,
    Done,
    Failed
  };

  Step decodeData(std::string_view Input, State After);
  Step decodeSize(std::string_view Input);
  Step decodeDataEnd(std::string_view Input);
  Step decodeTrailer(std::string_view Input);
  /// Finds a line of at most \a Limit bytes; fails on a bare line feed.
  std::optional<std::string_view> findLine(std::string_view Input,
                                           std::size_t Limit);

  State Current = State::Done;
  std::uint64_t Left = 0;
  std::size_t TrailerBytes = 0;
};

/// Appends the size line of a chunk of \a Size bytes.
void appendChunkSize(std::string &Out, std::size_t Size);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace amaranthward

#endif
