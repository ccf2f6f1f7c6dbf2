#include "../support/FaultyTarget.h"
#include "PlatformPort.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** An answer in one of the three framings of HTTP/1.1. */
struct Framing
{
  const char* mHeaders;
  const char* mBody;
  /** The end of the connection ends the body. */
  bool mEndsWithConnection;
};

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\n"
                              "Signature: s\r\n";
constexpr Framing kFramings[] = {
  { "Content-Length: 10\r\n\r\n", "0123456789", false },
  { "Transfer-Encoding: chunked\r\n\r\n",
    "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
    false },
  { "\r\n", "0123456789", true },
};

/** More than the sockets buffer, so that it is still being written when the
 * answer comes. */
constexpr std::size_t kUploadBytes = 12UL * 1024 * 1024;

/** When a target answers an upload that it does not read. */
enum class AnswerAt
{
  FirstBytes,
  /** The proxy waits for the target to read on. */
  FullBuffers
};

/** Runs until aResult is set, and lets aPeer answer an upload at aMoment. */
template<typename Result>
void
AwaitResult(boost::asio::io_context& aLoop,
            FaultyTarget& aPeer,
            AnswerAt aMoment,
            const std::optional<Result>& aResult)
{
  if (aMoment == AnswerAt::FullBuffers) {
    while (!aPeer.HasRequests()) {
      aLoop.run_one();
    }
    while (aLoop.poll() > 0) {
    }
    aPeer.Release();
  }
  while (!aResult) {
    aLoop.run_one();
  }
}

/** Returns the result of an upload to a target. */
TargetResult
UploadToTarget(const std::string& aAnswer,
               FaultyTarget::AfterLast aEnd,
               AnswerAt aMoment)
{
  boost::asio::io_context loop;
  TargetDialect dialect = MakeDialect();
  auto client = TargetClient::Make(loop, dialect);
  FaultyTarget target(loop);
  target.mAnswers = { aAnswer };
  target.mAfterLast = aEnd;
  target.mHoldsAnswers = aMoment == AnswerAt::FullBuffers;
  TargetSend send = MakeSend(target.Id(), 1);
  send.mMessage.mMethod = "POST";
  send.mMessage.mBody.assign(kUploadBytes, 'u');
  send.mIsIdempotent = false;
  std::optional<TargetResult> result;
  client->Send(send,
               [&](TargetResult aResult) { result = std::move(aResult); });
  AwaitResult(loop, target, aMoment, result);
  return std::move(*result);
}

/** Returns how an upload to a store ends. */
ExchangeEnd
UploadToStore(const std::string& aAnswer,
              FaultyTarget::AfterLast aEnd,
              AnswerAt aMoment)
{
  boost::asio::io_context loop;
  FaultyTarget store(loop);
  store.mAnswers = { aAnswer };
  store.mAfterLast = aEnd;
  store.mHoldsAnswers = aMoment == AnswerAt::FullBuffers;
  auto endpoint = ParseEndpoint(AddressOf(store.Id()));
  auto connection = StoreConnection::Make(loop, *endpoint);
  std::optional<ExchangeEnd> end;
  connection->Call(
    { "POST", "/", std::string(kUploadBytes, 'u'), kTimeout, {} },
    [&](const StoreReply& aReply) { end = aReply.mEnd; });
  AwaitResult(loop, store, aMoment, end);
  return *end;
}

/** Checks whether uploads with this answer get a whole one. */
void
CheckUploads(const std::string& aAnswer,
             FaultyTarget::AfterLast aEnd,
             bool aIsWhole)
{
  for (AnswerAt it : { AnswerAt::FirstBytes, AnswerAt::FullBuffers }) {
    TargetResult result = UploadToTarget(aAnswer, aEnd, it);
    CHECK(result.mOutcome ==
          (aIsWhole ? TargetOutcome::Answered : TargetOutcome::Broken));
    if (result.mAnswer) {
      STRCMP_EQUAL("0123456789", result.mAnswer->mBody.c_str());
    }
    CHECK(UploadToStore(aAnswer, aEnd, it) ==
          (aIsWhole ? ExchangeEnd::Complete : ExchangeEnd::Broken));
  }
}

/** Returns the result of a request whose answer is cut off after aBytes. */
TargetResult
SendToTruncating(const std::string& aAnswer,
                 std::size_t aBytes,
                 FaultyTarget::AfterLast aEnd)
{
  boost::asio::io_context loop;
  TargetDialect dialect = MakeDialect();
  auto client = TargetClient::Make(loop, dialect);
  FaultyTarget target(loop);
  target.mAnswers = { aAnswer.substr(0, aBytes) };
  target.mAfterLast = aEnd;
  return SendAndWait(loop, *client, target.Id(), 1).front();
}

} // namespace

TEST_GROUP(TruncatedAnswers){};

/** Guards against a target that closes its connection in the middle of an
 * answer's head or body: callers got a 200 with an empty or short body, framed
 * as a whole one. */
TEST(TruncatedAnswers, AreFailuresWhereverTheyEnd)
{
  for (const Framing& it : kFramings) {
    std::string head = std::string(kHead) + it.mHeaders;
    std::string answer = head + it.mBody;
    for (std::size_t n = 0; n <= answer.size(); ++n) {
      TargetResult result =
        SendToTruncating(answer, n, FaultyTarget::AfterLast::Close);
      bool isWhole =
        n == answer.size() || (it.mEndsWithConnection && n >= head.size());
      CHECK_EQUAL(isWhole, result.mOutcome == TargetOutcome::Answered);
      CHECK_EQUAL(isWhole, result.mOutcome != TargetOutcome::Broken);
    }
  }
}

/** Guards against an answer without length whose connection is reset: the end
 * of the body can't be told from a cut. */
TEST(TruncatedAnswers, WithoutLengthAreFailuresIfTheConnectionIsReset)
{
  std::string answer = std::string(kHead) + kFramings[2].mHeaders + "01234";
  TargetResult result =
    SendToTruncating(answer, answer.size(), FaultyTarget::AfterLast::Reset);
  CHECK(result.mOutcome == TargetOutcome::Broken);
}

/** Guards against a target that resets the connection while the request is
 * still being written: the write takes the error, the reading side then sees an
 * ordinary end, and callers got a part of the body as a complete answer. */
TEST(TruncatedAnswers, WithoutLengthAreFailuresIfAnUploadIsReset)
{
  std::string head = std::string(kHead) + kFramings[2].mHeaders;
  for (const char* part : { "", "01234", "0123456789" }) {
    CheckUploads(head + part, FaultyTarget::AfterLast::Reset, false);
  }
}

/** A target may answer before it has read all of a request. */
TEST(TruncatedAnswers, AreNoneIfTheyEndInOrderUnderAnUpload)
{
  for (const Framing& it : kFramings) {
    std::string answer = std::string(kHead) + it.mHeaders + it.mBody;
    using AfterLast = FaultyTarget::AfterLast;
    for (AfterLast end : { AfterLast::Close, AfterLast::CloseThenReset }) {
      CheckUploads(answer, end, true);
    }
    if (!it.mEndsWithConnection) {
      CheckUploads(answer, AfterLast::Reset, true);
    }
  }
}
