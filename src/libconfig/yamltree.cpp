#include "libconfig/yamltree.h"

#include <Poco/TextEncoding.h>
#include <Poco/UTF8Encoding.h>
#include <algorithm>
#include <sstream>
#include <utility>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace amaranthward {

namespace {

// Findings about anchors, aliases and tags beyond this number stop the parser.
constexpr std::size_t MaxRefused = 100;

// Builds the tree from parser events.
class TreeBuilder : public YAML::EventHandler {
public:
  TreeBuilder(std::string FileName, Findings &All)
      : FileName(std::move(FileName)), All(All) {}

  void OnDocumentStart(const YAML::Mark &Mark) override { this->Start = Mark; }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark &Mark, YAML::anchor_t Anchor) override {
    this->attach(this->begin(Mark, "", Anchor, YamlNode::Kind::Null));
  }

  void OnAlias(const YAML::Mark &Mark, YAML::anchor_t) override {
    this->refuse(Mark, "YAML aliases are not accepted",
                 "write the value out in full");
    this->attach(this->begin(Mark, "", 0, YamlNode::Kind::Null));
  }

  void OnScalar(const YAML::Mark &Mark, const std::string &Tag,
                YAML::anchor_t Anchor, const std::string &Value) override {
    YamlNode Node = this->begin(Mark, Tag, Anchor, YamlNode::Kind::Scalar);
    Node.Text = Value;
    Node.Quoted = Tag == "!";
    this->attach(std::move(Node));
  }

  void OnSequenceStart(const YAML::Mark &Mark, const std::string &Tag,
                       YAML::anchor_t Anchor,
                       YAML::EmitterStyle::value) override {
    this->open(Mark, this->begin(Mark, Tag, Anchor, YamlNode::Kind::Sequence));
  }
  void OnSequenceEnd() override { this->close(); }

  void OnMapStart(const YAML::Mark &Mark, const std::string &Tag,
                  YAML::anchor_t Anchor, YAML::EmitterStyle::value) override {
    this->open(Mark, this->begin(Mark, Tag, Anchor, YamlNode::Kind::Map));
  }
  void OnMapEnd() override { this->close(); }

  YAML::Mark Start;
  YamlNode Root;

private:
  struct Frame {
    YamlNode Node;
    std::optional<YamlNode> Key;
  };

  YamlNode begin(const YAML::Mark &Mark, const std::string &Tag,
                 YAML::anchor_t Anchor, YamlNode::Kind What) {
    if (++this->Count > MaxYamlNodes)
      throw YAML::ParserException(Mark, "the file has too many values");
    if (Anchor != 0) {
      this->refuse(Mark, "YAML anchors are not accepted",
                   "remove the '&' or quote the value");
    }
    if (!Tag.empty() && Tag != "?" && Tag != "!") {
      this->refuse(Mark, "YAML tags are not accepted",
                   "remove the '!' or quote the value");
    }
    YamlNode Node;
    Node.What = What;
    Node.Line = Mark.line + 1;
    Node.Column = Mark.column + 1;
    return Node;
  }

  void open(const YAML::Mark &Mark, YamlNode Node) {
    if (this->Open.size() >= MaxYamlDepth) {
      throw YAML::ParserException(Mark, "values are nested deeper than " +
                                            std::to_string(MaxYamlDepth));
    }
    this->Open.push_back({std::move(Node), std::nullopt});
  }

  void close() {
    YamlNode Done = std::move(this->Open.back().Node);
    this->Open.pop_back();
    this->attach(std::move(Done));
  }

  void attach(YamlNode Node) {
    if (this->Open.empty()) {
      this->Root = std::move(Node);
      return;
    }
    Frame &Parent = this->Open.back();
    if (Parent.Node.What == YamlNode::Kind::Sequence)
      Parent.Node.Items.push_back(std::move(Node));
    else if (!Parent.Key)
      Parent.Key = std::move(Node);
    else {
      Parent.Node.Fields.push_back({std::move(*Parent.Key), std::move(Node)});
      Parent.Key.reset();
    }
  }

  void refuse(const YAML::Mark &Mark, const char *Message, const char *Remedy) {
    if (++this->Refused > MaxRefused)
      throw YAML::ParserException(Mark, "too many refused YAML features");
    this->All.push_back({Severity::Error,
                         {this->FileName, Mark.line + 1, Mark.column + 1},
                         Message,
                         Remedy});
  }

  std::string FileName;
  Findings &All;
  std::vector<Frame> Open;
  std::size_t Count = 0;
  std::size_t Refused = 0;
};

