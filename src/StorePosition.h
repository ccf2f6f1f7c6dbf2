#ifndef VANILLASCALE_STOREPOSITION_H
#define VANILLASCALE_STOREPOSITION_H

#include "Ids.h"

#include <optional>
#include <string>
#include <tuple>

namespace vanillascale {

/** A position in a topic of the platform's store. A store that is restored from
 * an older copy starts a new era and gives out offsets again, so that offsets
 * of different eras tell nothing of each other: any position of a later era
 * comes after all of the earlier ones. Era 0 stands for a store that states
 * none, and for positions from builds that know of none. Value semantics; can
 * be copied between threads. */
struct StorePosition
{
  std::uint64_t mEra = 0;
  LogOffset mOffset = 0;

  StorePosition() = default;
  StorePosition(std::uint64_t aEra, LogOffset aOffset)
    : mEra(aEra)
    , mOffset(aOffset)
  {
  }

  bool operator==(const StorePosition& aOther) const
  {
    return mEra == aOther.mEra && mOffset == aOther.mOffset;
  }
  bool operator!=(const StorePosition& aOther) const
  {
    return !(*this == aOther);
  }
  bool operator<(const StorePosition& aOther) const
  {
    return std::tie(mEra, mOffset) < std::tie(aOther.mEra, aOther.mOffset);
  }
  bool operator>(const StorePosition& aOther) const { return aOther < *this; }
  bool operator<=(const StorePosition& aOther) const
  {
    return !(aOther < *this);
  }
  bool operator>=(const StorePosition& aOther) const
  {
    return !(*this < aOther);
  }
};

/** A position that a message may lack. Its two numbers are kept apart because
 * builds without eras send and expect only the first. */
struct OptionalPosition
{
  std::optional<LogOffset> mOffset;
  std::uint64_t mEra = 0;

  OptionalPosition& operator=(const StorePosition& aPosition)
  {
    mOffset = aPosition.mOffset;
    mEra = aPosition.mEra;
    return *this;
  }
  explicit operator bool() const { return mOffset.has_value(); }
  StorePosition operator*() const { return { mEra, *mOffset }; }
};

/** Returns whether what ends at aEnd is known to be at least as new as what
 * ends at aOther. An end without an era and one with an era tell nothing of
 * each other. Pure. */
inline bool
Reaches(const StorePosition& aEnd, const StorePosition& aOther)
{
  return (aEnd.mEra == 0) == (aOther.mEra == 0) && aOther <= aEnd;
}

/** Returns "ERA/OFFSET". Pure. */
inline std::string
FormatPosition(const StorePosition& aPosition)
{
  return std::to_string(aPosition.mEra) + "/" +
         std::to_string(aPosition.mOffset);
}

} // namespace vanillascale

#endif
