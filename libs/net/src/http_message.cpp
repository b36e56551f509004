#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>

namespace limpetbridge::net {

namespace {

auto toLower(std::string_view Text) -> std::string {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char Character) {
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(Character)));
  });
  return Lower;
}

auto countFields(const header_fields &Fields, std::string_view Name)
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Fields.begin(), Fields.end(), [&](const auto &Field) {
        return equalsIgnoreCase(Field.Name, Name);
      }));
}

auto trim(std::string_view Text) -> std::string_view {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

auto isNumber(std::string_view Text) -> bool {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character >= '0' && Character <= '9';
         });
}

} // namespace

auto equalsIgnoreCase(std::string_view Left, std::string_view Right) -> bool {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) {
                      return std::tolower(static_cast<unsigned char>(A)) ==
                             std::tolower(static_cast<unsigned char>(B));
                    });
}

auto findField(const header_fields &Fields, std::string_view Name)
    -> std::string_view {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(), [&](const auto &Field) {
        return equalsIgnoreCase(Field.Name, Name);
      });
  return Found == Fields.end() ? std::string_view() : Found->Value;
}

auto hasField(const header_fields &Fields, std::string_view Name) -> bool {
  return countFields(Fields, Name) > 0;
}

auto mediaType(const header_fields &Fields) -> std::string_view {
  const auto Type = findField(Fields, "content-type");
  return trim(Type.substr(0, Type.find(';')));
}

auto keepAliveMs(const header_fields &Fields) -> std::optional<std::int64_t> {
  constexpr std::int64_t MsPerSecond = 1000;
  /// Longer times are as good as this one.
  constexpr std::int64_t MaxSeconds = 86'400;
  std::optional<std::int64_t> Milliseconds;
  std::string_view Remaining = findField(Fields, "keep-alive");
  while (!Remaining.empty()) {
    const auto Comma = Remaining.find(',');
    const auto Parameter = trim(Remaining.substr(0, Comma));
    Remaining = Comma == std::string_view::npos ? std::string_view()
                                                : Remaining.substr(Comma + 1);
    if (Parameter.empty())
      continue;
    const auto Equals = Parameter.find('=');
    const bool HasName = Equals != std::string_view::npos;
    const auto Name = HasName ? trim(Parameter.substr(0, Equals)) : "timeout";
    const auto Value = HasName ? trim(Parameter.substr(Equals + 1)) : Parameter;
    const bool IsTime = equalsIgnoreCase(Name, "timeout");
    if (!IsTime && !equalsIgnoreCase(Name, "max"))
      continue;
    std::int64_t Number = 0;
    // A number that is too long for its type is not read.
    const bool IsReadable =
        isNumber(Value) &&
        std::from_chars(Value.data(), Value.data() + Value.size(), Number).ec ==
            std::errc();
    if (!IsReadable || Number == 0)
      return 0;
    if (IsTime)
      Milliseconds = std::min(Number, MaxSeconds) * MsPerSecond;
  }
  return Milliseconds;
}

auto endToEndFields(const header_fields &Fields) -> header_fields {
  static const std::array<std::string_view, 10> AlwaysExcluded = {
      "connection", "keep-alive",          "proxy-authenticate",
      "te",         "proxy-authorization", "trailer",
      "upgrade",    "transfer-encoding",   "content-length",
      "expect"};
  std::set<std::string, std::less<>> ExcludedFields(AlwaysExcluded.begin(),
                                                    AlwaysExcluded.end());
  for (const auto &Field : Fields) {
    if (!equalsIgnoreCase(Field.Name, "connection"))
      continue;
    std::string_view Remaining = Field.Value;
    while (!Remaining.empty()) {
      const auto Comma = Remaining.find(',');
      ExcludedFields.insert(toLower(trim(Remaining.substr(0, Comma))));
      Remaining = Comma == std::string_view::npos ? std::string_view()
                                                  : Remaining.substr(Comma + 1);
    }
  }
  header_fields EndToEnd;
  for (const auto &Field : Fields)
    if (!ExcludedFields.contains(toLower(Field.Name)))
      EndToEnd.push_back(Field);
  return EndToEnd;
}

