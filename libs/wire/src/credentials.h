/// \file
/// The shared token that authenticates gRPC calls.
#ifndef LIMPETBRIDGE_WIRE_CREDENTIALS_H
#define LIMPETBRIDGE_WIRE_CREDENTIALS_H

#include <grpcpp/client_context.h>
#include <grpcpp/server_context.h>

#include <string>

namespace limpetbridge {

inline constexpr const char *TokenHeader = "limpetbridge-token";

/// Adds \p Token to the metadata of the call, unless it is empty.
inline auto addToken(grpc::ClientContext &Context, const std::string &Token)
    -> void {
  if (!Token.empty())
    Context.AddMetadata(TokenHeader, Token);
}

/// True when the call carries \p Token, or \p Token is empty and thus none is
/// required.
[[nodiscard]] inline auto
isAuthenticated(const grpc::ServerContextBase &Context,
                const std::string &Token) -> bool {
  if (Token.empty())
    return true;
  const auto Found = Context.client_metadata().find(TokenHeader);
  return Found != Context.client_metadata().end() &&
         std::string(Found->second.data(), Found->second.size()) == Token;
}

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_CREDENTIALS_H
