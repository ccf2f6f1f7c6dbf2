#include "TargetTrust.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Gray spells of about a second are the most frequent ones. */
constexpr Duration kDoubtHalfLife = milliseconds(900);
/** Longer spells last around five seconds. */
constexpr Duration kHistoryHalfLife = milliseconds(3000);
constexpr double kMostDoubt = 8;
constexpr double kMostHistory = 6;
/** One failure counts for two half-lives, two slow answers for one. */
constexpr double kDoubtThreshold = 0.24;
/** The share of doubt that a proof leaves where failures were frequent. */
constexpr double kDoubtKept = 0.3;
constexpr double kSingleFailure = 1.5;

double
Decay(double aValue, Duration aAge, Duration aHalfLife)
{
  double halves =
    static_cast<double>(aAge.count()) / static_cast<double>(aHalfLife.count());
  return aValue * std::exp2(-halves);
}

double
HistoryOf(const TargetTrust& aTrust, TimePoint aNow)
{
  return Decay(aTrust.mHistory, aNow - aTrust.mFailedAt, kHistoryHalfLife);
}

Duration
Lengthen(Duration aTrialPause, double aHistory)
{
  return std::chrono::duration_cast<Duration>(aTrialPause *
                                              std::max(1.0, aHistory));
}

} // namespace

void
NoteFailure(TargetTrust& aTrust, TimePoint aNow, double aDoubt)
{
  aTrust.mDoubt = std::min(DoubtOf(aTrust, aNow) + aDoubt, kMostDoubt);
  aTrust.mDoubtAt = aNow;
  aTrust.mHistory = std::min(HistoryOf(aTrust, aNow) + aDoubt, kMostHistory);
  aTrust.mFailedAt = aNow;
}

void
NoteSlow(TargetTrust& aTrust, TimePoint aNow)
{
  aTrust.mDoubt = std::min(DoubtOf(aTrust, aNow) + kSlowDoubt, kMostDoubt);
  aTrust.mDoubtAt = aNow;
}

void
NoteProof(TargetTrust& aTrust, TimePoint aNow, TimePoint aSentAt)
{
  aTrust.mProvedAt = aNow;
  if (aSentAt <= aTrust.mFailedAt) {
    return;
  }
  // A target that fails part of its requests answers others well: after
  // several failures one proof is not enough.
  bool isSingle = HistoryOf(aTrust, aNow) <= kSingleFailure;
  aTrust.mDoubt = isSingle ? 0 : kDoubtKept * DoubtOf(aTrust, aNow);
  aTrust.mDoubtAt = aNow;
}

void
NoteOutcome(TargetTrust& aTrust,
            TimePoint aNow,
            TimePoint aSentAt,
            TargetOutcome aOutcome)
{
  switch (aOutcome) {
    case TargetOutcome::Answered:
      NoteProof(aTrust, aNow, aSentAt);
      return;
    case TargetOutcome::ServerError:
    case TargetOutcome::Broken:
    case TargetOutcome::TimedOut:
    case TargetOutcome::ConnectFailed:
      NoteFailure(aTrust, aNow, kFailureDoubt);
      return;
    case TargetOutcome::Shed:
      NoteFailure(aTrust, aNow, kShedDoubt);
      return;
    case TargetOutcome::Draining:
    case TargetOutcome::Cancelled:
    case TargetOutcome::Unused:
      return;
  }
}

double
DoubtOf(const TargetTrust& aTrust, TimePoint aNow)
{
  return Decay(aTrust.mDoubt, aNow - aTrust.mDoubtAt, kDoubtHalfLife);
}

bool
IsDoubted(const TargetTrust& aTrust, TimePoint aNow)
{
  return DoubtOf(aTrust, aNow) > kDoubtThreshold;
}

bool
IsPausing(const TargetTrust& aTrust, TimePoint aNow, Duration aTrialPause)
{
  double history = HistoryOf(aTrust, aNow);
  return history > kSingleFailure &&
         aNow - aTrust.mFailedAt < Lengthen(aTrialPause, history);
}

bool
IsTrialDue(const TargetTrust& aTrust, TimePoint aNow, Duration aTrialPause)
{
  return IsDoubted(aTrust, aNow) &&
         aNow - aTrust.mFailedAt >=
           Lengthen(aTrialPause, HistoryOf(aTrust, aNow));
}

} // namespace vanillascale
