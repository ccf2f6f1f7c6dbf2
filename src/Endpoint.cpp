#include "Settings.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdint>

namespace vanillascale {

tl::expected<Endpoint, std::string>
ParseEndpoint(const std::string& aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return tl::make_unexpected("has no port");
  }
  Endpoint endpoint;
  endpoint.mHost = aText.substr(0, colon);
  in_addr address{};
  unsigned long port = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, ec] = std::from_chars(aText.data() + colon + 1, end, port);
  bool isAddress = inet_pton(AF_INET, endpoint.mHost.c_str(), &address) == 1;
  bool isNumber = ec == std::errc() && stop == end;
  if (!isAddress || !isNumber || port == 0 || port > UINT16_MAX) {
    return tl::make_unexpected("is not an IPv4 address and port");
  }
  endpoint.mPort = static_cast<std::uint16_t>(port);
  return endpoint;
}

} // namespace vanillascale