auto findAmbiguity(const http_request &Request) -> std::string_view {
  const auto &Fields = Request.Fields;
  const auto ContentLengths = countFields(Fields, "content-length");
  const auto TransferEncodings = countFields(Fields, "transfer-encoding");
  if (ContentLengths + TransferEncodings > 1)
    return "more than one framing";
  if (ContentLengths == 1 && !isNumber(findField(Fields, "content-length")))
    return "length is not a number";
  if (TransferEncodings == 1 &&
      !equalsIgnoreCase(findField(Fields, "transfer-encoding"), "chunked"))
    return "transfer encoding is not chunked";
  if (countFields(Fields, "host") != 1)
    return "not exactly one host";
  if (!Request.Target.starts_with('/'))
    return "target is not a path";
  return {};
}

auto serializeResponseHead(const response_head &Head) -> std::string {
  std::string Text =
      "HTTP/1.1 " + std::to_string(Head.Status) + " " +
      (Head.Reason.empty() ? std::string(reasonPhraseOf(Head.Status))
                           : Head.Reason) +
      "\r\n";
  for (const auto &Field : Head.Fields)
    Text += Field.Name + ": " + Field.Value + "\r\n";
  return Text;
}

auto serializeResponse(const http_response &Response, bool Close)
    -> std::string {
  std::string Text = serializeResponseHead(Response.Head);
  constexpr std::uint16_t NoContent = 204;
  if (Response.Head.Status != NoContent)
    Text += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  if (Close)
    Text += "Connection: close\r\n";
  return Text + "\r\n" + Response.Body;
}

auto serializeHeadOnly(const response_head &Head, bool Close) -> std::string {
  return serializeResponseHead(Head) + (Close ? "Connection: close\r\n" : "") +
         "\r\n";
}

auto serializeRequestHead(const http_request &Request, std::size_t BodyBytes)
    -> std::string {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  for (const auto &Field : Request.Fields)
    Text += Field.Name + ": " + Field.Value + "\r\n";
  if (Request.HasBody || BodyBytes > 0)
    Text += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  return Text + "\r\n";
}

auto serializeRequest(const http_request &Request) -> std::string {
  return serializeRequestHead(Request, Request.Body.size()) + Request.Body;
}

auto serializeChunk(std::string_view Bytes) -> std::string {
  constexpr int HexadecimalBase = 16;
  std::array<char, 2 * sizeof(std::size_t)> Length{};
  const auto End = std::to_chars(Length.data(), Length.data() + Length.size(),
                                 Bytes.size(), HexadecimalBase);
  std::string Text(Length.data(), End.ptr);
  Text += "\r\n";
  Text += Bytes;
  Text += "\r\n";
  return Text;
}

auto reasonPhraseOf(std::uint16_t Status) -> std::string_view {
  struct reason_row {
    std::uint16_t Status;
    std::string_view Reason;
  };
  static constexpr std::array Table = {
      reason_row{200, "OK"},
      reason_row{202, "Accepted"},
      reason_row{204, "No Content"},
      reason_row{400, "Bad Request"},
      reason_row{404, "Not Found"},
      reason_row{408, "Request Timeout"},
      reason_row{409, "Conflict"},
      reason_row{413, "Content Too Large"},
      reason_row{429, "Too Many Requests"},
      reason_row{431, "Request Header Fields Too Large"},
      reason_row{500, "Internal Server Error"},
      reason_row{502, "Bad Gateway"},
      reason_row{503, "Service Unavailable"},
      reason_row{504, "Gateway Timeout"},
      reason_row{505, "HTTP Version Not Supported"}};
  const auto *Found =
      std::find_if(Table.begin(), Table.end(), [Status](const reason_row &Row) {
        return Row.Status == Status;
      });
  return Found == Table.end() ? "Unknown" : Found->Reason;
}

} // namespace limpetbridge::net
