/// \file
/// HTTP messages as plain data, and their serialisation.
#ifndef LIMPETBRIDGE_NET_HTTP_MESSAGE_H
#define LIMPETBRIDGE_NET_HTTP_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::net {

/// A body that several owners hold once; null if there is none.
using shared_body = std::shared_ptr<const std::string>;

/// One header field, spelled as in the message.
struct header_field {
  std::string Name;
  std::string Value;
};
using header_fields = std::vector<header_field>;

/// A complete request.
struct http_request {
  std::string Method = "GET";
  std::string Target; ///< Path and query, not percent-decoded.
  header_fields Fields;
  std::string Body;
  bool HasBody = false; ///< It has a length or is chunked.
};

/// Status line and fields of a response.
struct response_head {
  std::uint16_t Status = 0;
  std::string Reason;
  header_fields Fields;
};

/// A complete response.
struct http_response {
  response_head Head;
  std::string Body;
};

/// Value of the first field \p Name, compared without case; empty if absent.
[[nodiscard]] auto findField(const header_fields &Fields, std::string_view Name)
    -> std::string_view;
[[nodiscard]] auto hasField(const header_fields &Fields, std::string_view Name)
    -> bool;
[[nodiscard]] auto equalsIgnoreCase(std::string_view Left,
                                    std::string_view Right) -> bool;

/// Media type of the body without its parameters; empty if it is not named.
[[nodiscard]] auto mediaType(const header_fields &Fields) -> std::string_view;

/// Time after which the sender of \p Fields closes an idle connection, ms, from
/// Keep-Alive: `timeout=SECONDS` or `SECONDS`. \returns none if it names no
/// time, and 0 if its time cannot be read or it takes no further request
/// (`max=0`).
[[nodiscard]] auto keepAliveMs(const header_fields &Fields)
    -> std::optional<std::int64_t>;

/// The end-to-end fields: without hop-by-hop fields, those that Connection
/// names, Expect and Content-Length.
[[nodiscard]] auto endToEndFields(const header_fields &Fields) -> header_fields;

/// Why a request must not be forwarded; empty if its framing, host and target
/// are unambiguous.
[[nodiscard]] auto findAmbiguity(const http_request &Request)
    -> std::string_view;

/// Status line and fields, without the empty line that ends the head.
[[nodiscard]] auto serializeResponseHead(const response_head &Head)
    -> std::string;
/// A response with Content-Length; Connection: close if \p Close.
[[nodiscard]] auto serializeResponse(const http_response &Response, bool Close)
    -> std::string;
/// The head alone, as answer to HEAD; with a length only if \p Head names one.
[[nodiscard]] auto serializeHeadOnly(const response_head &Head, bool Close)
    -> std::string;
/// Head of a request whose body has \p BodyBytes bytes, with Content-Length if
/// it has a body.
[[nodiscard]] auto serializeRequestHead(const http_request &Request,
                                        std::size_t BodyBytes) -> std::string;
/// A request, with Content-Length if it has a body.
[[nodiscard]] auto serializeRequest(const http_request &Request) -> std::string;
/// One chunk of a chunked body.
[[nodiscard]] auto serializeChunk(std::string_view Bytes) -> std::string;

/// Standard reason phrase of \p Status, or "Unknown".
[[nodiscard]] auto reasonPhraseOf(std::uint16_t Status) -> std::string_view;

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_HTTP_MESSAGE_H
