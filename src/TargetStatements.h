#ifndef VANILLASCALE_TARGETSTATEMENTS_H
#define VANILLASCALE_TARGETSTATEMENTS_H

#include "Clock.h"
#include "Ids.h"
#include "MsgpackTypes.h"

#include <optional>

namespace vanillascale {

/** What a target states of itself in an answer. */
struct TargetStatements
{
  /** The requests per second that it accepts from all proxies together; empty
   * if it states no limit. */
  std::optional<double> mRequestLimit;
  /** It is leaving and accepts no new requests. */
  bool mIsLeaving = false;
  /** How long it accepts no request from the proxy that it answered; 0 if it
   * states no pause. */
  Duration mPause{ 0 };
  MSGPACK_DEFINE(mRequestLimit, mIsLeaving, mPause)
};

/** A limit on the rate of requests to a target, kept as a token bucket. A value
 * without a limit allows every request. Not thread safe. */
struct RequestLimit
{
  /** In requests per second; empty if there is no limit. */
  std::optional<double> mPerSecond;
  /** The requests that may be sent at once, as of mUpdatedAt. */
  double mTokens = 0;
  TimePoint mUpdatedAt{};
  /** When the target last stated the limit. */
  TimePoint mStatedAt{};
};

/** The share of a target's limit that the caller of the functions below may
 * use: all of it for a scheduler, less for a proxy that chooses locally. */
constexpr double kWholeLimit = 1;

/** Applies the statements of an answer to a request that was sent at aSentAt. A
 * new limit starts with aTokens. An answer without a limit lifts the limit,
 * unless the request was sent before the limit was last stated. Returns whether
 * a limit was set or lifted. */
bool
ApplyStatements(RequestLimit& aLimit,
                TimePoint aNow,
                TimePoint aSentAt,
                const TargetStatements& aStatements,
                double aTokens = 0);

/** Lifts a limit that has not been stated for kLimitExpiry. Returns whether it
 * did. */
bool
ExpireLimit(RequestLimit& aLimit, TimePoint aNow);

/** Returns whether a request may be sent now. Pure. */
bool
AllowsRequest(const RequestLimit& aLimit,
              TimePoint aNow,
              double aShare = kWholeLimit);

/** Records that a request is sent. */
void
TakeToken(RequestLimit& aLimit, TimePoint aNow, double aShare = kWholeLimit);

} // namespace vanillascale

#endif
