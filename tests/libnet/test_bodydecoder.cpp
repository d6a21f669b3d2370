#include "libcore/units.h"
#include "libnet/bodydecoder.h"
#include <doctest/doctest.h>
#include <vector>

using namespace amaranthward;

namespace {

struct Decoded {
  std::string Body;
  bool Done = false;
  bool Failed = false;
  std::size_t Consumed = 0;
};

/// Feeds \a Input as the server does: unconsumed bytes stay in front of the
/// next piece.
Decoded decode(const std::vector<std::string> &Pieces) {
  BodyDecoder Decoder;
  Decoder.start(std::nullopt);
  Decoded Found;
  std::string Buffer;
  for (const std::string &Piece : Pieces) {
    Buffer += Piece;
    while (true) {
      BodyDecoder::Step Step = Decoder.decode(Buffer);
      Found.Body += Step.Data;
      Found.Consumed += Step.Consumed;
      Buffer.erase(0, Step.Consumed);
      if (Step.Consumed == 0 || Decoder.done())
        break;
    }
  }
  Found.Done = Decoder.done();
  Found.Failed = Decoder.failed();
  return Found;
}

} // namespace

TEST_CASE("chunks split at every pair of positions decode to the same body") {
  const std::string Input = "4\r\nWiki\r\nB;a=b\r\npedia in\r\nX\r\n0\r\n\r\n";
  for (std::size_t First = 0; First <= Input.size(); ++First)
    for (std::size_t Second = First; Second <= Input.size(); ++Second) {
      Decoded Found =
          decode({Input.substr(0, First), Input.substr(First, Second - First),
                  Input.substr(Second)});
      REQUIRE(Found.Done);
      REQUIRE(Found.Body == "Wikipedia in\r\nX");
    }
}

TEST_CASE("a prefix of a chunked body is never complete") {
  const std::string Input = "4\r\nWiki\r\n0\r\nA: b\r\n\r\n";
  for (std::size_t Length = 0; Length < Input.size(); ++Length) {
    Decoded Found = decode({Input.substr(0, Length)});
    CHECK_FALSE(Found.Done);
    CHECK_FALSE(Found.Failed);
  }
}

TEST_CASE("random chunked input gives the same result in one piece or many") {
  RandomFunction Random = seededRandom(7);
  const std::string Alphabet = "0123456789abF;\r\n\r\n\r\n x:";
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Input;
    for (std::uint64_t Length = Random() % 40; Length > 0; --Length)
      Input += Alphabet[Random() % Alphabet.size()];
    std::vector<std::string> Bytes;
    for (char Each : Input)
      Bytes.emplace_back(1, Each);
    Decoded Whole = decode({Input});
    Decoded Split = decode(Bytes);
    INFO(Input);
    REQUIRE(Whole.Failed == Split.Failed);
    REQUIRE(Whole.Done == Split.Done);
    REQUIRE(Whole.Body == Split.Body);
    REQUIRE(Whole.Consumed == Split.Consumed);
  }
}
