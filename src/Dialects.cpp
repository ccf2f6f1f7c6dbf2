#include "Dialects.h"

#include "Hash.h"
#include "ProxyVerdicts.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr const char* kAuthorization = "Authorization";
constexpr std::string_view kBearer = "Bearer ";
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
/** A day; nobody waits longer, and larger numbers could overflow. */
constexpr std::int64_t kMostDeadlineMs = 86400000;
/** The longest pause that a target can state at once. It is long against the
 * pauses of targets that recover, and a target that keeps stating it is asked
 * once in this time. */
constexpr double kMaxPauseSeconds = 30;

/** An answer, and the bytes of the budget that it takes for as long as anybody
 * holds it. */
struct HeldAnswer
{
  Answer mAnswer;
  std::shared_ptr<BudgetCharge> mCharge;
};

std::string
ValueOf(const HttpRequest& aRequest, const std::string& aName)
{
  const std::string* value =
    aName.empty() ? nullptr : FindHeader(aRequest.mHeaders, aName);
  return value ? *value : "";
}

/** Returns the API key of the Authorization header. Returns an empty text if
 * there is none of the scheme Bearer, or if there are several headers: it can't
 * be told which one counts. */
std::string
ApiKeyOf(const HttpRequest& aRequest)
{
  const std::string* value = nullptr;
  for (const Header& it : aRequest.mHeaders) {
    if (IsSameName(it.mName, kAuthorization)) {
      if (value) {
        return "";
      }
      value = &it.mValue;
    }
  }
  bool isBearer =
    value &&
    IsSameName(std::string_view(*value).substr(0, kBearer.size()), kBearer);
  return isBearer ? value->substr(kBearer.size()) : "";
}

std::optional<Duration>
DeadlineOf(const CallerDialect& aDialect, const HttpRequest& aRequest)
{
  const std::string* text = FindHeader(aRequest.mHeaders, aDialect.mDeadlineMs);
  if (!text) {
    return std::nullopt;
  }
  std::int64_t ms = 0;
  const char* end = text->data() + text->size();
  auto [stop, ec] = std::from_chars(text->data(), end, ms);
  bool isTooLarge = ec == std::errc::result_out_of_range;
  bool isNumber = ec == std::errc() && stop == end && ms > 0;
  if (isTooLarge) {
    return milliseconds(kMostDeadlineMs);
  }
  // The core refuses what is not above zero, and says so to the caller.
  return milliseconds(isNumber ? std::min(ms, kMostDeadlineMs) : 0);
}

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

/** Whether callers take a status for the promise that the request was not run,
 * so that it must not be passed on where the target does not say so. */
bool
PromisesNotRun(unsigned aStatus)
{
  return aStatus == kStatusRequestTimeout || aStatus == kStatusMisdirected ||
         aStatus == kStatusTooManyRequests || aStatus == kStatusUnavailable;
}

/** Whether an answer has several values of a header that has one. */
bool
HasOtherValues(const HttpResponse& aResponse, const std::string& aName)
{
  const std::string* first = FindHeader(aResponse.mHeaders, aName);
  return std::any_of(aResponse.mHeaders.begin(),
                     aResponse.mHeaders.end(),
                     [&](const Header& aHeader) {
                       return IsSameName(aHeader.mName, aName) &&
                              aHeader.mValue != *first;
                     });
}

/** Whether it can't be told to which request an answer belongs, or whose it is.
 */
bool
IsAmbiguous(const TargetDialect& aDialect, const HttpResponse& aResponse)
{
  return HasOtherValues(aResponse, aDialect.mRequestId) ||
         HasOtherValues(aResponse, aDialect.mSignature);
}

/** Whether an answer reaches its caller with the target's signature. */
bool
IsSigned(const TargetDialect& aDialect, const HttpResponse& aResponse)
{
  if (aDialect.mSignature.empty()) {
    return true;
  }
  const std::string* value =
    FindHeader(aResponse.mHeaders, aDialect.mSignature);
  return value && !value->empty() &&
         !IsHopByHop(aResponse.mHeaders, aDialect.mSignature);
}

bool
StatesNotRun(const TargetDialect& aDialect, const HttpResponse& aResponse)
{
  if (aDialect.mHasMisdirected && aResponse.mStatus == kStatusMisdirected) {
    return true;
  }
  const std::string* value = FindHeader(aResponse.mHeaders, aDialect.mNotRun);
  return value &&
         (aDialect.mNotRunValue.empty() || *value == aDialect.mNotRunValue);
}

/** Parses a decimal number that is not negative. Returns nothing if the text is
 * anything else. */
