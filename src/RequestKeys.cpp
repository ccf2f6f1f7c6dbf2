#include "RequestKeys.h"

#include <array>
#include <cctype>
#include <cinttypes>
#include <cstdio>

namespace vanillascale {

namespace {

constexpr std::size_t kKeyLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kTimestampDigits = 12;

bool
IsDashAt(std::size_t aPlace)
{
  return aPlace == 8 || aPlace == 13 || aPlace == 18 || aPlace == 23;
}

} // namespace

std::optional<WallTime>
KeyCreationTime(const RequestKey& aKey)
{
  const std::string& text = aKey.mValue;
  if (text.size() != kKeyLength || text[kVersionPosition] != '7') {
    return std::nullopt;
  }
  std::uint64_t ms = 0;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < kKeyLength; ++i) {
    auto c = static_cast<unsigned char>(text[i]);
    if (IsDashAt(i)) {
      if (c != '-') {
        return std::nullopt;
      }
      continue;
    }
    bool isLowerHex = std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
    if (!isLowerHex) {
      return std::nullopt;
    }
    if (digits++ < kTimestampDigits) {
      ms = ms * 16 + static_cast<std::uint64_t>(
                       std::isdigit(c) != 0 ? c - '0' : c - 'a' + 10);
    }
  }
  return WallTime(std::chrono::milliseconds(ms));
}

RequestKey
MakeRequestKey(WallTime aTime, std::uint64_t aHigh, std::uint64_t aLow)
{
  auto ms = static_cast<std::uint64_t>(aTime.time_since_epoch().count());
  std::array<char, kKeyLength + 1> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%08" PRIx64 "-%04" PRIx64 "-7%03" PRIx64 "-%04" PRIx64
                "-%012" PRIx64,
                (ms >> 16) & 0xffffffff,
                ms & 0xffff,
                aHigh & 0xfff,
                ((aLow >> 48) & 0x3fff) | 0x8000,
                aLow & 0xffffffffffff);
  return RequestKey(buf.data());
}

} // namespace vanillascale
