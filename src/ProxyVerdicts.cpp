#include "ProxyVerdicts.h"

namespace vanillascale {

namespace {

Verdict
VerdictOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overload:
    case RefusalReason::RetryBudget:
      return { kStatusUnavailable, RunOutcome::NotRun, kReasonOverload };
    case RefusalReason::DeadlineTooShort:
      return { kStatusUnavailable, RunOutcome::NotRun, kReasonDeadlinePassed };
    case RefusalReason::AccountLimit:
      return { kStatusTooManyRequests,
               RunOutcome::NotRun,
               kReasonAccountLimit };
    case RefusalReason::HarmfulRequest:
      return { kStatusUnprocessable,
               RunOutcome::NotRun,
               kReasonHarmfulRequest };
    case RefusalReason::NoTarget:
      return { kStatusUnavailable, RunOutcome::NotRun, kReasonNoTarget };
  }
  return { kStatusUnavailable, RunOutcome::NotRun, kReasonOverload };
}

} // namespace

Verdict
MakeRefusalVerdict(RefusalReason aReason, Duration aRetryAfter)
{
  Verdict verdict = VerdictOf(aReason);
  if (aRetryAfter > Duration(0)) {
    verdict.mRetryAfter = aRetryAfter;
  }
  return verdict;
}

const char*
RunOutcomeName(RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::NotRun:
      return "not-run";
    case RunOutcome::Ran:
      return "ran";
    case RunOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace vanillascale
