#include "../support/FaultyTarget.h"
#include "PlatformPort.h"

#include <CppUTest/TestHarness.h>

using namespace std::string_literals;
using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

using AfterLast = FaultyTarget::AfterLast;

/** The head fields of a complete answer but its framing. */
constexpr std::string_view kOwn = "Request-Id: request-1\r\nSignature: s\r\n";
constexpr std::string_view kOwnId = "Request-Id: request-1\r\n";
/** A body without the end of its trailer. */
constexpr std::string_view kInChunks =
  "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
constexpr std::string_view kTwoBytes = "Content-Length: 2\r\n\r\nok";

constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\n";

std::string
Join(std::initializer_list<std::string_view> aParts)
{
  std::string text;
  for (std::string_view it : aParts) {
    text += it;
  }
  return text;
}

/** Returns a complete answer. */
std::string
MakeAnswer(std::string_view aStatus)
{
  return Join({ "HTTP/1.1 ", aStatus, "\r\n", kOwn, kTwoBytes });
}

/** Returns the result of a request to a target that sends aAnswer. */
TargetResult
CallTarget(const std::string& aAnswer, AfterLast aEnd)
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
CallStore(const std::string& aAnswer, AfterLast aEnd)
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
    CheckIsBroken(
      Join({ "HTTP/1.1 ", it, " X\r\n\r\n", MakeAnswer("200 OK") }));
  }
}

TEST(AnswerStatuses, OfTheProtocolArePassedOn)
{
  for (unsigned it : { 200U, 299U, 300U, 399U, 400U, 499U, 500U, 599U }) {
    TargetResult result =
      CallTarget(MakeAnswer(std::to_string(it) + " X"), AfterLast::KeepOpen);
    CHECK(result.mAnswer != nullptr);
    LONGS_EQUAL(it, result.mAnswer->mStatus);
  }
}

TEST_GROUP(AnswerFields){};

/** Guards against field names that are not tokens. A reader that takes them
 * passes them on, or overlooks a length and returns another body. */
TEST(AnswerFields, WithBadNamesAreFailures)
{
  for (const std::string& it : { "X Y"s,
                                 "X\tY"s,
                                 "X\x01Y"s,
                                 "X\0Y"s,
                                 "X\x7fY"s,
                                 "X\xe9Y"s,
                                 "X\rY"s,
                                 "X\nY"s,
                                 "X/Y"s,
                                 "X@Y"s,
                                 "X\vY"s,
                                 ""s,
                                 "Content-Length "s,
                                 "Content-Length\t"s,
                                 "\x01"
                                 "Content-Length"s }) {
    std::string line = it + ": 1\r\n";
    CheckIsBroken(Join({ kOk, line, kOwn, kTwoBytes }));
    CheckIsBroken(Join({ kOk, kOwn, line, kTwoBytes }));
    CheckIsBroken(Join({ kOk, kOwn, "Content-Length: 2\r\n", line, "\r\nok" }));
    CheckIsBroken(Join(
      { "HTTP/1.1 100 Continue\r\n", line, "\r\n", MakeAnswer("200 OK") }));
    CheckIsBroken(Join({ kOk, kOwn, kInChunks, line, "\r\n" }));
  }
}

/** Guards against lines that begin with a blank or a tab. The parser joined
 * them to the field before them: a signature changed, and a length in such a
 * line was not seen. */
TEST(AnswerFields, ContinuedOnFurtherLinesAreFailures)
{
  for (const std::string& it : { " "s, "\t"s, "  "s, " \t"s }) {
    std::string line = it + "Content-Length: 2\r\n";
    CheckIsBroken(Join({ kOk, line, kOwn, "\r\nok and more" }));
    CheckIsBroken(Join({ kOk, kOwn, line, "\r\nok and more" }));
    CheckIsBroken(Join({ kOk, kOwn, it, "\r\n", kTwoBytes }));
    CheckIsBroken(
      Join({ kOk, kOwn, "Content-Length:\r\n", it, "2\r\n\r\nok" }));
    CheckIsBroken(Join({ "HTTP/1.1 100 Continue\r\nX: 1\r\n",
                         line,
                         "\r\n",
                         MakeAnswer("200 OK") }));
  }
}

