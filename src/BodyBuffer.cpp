#include "BodyBuffer.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** The first capacity of a body without a length; doubled eleven times it is
 * the largest body. */
constexpr std::size_t kFirstCapacity = 32UL * 1024;

} // namespace

std::size_t
BodyBuffer::CapacityFor(std::size_t aMore) const
{
  std::size_t needed = mText.size() + aMore;
  if (needed <= Capacity() || aMore == 0) {
    return Capacity();
  }
  std::size_t capacity = std::max(kFirstCapacity, Capacity() * 2);
  while (capacity < needed) {
    capacity *= 2;
  }
  return std::max(needed, std::min(capacity, mMaxBytes));
}

void
BodyBuffer::Reserve(std::size_t aCapacity)
{
  if (aCapacity > Capacity()) {
    if (mCharge) {
      mCharge->Set(mOtherBytes + aCapacity);
    }
    // std::string::reserve would grow by a factor of its own.
    std::string text;
    text.reserve(aCapacity);
    text.append(mText);
    mText = std::move(text);
    mHasMemory = true;
  }
}

} // namespace vanillascale
