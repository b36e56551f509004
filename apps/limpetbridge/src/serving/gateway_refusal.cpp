/// Answers of the gateway itself: a request that is refused.
#include "gateway_request.h"

#include "refusal_response.h"

namespace limpetbridge {

auto gateway_request::writeRefusal(const serving::refuse_request &Refusal)
    -> net::awaitable<bool> {
  if (ResponseStarted)
    co_return false;
  auto Response = makeRefusal(Refusal.Code, Refusal.RetryAfterMs);
  co_return co_await writeResponse(std::move(Response));
}

} // namespace limpetbridge