/** Guards against a success that would lose its signature on the way: callers
 * got it without one. */
TEST(AnswerFields, ThatDropTheSignatureAreFailures)
{
  for (const char* it :
       { "Signature:\r\n",
         "Signature: \t \r\n",
         "Signature: s\r\nConnection: Signature\r\n",
         "Connection: close, signature\r\nSignature: s\r\n" }) {
    TargetResult result =
      CallTarget(Join({ kOk, kOwnId, it, kTwoBytes }), AfterLast::KeepOpen);
    CHECK(result.mOutcome == TargetOutcome::Broken);
  }
}

/** Guards against an answer that names two requests, or has two signatures: its
 * caller can't tell whether it is its own. A refusal of this kind proves
 * nothing. */
TEST(AnswerFields, ThatContradictEachOtherAreFailures)
{
  constexpr std::string_view kBusy = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n";
  for (const char* it : { "Request-Id: request-2\r\n", "Signature: t\r\n" }) {
    for (std::string_view start : { kOk, kBusy }) {
      TargetResult result =
        CallTarget(Join({ start, kOwn, it, kTwoBytes }), AfterLast::KeepOpen);
      CHECK(result.mOutcome == TargetOutcome::Broken);
    }
  }
  TargetResult repeated =
    CallTarget(Join({ kOk, kOwn, kOwn, kTwoBytes }), AfterLast::KeepOpen);
  CHECK(repeated.mOutcome == TargetOutcome::Answered);
}

TEST(AnswerFields, WithBlanksInTheirValuesArePassedOn)
{
  TargetResult result = CallTarget(
    Join({ kOk, kOwn, "X: \t a b\tc \r\n", kTwoBytes }), AfterLast::KeepOpen);
  CHECK(result.mOutcome == TargetOutcome::Answered);
  STRCMP_EQUAL("a b\tc", FindHeader(result.mAnswer->mHeaders, "X")->c_str());
}

TEST_GROUP(AnswerFramings){};

/** Guards against transfer codings that the proxy can't undo: callers got the
 * coded bytes, or what "gzip" had made of the body, as a body without coding.
 */
TEST(AnswerFramings, WithOtherCodingsAreFailures)
{
  for (const char* it : { "xchunked",
                          "gzip",
                          "identity",
                          "gzip, chunked",
                          "chunked, gzip",
                          "chunked, chunked",
                          "chunked gzip",
                          "chunked;q=1",
                          "\"chunked\"",
                          "",
                          ",",
                          "gzip\r\nTransfer-Encoding: chunked",
                          "chunked\r\nTransfer-Encoding: gzip",
                          "xchunked\r\nContent-Length: 12",
                          "chunked\r\nContent-Length: 12" }) {
    CheckIsBroken(Join({ kOk,
                         kOwn,
                         "Transfer-Encoding: ",
                         it,
                         "\r\n\r\n2\r\nok\r\n0\r\n\r\n" }));
  }
  // HTTP/1.0 has no transfer codings.
  CheckIsBroken(Join({ "HTTP/1.0 200 OK\r\n", kOwn, kInChunks, "\r\n" }));
}

TEST(AnswerFramings, InChunksArePassedOn)
{
  for (const char* it :
       { "chunked", "CHUNKED", "\tChunked ", "chunked,", " , chunked" }) {
    for (const char* size : { "2", "02", "2;a", "2;a=b", "2;a=\"b\"" }) {
      TargetResult result = CallTarget(Join({ kOk,
                                              kOwn,
                                              "Transfer-Encoding: ",
                                              it,
                                              "\r\n\r\n",
                                              size,
                                              "\r\nok\r\n0\r\n\r\n" }),
                                       AfterLast::KeepOpen);
      CHECK(result.mOutcome == TargetOutcome::Answered);
      STRCMP_EQUAL("ok", result.mAnswer->mBody.c_str());
    }
  }
}