std::optional<double>
ParseNumber(const std::string& aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, ec] =
    std::from_chars(aText.data(), end, number, std::chars_format::fixed);
  bool isNumber =
    ec == std::errc() && stop == end && std::isfinite(number) && number >= 0;
  return isNumber ? std::make_optional(number) : std::nullopt;
}

/** Returns the numbers in all headers with a name. Unreadable ones are left
 * out. */
std::vector<double>
ParseNumbers(const HttpResponse& aResponse, const std::string& aName)
{
  std::vector<double> numbers;
  for (const Header& it : aResponse.mHeaders) {
    auto number = !aName.empty() && IsSameName(it.mName, aName)
                    ? ParseNumber(it.mValue)
                    : std::nullopt;
    if (number) {
      numbers.push_back(*number);
    }
  }
  return numbers;
}

/** Reads what a target states of itself. Of several limits the lowest counts,
 * of several pauses the longest. */
TargetStatements
ReadStatements(const TargetDialect& aDialect, const HttpResponse& aResponse)
{
  TargetStatements statements;
  for (double it : ParseNumbers(aResponse, aDialect.mRequestLimit)) {
    statements.mRequestLimit =
      std::min(statements.mRequestLimit.value_or(it), it);
  }
  const std::string* leaving =
    aDialect.mLeaving.empty()
      ? nullptr
      : FindHeader(aResponse.mHeaders, aDialect.mLeaving);
  statements.mIsLeaving = leaving && *leaving != "0";
  if (aResponse.mStatus == kStatusUnavailable) {
    for (double it : ParseNumbers(aResponse, aDialect.mPause)) {
      Duration pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(it, kMaxPauseSeconds)));
      statements.mPause = std::max(statements.mPause, pause);
    }
  }
  return statements;
}

std::string
FormatRetryAfter(const CallerDialect& aDialect, Duration aTime)
{
  if (!aDialect.mHasFractions) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(aTime);
    return std::to_string(std::max<std::int64_t>(seconds.count(), 1));
  }
  char buf[32];
  std::snprintf(
    buf, sizeof(buf), "%.3f", std::chrono::duration<double>(aTime).count());
  return buf;
}

} // namespace

CallerRequest
DescribeRequest(const CallerDialect& aDialect,
                RequestId aId,
                const HttpRequest& aRequest,
                WallTime aNow)
{
  CallerRequest event;
  event.mRequest = aId;
  event.mMethod = aRequest.mMethod;
  event.mPath = aRequest.mTarget;
  event.mHost = aDialect.mHasHosts ? ValueOf(aRequest, "Host") : "";
  event.mName = ValueOf(aRequest, aDialect.mRequestId);
  event.mAccount = ValueOf(aRequest, aDialect.mAccount);
  event.mApiKey = ApiKeyOf(aRequest);
  event.mKey = ValueOf(aRequest, aDialect.mKey);
  event.mFingerprint =
    Hash64(aRequest.mMethod + " " + event.mHost + aRequest.mTarget,
           Hash64(BodyOf(aRequest)));
  event.mDeadline = DeadlineOf(aDialect, aRequest);
  event.mIsFirstAttempt = ValueOf(aRequest, aDialect.mFirstAttempt) == "true";
  event.mWallTime = aNow;
  return event;
}

HttpRequest
ForwardRequest(const CallerDialect& aCaller,
               const TargetDialect& aTarget,
               const HttpRequest& aRequest,
               const Forwarding& aForwarding)
{
  HttpRequest request;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aRequest.mTarget;
  for (const Header& it : aRequest.mHeaders) {
    bool isReplaced =
      IsSameName(it.mName, aCaller.mDeadlineMs) ||
      IsSameName(it.mName, aTarget.mDeadlineMs) ||
      IsSameName(it.mName, aTarget.mRequestName) ||
      IsSameName(it.mName, aTarget.mInstance) ||
      (!aTarget.mKeepsHost && IsSameName(it.mName, "Host")) ||
      (aForwarding.mAccount && (IsSameName(it.mName, kAuthorization) ||
                                IsSameName(it.mName, aTarget.mAccount)));
    if (!isReplaced && !IsHopByHop(aRequest.mHeaders, it.mName)) {
      request.mHeaders.push_back(it);
    }
  }
  auto add = [&](const std::string& aName, std::string aValue) {
    if (!aName.empty()) {
      request.mHeaders.push_back({ aName, std::move(aValue) });
    }
  };
  if (!aTarget.mKeepsHost) {
    add("Host", AddressOf(aForwarding.mTarget));
  }
  add(aTarget.mRequestName, aForwarding.mName);
  std::string instance = InstanceOf(aForwarding.mTarget);
  if (!instance.empty()) {
    add(aTarget.mInstance, std::move(instance));
  }
  if (aForwarding.mAccount && !aForwarding.mAccount->mValue.empty()) {
    add(aTarget.mAccount, aForwarding.mAccount->mValue);
  }
  auto ms = std::chrono::duration_cast<milliseconds>(aForwarding.mTimeout);
  add(aTarget.mDeadlineMs,
      std::to_string(std::max<std::int64_t>(ms.count(), 1)));
  return request;
}

