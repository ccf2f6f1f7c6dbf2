/** Guards against a process that callers run out of memory: by many bodies at
 * once, by answers that they do not read, or by a few bytes that take much
 * memory. It happened because nothing counted what was held, and because a body
 * was held several times. */

#include "ByteBudget.h"
#include "CallerProgress.h"
#include "Dialects.h"
#include "HttpParser.h"
#include "ProxyVerdicts.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMegabyte = 1000UL * 1000;
constexpr std::size_t kLargestBody = 64UL * 1024 * 1024;
constexpr std::size_t kSmall = 1000;
const TimePoint kStart = TimePoint(seconds(100));

/** Feeds a parser until it takes nothing more. Returns what it consumed. */
std::size_t
FeedAll(RequestParser& aParser, std::string_view aBytes)
{
  std::size_t total = 0;
  std::size_t n = 1;
  while (n > 0 && aParser.Progress() == HttpProgress::Incomplete) {
    n = aParser.Feed(aBytes.substr(total));
    total += n;
  }
  return total;
}

/** The same, with a reservation whenever the parser asks for one. Returns the
 * most bytes that were held. */
std::size_t
FeedReserving(RequestParser& aParser, std::string_view aBytes)
{
  std::size_t most = 0;
  bool isMore = true;
  while (isMore) {
    std::size_t n = FeedAll(aParser, aBytes);
    aBytes.remove_prefix(n);
    bool wants = aParser.Wanted().mBytes > 0;
    if (wants) {
      aParser.Reserve();
    }
    most = std::max(most, aParser.HeldBytes());
    isMore = n > 0 || wants;
  }
  return most;
}

} // namespace

TEST_GROUP(Callers){};

TEST(Callers, TheLargestBodyFitsTheSmallestMachine)
{
  auto budget = ByteBudget::Make(BudgetOfMachine(160));
  CHECK(budget->CanEverTake(kLargestBody));
  CHECK(budget->MayTake(kLargestBody, kLargestBody));
  LONGS_EQUAL(BudgetOfMachine(260), BudgetOfMachine(0));
}

TEST(Callers, LargeMessagesLeaveRoomForSmallOnes)
{
  auto budget = ByteBudget::Make(80 * kMegabyte);
  BudgetCharge large(budget);
  large.Set(69 * kMegabyte);
  CHECK(!budget->MayTake(2 * kMegabyte, 2 * kMegabyte));
  CHECK(budget->MayTake(kSmall, kSmall));
  BudgetCharge more(budget);
  // What has been received is counted even if nobody asked for it.
  more.Set(20 * kMegabyte);
  CHECK(!budget->MayTake(kSmall, kSmall));
  more.Set(0);
  large.Set(0);
  LONGS_EQUAL(0, budget->Held());
  LONGS_EQUAL(89 * kMegabyte, budget->MostHeld());
}

TEST(Callers, ABodyIsReadOnlyWithRoomForIt)
{
  auto budget = ByteBudget::Make(kMegabyte);
  {
    auto parser = RequestParser::Make({}, budget);
    std::string head = "PUT / HTTP/1.1\r\nContent-Length: 500000\r\n\r\n";
    std::string body(500000, 'x');
    LONGS_EQUAL(head.size(), FeedAll(*parser, head + body));
    LONGS_EQUAL(500000, parser->Wanted().mBytes);
    LONGS_EQUAL(500000, parser->Wanted().mMessageBytes);
    parser->Reserve();
    CHECK(budget->Held() >= 500000 && budget->Held() < 501000);
    LONGS_EQUAL(body.size(), FeedAll(*parser, body));
    CHECK(parser->Progress() == HttpProgress::Complete);
    HttpRequest request = parser->Take();
    parser.reset();
    CHECK(budget->Held() >= 500000);
    LONGS_EQUAL(500000, request.mBody.size());
  }
  LONGS_EQUAL(0, budget->Held());
}

TEST(Callers, ChunkedBodiesAreCountedHoweverTheyAreSplit)
{
  for (std::size_t chunk : { 1UL, 1000UL, 100000UL }) {
    auto budget = ByteBudget::Make();
    HttpLimits limits;
    limits.mBodyBytes = 300000;
    auto parser = RequestParser::Make(limits, budget);
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunk);
    std::string text = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < limits.mBodyBytes / chunk; ++i) {
      text += size + std::string(chunk, 'x') + "\r\n";
    }
    std::size_t most = FeedReserving(*parser, text + "0\r\n\r\n");
    CHECK(parser->Progress() == HttpProgress::Complete);
    CHECK(most >= limits.mBodyBytes && most < limits.mBodyBytes + 1000);
    LONGS_EQUAL(limits.mBodyBytes, parser->Take().mBody.size());
    LONGS_EQUAL(0, budget->Held());
  }
}

/** Small fields take many times their bytes. */
TEST(Callers, FieldsAreCountedWithTheirBookkeeping)
{
  auto budget = ByteBudget::Make();
  auto parser = RequestParser::Make({}, budget);
  std::string text = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 1000; ++i) {
    text += "a:\r\n";
  }
  FeedAll(*parser, text + "\r\n");
  HttpRequest request = parser->Take();
  LONGS_EQUAL(1000, request.mHeaders.size());
  CHECK(budget->Held() >= 1000 * (sizeof(Header) + 64));
}

/** A trailer that passed for a field of the head could name another account or
 * key than the one that was checked. */
