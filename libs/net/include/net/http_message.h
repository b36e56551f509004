/// \file
/// Plain HTTP messages, as the connections of this library read and write them.
#ifndef LIMPETBRIDGE_NET_HTTP_MESSAGE_H
#define LIMPETBRIDGE_NET_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge::net {

/// One header field, as it stood in the message.
struct header_field {
  std::string Name;
  std::string Value;
};
using header_fields = std::vector<header_field>;

/// A request that was read whole.
struct http_request {
  std::string Method = "GET";
  std::string Target; ///< Path and query, not decoded.
  header_fields Fields;
  std::string Body;
  bool HasBody = false; ///< A length or chunks were announced.
};

/// Status line and fields of an answer.
struct response_head {
  std::uint16_t Status = 0;
  std::string Reason;
  header_fields Fields;
};

/// A whole answer.
struct http_response {
  response_head Head;
  std::string Body;
};

/// Value of the first field \p Name, without regard to case; empty if absent.
[[nodiscard]] auto findField(const header_fields &Fields, std::string_view Name)
    -> std::string_view;
[[nodiscard]] auto hasField(const header_fields &Fields, std::string_view Name)
    -> bool;
[[nodiscard]] auto equalsIgnoreCase(std::string_view Left,
                                    std::string_view Right) -> bool;

/// The fields that concern the whole path: without those of one connection,
/// those that Connection names, and those of framing.
[[nodiscard]] auto endToEndFields(const header_fields &Fields) -> header_fields;

/// Why a request must not be forwarded, or empty if its framing and host are
/// unambiguous.
[[nodiscard]] auto ambiguity(const http_request &Request) -> std::string_view;

/// Status line and fields as bytes, without the empty line.
[[nodiscard]] auto serializeResponseHead(const response_head &Head)
    -> std::string;
/// An answer with its length; Connection: close if \p Close.
[[nodiscard]] auto serializeResponse(const http_response &Answer, bool Close)
    -> std::string;
/// A request with its length, if it has a body.
[[nodiscard]] auto serializeRequest(const http_request &Request) -> std::string;
/// One chunk of a chunked body.
[[nodiscard]] auto serializeChunk(std::string_view Bytes) -> std::string;

/// Standard phrase of \p Status.
[[nodiscard]] auto reasonPhraseOf(std::uint16_t Status) -> std::string_view;

} // namespace limpetbridge::net

#endif // LIMPETBRIDGE_NET_HTTP_MESSAGE_H
