#include "../support/FaultyTarget.h"
#include "PlatformPort.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** The head fields of a complete answer but its framing. */
constexpr const char* kOwn = "Request-Id: request-1\r\nSignature: s\r\n";
constexpr const char* kTwoBytes = "Content-Length: 2\r\n\r\nok";

std::string
MakeAnswer(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + kOwn + kTwoBytes;
}

/** Returns the result of a request to a target that sends aAnswer. */
TargetResult
CallTarget(const std::string& aAnswer, FaultyTarget::AfterLast aEnd)
{
  boost::asio::io_context loop;
  TargetDialect dialect = MakeDialect();
  auto client = TargetClient::Make(loop, dialect);
  FaultyTarget target(loop);
  target.mAnswers = { aAnswer };
  target.mAfterLast = aEnd;
  return SendAndWait(loop, *client, target.Id(), 1).front();
}

/** Returns how a call to a store that sends aAnswer ends. The command line and
 * the load tool read their answers the same way. */
ExchangeEnd
CallStore(const std::string& aAnswer, FaultyTarget::AfterLast aEnd)
{
  boost::asio::io_context loop;
  FaultyTarget store(loop);
  store.mAnswers = { aAnswer };
  store.mAfterLast = aEnd;
  auto endpoint = ParseEndpoint(AddressOf(store.Id()));
  auto connection = StoreConnection::Make(loop, *endpoint);
  std::optional<ExchangeEnd> end;
  connection->Call({ "GET", "/", "", kTimeout, {} },
                   [&](const StoreReply& aReply) { end = aReply.mEnd; });
  while (!end) {
    loop.run_one();
  }
  return *end;
}

/** Checks that no reader takes bytes for an answer, whether the connection ends
 * behind them or stays open: the reader must not wait for its deadline. */
void
CheckIsBroken(const std::string& aAnswer)
{
  using AfterLast = FaultyTarget::AfterLast;
  for (AfterLast it : { AfterLast::Close, AfterLast::KeepOpen }) {
    CHECK(CallTarget(aAnswer, it).mOutcome == TargetOutcome::Broken);
    CHECK(CallStore(aAnswer, it) == ExchangeEnd::Broken);
  }
}

} // namespace

TEST_GROUP(AnswerStatuses){};

/** Guards against answers whose status is none of the protocol: callers got
 * "HTTP/1.1 0" with the target's signature as an answer. */
TEST(AnswerStatuses, OutsideTheProtocolAreFailures)
{
  for (const char* it :
       { "000 X", "001 X", "042 X", "099 X", "600 X", "999 X" }) {
    CheckIsBroken(MakeAnswer(it));
  }
}

/** Guards against an interim answer with such a status: it was taken for the
 * final one, and the answer behind it for its body. */
TEST(AnswerStatuses, OutsideTheProtocolAreFailuresInInterimAnswers)
{
  for (const char* it : { "000", "099" }) {
    CheckIsBroken("HTTP/1.1 " + std::string(it) + " X\r\n\r\n" +
                  MakeAnswer("200 OK"));
  }
}

TEST(AnswerStatuses, OfTheProtocolArePassedOn)
{
  for (unsigned it : { 200U, 299U, 300U, 399U, 400U, 499U, 500U, 599U }) {
    TargetResult result = CallTarget(MakeAnswer(std::to_string(it) + " X"),
                                     FaultyTarget::AfterLast::KeepOpen);
    CHECK(result.mAnswer != nullptr);
    LONGS_EQUAL(it, result.mAnswer->mStatus);
  }
}