TEST(Callers, TrailersOfRequestsAreDropped)
{
  std::string text = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: 1\r\n"
                     "\r\n2\r\nok\r\n0\r\nVanillascale-Account: x\r\n\r\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    auto parser = RequestParser::Make({});
    std::string pending;
    for (std::size_t i = 0; i < text.size(); i += piece) {
      pending += text.substr(i, piece);
      pending.erase(0, parser->Feed(pending));
    }
    CHECK(parser->Progress() == HttpProgress::Complete);
    HttpRequest request = parser->Take();
    STRCMP_EQUAL("ok", request.mBody.c_str());
    LONGS_EQUAL(2, request.mHeaders.size());
  }
}

TEST(Callers, AnEndlessChunkHeadIsRefused)
{
  auto parser = RequestParser::Make({});
  std::string text = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;";
  FeedAll(*parser, text + std::string(40000, 'a'));
  CHECK(parser->Progress() == HttpProgress::Malformed);
}

/** Guards against a copy of the body for each of its ways. */
TEST(Callers, BodiesArePassedOnWithoutACopy)
{
  auto budget = ByteBudget::Make();
  auto charge = std::make_shared<BudgetCharge>(budget);
  charge->Set(1000);
  HttpResponse response;
  response.mStatus = 200;
  response.mBody = std::string(1000, 'x');
  const char* bytes = response.mBody.data();
  response.mCharge = std::move(charge);
  TargetResult result = InterpretAnswer({}, std::move(response));
  AnswerCaller answer;
  answer.mAnswer = std::move(result.mAnswer);
  HttpResponse composed = ComposeAnswer({}, answer, "");
  POINTERS_EQUAL(bytes, BodyOf(composed).data());
  answer.mAnswer.reset();
  LONGS_EQUAL(1000, budget->Held());
  composed.mSharedBody.reset();
  LONGS_EQUAL(0, budget->Held());
}

TEST(Callers, SlowLinksAndPausesAreAllowed)
{
  constexpr TransferLimits kLimits;
  TransferProgress progress;
  progress.Begin(kStart);
  TimePoint now = kStart;
  // 1 Mbit/s in round trips of 300 ms, with a pause of 2 s after each second.
  for (int i = 0; i < 2000; ++i) {
    now += i % 3 == 2 ? milliseconds(2300) : milliseconds(300);
    CHECK(now < progress.EndsAt(kLimits));
    CHECK(!ChooseVictim(
      { { HolderState::Caller, kLargestBody, progress.StalledFor(now) } }));
    progress.Add(now, 37500);
  }
}

TEST(Callers, TransfersThatStopOrDribbleAreEnded)
{
  constexpr TransferLimits kLimits;
  TransferProgress stopped;
  stopped.Begin(kStart);
  // Bytes that came fast are no credit for a stop.
  stopped.Add(kStart + seconds(1), kLargestBody - 1);
  CHECK(stopped.EndsAt(kLimits) == kStart + seconds(1) + kLimits.mStallTime);
  TransferProgress dribbling;
  dribbling.Begin(kStart);
  for (int i = 1; i <= 1000; ++i) {
    dribbling.Add(kStart + milliseconds(100) * i, 1);
  }
  CHECK(dribbling.EndsAt(kLimits) < kStart + seconds(25));
  LONGS_EQUAL(100, dribbling.StalledFor(kStart + seconds(100)) / seconds(1));
}

TEST(Callers, TimeInWhichTheProxyDoesNotReadIsNotTheirs)
{
  constexpr TransferLimits kLimits;
  TransferProgress progress;
  progress.Begin(kStart);
  progress.Pause(kStart + seconds(1));
  CHECK(progress.EndsAt(kLimits) == TimePoint::max());
  LONGS_EQUAL(60, progress.StalledFor(kStart + seconds(61)) / seconds(1));
  progress.Resume(kStart + seconds(61));
  CHECK(progress.EndsAt(kLimits) == kStart + seconds(60) + kLimits.mStallTime);
  LONGS_EQUAL(0, progress.StalledFor(kStart + seconds(61)) / seconds(1));
}

TEST(Callers, TheOneThatHoldsMostForLongestGoes)
{
  Holder large{ HolderState::Caller, kLargestBody, seconds(4) };
  Holder old{ HolderState::Caller, kMegabyte, seconds(10) };
  Holder moving{ HolderState::Caller, 2 * kLargestBody, seconds(2) };
  Holder served{ HolderState::Service, 2 * kLargestBody, seconds(60) };
  Holder halfRead{ HolderState::Budget, kMegabyte, milliseconds(1500) };
  CHECK(!ChooseVictim({}));
  CHECK(!ChooseVictim({ moving, served }));
  LONGS_EQUAL(2, *ChooseVictim({ moving, old, large, served }));
  LONGS_EQUAL(1, *ChooseVictim({ moving, old, served }));
  // Half-read bodies that wait for each other.
  LONGS_EQUAL(1, *ChooseVictim({ served, halfRead }));
  halfRead.mStalledFor = milliseconds(900);
  CHECK(!ChooseVictim({ served, halfRead }));
}

TEST(Callers, DescriptorsAreKeptForOthers)
{
  LONGS_EQUAL(3000, CallerConnections(3000, 4100));
  LONGS_EQUAL(768, CallerConnections(3000, 1024));
  LONGS_EQUAL(64, CallerConnections(3000, 128));
  LONGS_EQUAL(400, CallerConnections(400, 8192));
}

TEST(Callers, ARefusalForLackOfMemoryStatesThatNothingRan)
{
  AnswerCaller answer;
  answer.mVerdict = { kStatusUnavailable, RunOutcome::NotRun, kReasonNoMemory };
  HttpResponse response = ComposeAnswer({}, answer, "");
  LONGS_EQUAL(503, response.mStatus);
  STRCMP_EQUAL("not-run",
               FindHeader(response.mHeaders, "Vanillascale-Outcome")->c_str());
}