TargetResult
InterpretAnswer(const TargetDialect& aDialect, HttpResponse aResponse)
{
  if (IsAmbiguous(aDialect, aResponse)) {
    return {};
  }
  if (StatesNotRun(aDialect, aResponse)) {
    bool isDraining = !aDialect.mDraining.empty() &&
                      FindHeader(aResponse.mHeaders, aDialect.mDraining);
    bool isOther =
      aDialect.mHasMisdirected && aResponse.mStatus == kStatusMisdirected;
    TargetResult result;
    result.mOutcome =
      isDraining || isOther ? TargetOutcome::Draining : TargetOutcome::Shed;
    if (!isOther) {
      result.mStatements = ReadStatements(aDialect, aResponse);
    }
    return result;
  }
  bool isSigned = IsSigned(aDialect, aResponse);
  bool isEncoded = !aDialect.mSignature.empty() &&
                   FindHeader(aResponse.mHeaders, "Content-Encoding");
  bool isForeign = IsSuccess(aResponse.mStatus) && (!isSigned || isEncoded);
  bool isFalsePromise =
    !aDialect.mSignature.empty() && PromisesNotRun(aResponse.mStatus);
  if (isForeign || isFalsePromise) {
    return {};
  }
  TargetStatements statements = ReadStatements(aDialect, aResponse);
  auto held = std::make_shared<HeldAnswer>();
  Answer* answer = &held->mAnswer;
  answer->mStatus = aResponse.mStatus;
  for (const Header& it : aResponse.mHeaders) {
    if (!IsHopByHop(aResponse.mHeaders, it.mName)) {
      answer->mHeaders.push_back(it);
    }
  }
  answer->mBody = std::move(aResponse.mBody);
  held->mCharge = std::move(aResponse.mCharge);
  bool isError = answer->mStatus >= kFirstServerError;
  return { isError ? TargetOutcome::ServerError : TargetOutcome::Answered,
           std::shared_ptr<const Answer>(held, answer),
           statements,
           false };
}

bool
IsAnswerTo(const TargetDialect& aDialect,
           const std::string& aRequestId,
           const HttpResponse& aResponse)
{
  if (aDialect.mRequestId.empty()) {
    return true;
  }
  const std::string* id = FindHeader(aResponse.mHeaders, aDialect.mRequestId);
  return !id || *id == aRequestId;
}

bool
NamesRequest(const TargetDialect& aDialect, const HttpResponse& aResponse)
{
  return !aDialect.mRequestId.empty() &&
         FindHeader(aResponse.mHeaders, aDialect.mRequestId);
}

HttpResponse
ComposeAnswer(const CallerDialect& aDialect,
              const AnswerCaller& aAnswer,
              const std::string& aRequestId)
{
  HttpResponse response;
  auto add = [&](const std::string& aName, std::string aValue) {
    if (!aName.empty()) {
      response.mHeaders.push_back({ aName, std::move(aValue) });
    }
  };
  const Verdict& verdict = aAnswer.mVerdict;
  std::string outcome = RunOutcomeName(verdict.mOutcome);
  if (aAnswer.mAnswer) {
    response.mStatus = aAnswer.mAnswer->mStatus;
    response.mHeaders = aAnswer.mAnswer->mHeaders;
    response.mSharedBody = std::shared_ptr<const std::string>(
      aAnswer.mAnswer, &aAnswer.mAnswer->mBody);
    add(aDialect.mOutcome, std::move(outcome));
    add(aDialect.mReason, verdict.mReason);
    return response;
  }
  response.mStatus = verdict.mStatus;
  if (!aRequestId.empty()) {
    add(aDialect.mRequestId, aRequestId);
  }
  add("Content-Type", "application/json");
  add(aDialect.mOutcome, outcome);
  add(aDialect.mReason, verdict.mReason);
  if (verdict.mStatus == kStatusUnauthorized) {
    add("WWW-Authenticate", "Bearer");
  }
  bool mayReturn = verdict.mStatus == kStatusUnavailable ||
                   verdict.mStatus == kStatusTooManyRequests;
  if (mayReturn) {
    add("Retry-After", FormatRetryAfter(aDialect, verdict.mRetryAfter));
  }
  response.mBody =
    R"({"outcome":")" + outcome + R"(","reason":")" + verdict.mReason + "\"}";
  return response;
}

} // namespace vanillascale
