#include "libcore/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>
#include <array>
#include <sstream>

namespace amaranthward {

namespace {

constexpr char PlainMark = 'P';
constexpr char ZlibMark = 'Z';
/// Below this size the compressed form is hardly shorter.
constexpr std::size_t LeastCompressed = 512;
/// The fastest level; higher ones gain a few percent for several times the
/// processor time.
constexpr int Level = 1;

Result<std::string> inflate(std::string_view Data, std::size_t MaxBytes) {
  Poco::MemoryInputStream In(Data.data(),
                             static_cast<std::streamsize>(Data.size()));
  Poco::InflatingInputStream Inflater(In);
  std::string Text;
  std::array<char, 16UL * 1024> Buffer;
  do {
    Inflater.read(Buffer.data(), Buffer.size());
    Text.append(Buffer.data(), static_cast<std::size_t>(Inflater.gcount()));
    if (Text.size() > MaxBytes)
      return fail(ErrorCode::Exhausted, "the decompressed text is too large");
  } while (Inflater);
  if (Inflater.bad())
    return fail(ErrorCode::Corrupt, "the compressed text is damaged");
  return Text;
}

} // namespace

std::string compressText(std::string_view Text) {
  if (Text.size() < LeastCompressed)
    return PlainMark + std::string(Text);
  std::ostringstream Out;
  Out.put(ZlibMark);
  Poco::DeflatingOutputStream Deflater(
      Out, Poco::DeflatingStreamBuf::STREAM_ZLIB, Level);
  Deflater.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Deflater.close();
  return Out.str();
}

Result<std::string> decompressText(std::string_view Data,
                                   std::size_t MaxBytes) {
  if (Data.empty())
    return fail(ErrorCode::Corrupt, "the compressed text is empty");
  std::string_view Rest = Data.substr(1);
  if (Data.front() == PlainMark && Rest.size() <= MaxBytes)
    return std::string(Rest);
  if (Data.front() != ZlibMark)
    return fail(ErrorCode::Corrupt, "the text has an unknown mark");
  try {
    return inflate(Rest, MaxBytes);
  } catch (const Poco::Exception &Thrown) {
    return fail(ErrorCode::Corrupt, Thrown.displayText());
  }
}

} // namespace amaranthward