// Position of the first byte that YAML text must not contain.
std::optional<std::size_t> findBadByte(const std::string &Text) {
  const auto *Bytes = reinterpret_cast<const unsigned char *>(Text.data());
  Poco::UTF8Encoding Encoding;
  for (std::size_t At = 0; At < Text.size();) {
    if (Bytes[At] < 0x80) {
      bool IsSpace =
          Bytes[At] == '\t' || Bytes[At] == '\n' || Bytes[At] == '\r';
      if ((Bytes[At] < ' ' && !IsSpace) || Bytes[At] == 0x7f)
        return At;
      ++At;
      continue;
    }
    std::size_t Left = std::min<std::size_t>(Text.size() - At, 4);
    int Length = Encoding.sequenceLength(Bytes + At, static_cast<int>(Left));
    if (Length < 2 || static_cast<std::size_t>(Length) > Left ||
        !Poco::UTF8Encoding::isLegal(Bytes + At, Length))
      return At;
    At += static_cast<std::size_t>(Length);
  }
  return std::nullopt;
}

Place placeOfByte(const std::string &Text, std::size_t At,
                  const std::string &FileName) {
  int Line = 1;
  std::size_t LineStart = 0;
  for (std::size_t Index = 0; Index < At; ++Index) {
    if (Text[Index] == '\n') {
      ++Line;
      LineStart = Index + 1;
    }
  }
  return {FileName, Line, static_cast<int>(At - LineStart) + 1};
}

bool checkText(const std::string &Text, const std::string &FileName,
               std::size_t MaxBytes, Findings &All) {
  if (Text.size() > MaxBytes) {
    All.push_back({Severity::Error,
                   {FileName, 0, 0},
                   "the file has " + std::to_string(Text.size()) +
                       " bytes; at most " + std::to_string(MaxBytes) +
                       " are accepted",
                   "make the file smaller"});
    return false;
  }
  auto FlowBytes = std::count_if(Text.begin(), Text.end(), [](char Letter) {
    return Letter == '[' || Letter == ']' || Letter == '{' || Letter == '}' ||
           Letter == ',';
  });
  if (static_cast<std::size_t>(FlowBytes) > MaxYamlFlowBytes) {
    All.push_back({Severity::Error,
                   {FileName, 0, 0},
                   "the file has " + std::to_string(FlowBytes) +
                       " brackets and commas; at most " +
                       std::to_string(MaxYamlFlowBytes) + " are accepted",
                   "write one NAME: VALUE on each line"});
    return false;
  }
  if (auto Bad = findBadByte(Text)) {
    All.push_back({Severity::Error, placeOfByte(Text, *Bad, FileName),
                   "the file has a control character or invalid UTF-8",
                   "save the file as UTF-8 text"});
    return false;
  }
  return true;
}

void parseDocument(std::istream &Input, TreeBuilder &Builder,
                   const std::string &FileName, Findings &All) {
  YAML::Parser Parser(Input);
  if (!Parser.HandleNextDocument(Builder)) {
    All.push_back({Severity::Error,
                   {FileName, 1, 1},
                   "the file is empty",
                   "write one YAML document"});
    return;
  }
  Findings Ignored;
  TreeBuilder Second(FileName, Ignored);
  if (Parser.HandleNextDocument(Second)) {
    All.push_back({Severity::Error,
                   {FileName, Second.Start.line + 1, Second.Start.column + 1},
                   "the file has more than one YAML document",
                   "submit one complete document"});
  }
}

} // namespace

const YamlNode *YamlNode::field(const std::string &Name) const {
  for (const YamlField &Field : this->Fields) {
    if (Field.Key.What == Kind::Scalar && Field.Key.Text == Name)
      return &Field.Value;
  }
  return nullptr;
}

std::optional<YamlNode> parseYaml(const std::string &Text,
                                  const std::string &FileName,
                                  std::size_t MaxBytes, Findings &All) {
  if (!checkText(Text, FileName, MaxBytes, All))
    return std::nullopt;
  std::size_t Before = All.size();
  TreeBuilder Builder(FileName, All);
  try {
    std::istringstream Input(Text);
    parseDocument(Input, Builder, FileName, All);
  } catch (const YAML::Exception &Problem) {
    All.push_back({Severity::Error,
                   {FileName, Problem.mark.line + 1, Problem.mark.column + 1},
                   "not valid YAML here: " + Problem.msg,
                   "correct the syntax; other problems are reported after"});
  } catch (const std::exception &Problem) {
    All.push_back({Severity::Error,
                   {FileName, 0, 0},
                   std::string("the YAML parser failed: ") + Problem.what(),
                   "correct the syntax"});
  }
  if (All.size() > Before)
    return std::nullopt;
  return std::move(Builder.Root);
}

} // namespace amaranthward