/** Guards against chunks and lengths that can be read in two ways. */
TEST(AnswerFramings, WithBadSizesAreFailures)
{
  for (const char* it : { " 2",
                          "2 ",
                          "+2",
                          "-2",
                          "0x2",
                          "",
                          "g",
                          "2g",
                          "2,2",
                          "2;\x01",
                          "2;a=",
                          "2\t",
                          "2 2",
                          "1",
                          "3",
                          "10000000000000002",
                          "ffffffffffffffff" }) {
    CheckIsBroken(Join({ kOk,
                         kOwn,
                         "Transfer-Encoding: chunked\r\n\r\n",
                         it,
                         "\r\nok\r\n0\r\n\r\n" }));
  }
  for (const char* it : { "+2",
                          "-2",
                          "0x2",
                          "",
                          "2 2",
                          "2,",
                          "2, 3",
                          "2;a",
                          "2.0",
                          "2a",
                          "18446744073709551618",
                          "2\r\nContent-Length: 3" }) {
    CheckIsBroken(Join({ kOk, kOwn, "Content-Length: ", it, "\r\n\r\nok" }));
  }
}

TEST_GROUP(AnswerTrailers){};

/** Returns the result of an answer in chunks with a trailer. */
TargetResult
CallWithTrailer(std::string_view aStatusLine,
                std::string_view aFields,
                std::string_view aTrailer)
{
  return CallTarget(
    Join({ aStatusLine, aFields, kInChunks, aTrailer, "\r\n\r\n" }),
    AfterLast::KeepOpen);
}

/** Guards against fields behind the body that were taken for fields of the
 * head: an answer that had run counted as "not run", and callers got two
 * signatures or the id of another request. */
TEST(AnswerTrailers, ChangeNothing)
{
  for (const char* it : { "Not-Executed: 1",
                          "Signature: t",
                          "Request-Id: request-2",
                          "Vanillascale-Leaving: 1",
                          "Vanillascale-Request-Limit: 1",
                          "Content-Encoding: gzip",
                          "Connection: Signature",
                          "X: 1" }) {
    TargetResult result = CallWithTrailer(kOk, kOwn, it);
    CHECK(result.mOutcome == TargetOutcome::Answered);
    CHECK(!result.mStatements->mIsLeaving);
    CHECK(!result.mStatements->mRequestLimit);
    LONGS_EQUAL(2, result.mAnswer->mHeaders.size());
    STRCMP_EQUAL("request-1",
                 FindHeader(result.mAnswer->mHeaders, "Request-Id")->c_str());
    STRCMP_EQUAL("s",
                 FindHeader(result.mAnswer->mHeaders, "Signature")->c_str());
  }
}

/** Guards against a promise or a signature that stands behind the body only. */
TEST(AnswerTrailers, ProveNothing)
{
  CHECK(CallWithTrailer(kOk, kOwnId, "Signature: s").mOutcome ==
        TargetOutcome::Broken);
  CHECK(CallWithTrailer("HTTP/1.1 503 Busy\r\n", kOwnId, "Not-Executed: 1")
          .mOutcome == TargetOutcome::Broken);
}

TEST_GROUP(LateAnswers){};

/** Guards against a store that writes an answer twice, the second time after
 * the first has been read: the next call on the connection took it for its own.
 */
TEST(LateAnswers, OfTheStoreAreNotTakenForTheNext)
{
  boost::asio::io_context loop;
  FaultyTarget store(loop);
  store.mAnswers = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
                     "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond" };
  auto endpoint = ParseEndpoint(AddressOf(store.Id()));
  auto connection = StoreConnection::Make(loop, *endpoint);
  auto call = [&] {
    std::optional<StoreReply> reply;
    connection->Call({ "GET", "/", "", kTimeout, {} },
                     [&](StoreReply aReply) { reply = std::move(aReply); });
    while (!reply) {
      loop.run_one();
    }
    return std::move(reply->mResponse.mBody);
  };
  STRCMP_EQUAL("first", call().c_str());
  store.SendUnasked(store.mAnswers.front());
  STRCMP_EQUAL("second", call().c_str());
}
