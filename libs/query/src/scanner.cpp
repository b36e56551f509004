#include "scanner.h"

#include <cctype>

namespace limpetbridge {

namespace {

constexpr std::string_view Symbols = "=<>~;!";

auto isWordCharacter(char Character) -> bool {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '-' || Character == '_' || Character == '.' ||
         Character == ':' || Character == ',' || Character == '*' ||
         Character == '/' || Character == '@' || Character == '+';
}

auto errorAt(std::size_t Column, const std::string &Message) -> error {
  return failure(result_code::SyntaxError,
                 "column " + std::to_string(Column) + ": " + Message);
}

/// Reads tokens from a text, one by one.
struct token_reader {
  std::string_view Text;
  std::size_t Position = 0;

  auto skipWhitespace() -> void {
    while (Position < Text.size() &&
           std::isspace(static_cast<unsigned char>(Text[Position])) != 0)
      ++Position;
  }

  auto readWord() -> token {
    const auto Start = Position;
    while (Position < Text.size() && isWordCharacter(Text[Position]))
      ++Position;
    return {token_kind::Word, std::string(Text.substr(Start, Position - Start)),
            Start + 1};
  }

  auto readQuoted() -> result<token> {
    const auto Start = Position;
    const auto End = Text.find('"', Start + 1);
    if (End == std::string_view::npos)
      return errorAt(Start + 1, "the quote is not closed");
    Position = End + 1;
    return token{token_kind::Word,
                 std::string(Text.substr(Start + 1, End - Start - 1)),
                 Start + 1};
  }

  auto readSymbol() -> token {
    const auto Start = Position++;
    const bool NotEqual =
        Text[Start] == '!' && Position < Text.size() && Text[Position] == '=';
    if (NotEqual)
      ++Position;
    return {token_kind::Symbol,
            std::string(Text.substr(Start, Position - Start)), Start + 1};
  }

  auto readToken() -> result<token> {
    skipWhitespace();
    if (Position == Text.size())
      return token{token_kind::End, "", Position + 1};
    const char Next = Text[Position];
    if (Next == '"')
      return readQuoted();
    if (Symbols.find(Next) != std::string_view::npos)
      return readSymbol();
    if (!isWordCharacter(Next))
      return errorAt(Position + 1,
                     std::string("unexpected character '") + Next +
                         "'; expected a word or one of = != < > ~ ;");
    return readWord();
  }
};

} // namespace

auto tokenize(std::string_view Text) -> result<std::vector<token>> {
  std::vector<token> Tokens;
  token_reader Reader{Text};
  for (;;) {
    auto Token = Reader.readToken();
    if (!Token)
      return Token.error();
    Tokens.push_back(Token.value());
    if (Tokens.back().Kind == token_kind::End)
      return Tokens;
  }
}

} // namespace limpetbridge
