#include "Dialects.h"
#include "HttpParser.h"
#include "ProxyVerdicts.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

namespace {

/** Feeds a text in pieces; returns what was not consumed. */
template<typename Parser>
std::string
FeedInPieces(Parser& aParser, const std::string& aText, std::size_t aPiece)
{
  std::string pending;
  for (std::size_t i = 0; i < aText.size(); i += aPiece) {
    pending += aText.substr(i, aPiece);
    if (aParser.Progress() == HttpProgress::Incomplete) {
      pending.erase(0, aParser.Feed(pending));
    }
  }
  return pending;
}

HttpResponse
Parse(const std::string& aText)
{
  auto parser = ResponseParser::Make({}, false);
  FeedInPieces(*parser, aText, 7);
  CHECK(parser->Progress() == HttpProgress::Complete);
  return parser->Take();
}

} // namespace

TEST_GROUP(Http){};

TEST(Http, RequestsComeInPiecesOfAnySize)
{
  std::string text = "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                     "\r\nhelloGET / HTTP/1.1\r\n\r\n";
  for (std::size_t piece = 1; piece < text.size(); ++piece) {
    auto parser = RequestParser::Make({});
    std::string rest = FeedInPieces(*parser, text, piece);
    CHECK(parser->Progress() == HttpProgress::Complete);
    HttpRequest request = parser->Take();
    STRCMP_EQUAL("/a?b=1", request.mTarget.c_str());
    STRCMP_EQUAL("hello", request.mBody.c_str());
    STRCMP_EQUAL("GET / HTTP/1.1\r\n\r\n", rest.c_str());
  }
}

TEST(Http, ChunkedBodiesAreJoined)
{
  auto parser = RequestParser::Make({});
  FeedInPieces(*parser,
               "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
               4);
  CHECK(parser->Progress() == HttpProgress::Complete);
  STRCMP_EQUAL("abcde", parser->Take().mBody.c_str());
}

TEST(Http, WhatIsNoRequestOrTooLargeIsSaidSo)
{
  HttpLimits limits{ 200, 10 };
  auto junk = RequestParser::Make(limits);
  junk->Feed("GIMME\r\n\r\n");
  CHECK(junk->Progress() == HttpProgress::Malformed);
  auto both = RequestParser::Make(limits);
  both->Feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
  CHECK(both->Progress() == HttpProgress::Malformed);
  auto head = RequestParser::Make(limits);
  head->Feed("GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n");
  CHECK(head->Progress() == HttpProgress::HeadTooLarge);
  auto body = RequestParser::Make(limits);
  body->Feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  CHECK(body->Progress() == HttpProgress::BodyTooLarge);
}

TEST(Http, InterimAnswersAreSkipped)
{
  HttpResponse response = Parse("HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                "\r\nok");
  LONGS_EQUAL(200, response.mStatus);
  STRCMP_EQUAL("ok", response.mBody.c_str());
}

TEST(Http, AnAnswerIsWholeOnlyWithItsEnd)
{
  auto cut = ResponseParser::Make({}, false);
  cut->Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  cut->FeedEnd();
  CHECK(cut->Progress() == HttpProgress::Malformed);
  auto unframed = ResponseParser::Make({}, false);
  unframed->Feed("HTTP/1.1 200 OK\r\n\r\nall of it");
  CHECK(unframed->Progress() == HttpProgress::Incomplete);
  unframed->FeedEnd();
  CHECK(unframed->Progress() == HttpProgress::Complete);
  STRCMP_EQUAL("all of it", unframed->Take().mBody.c_str());
}

/** Guards against an empty body in chunks whose end comes byte by byte: it
 * ended processes that were built with assertions. */
TEST(Http, ChunkedRequestsComeInPiecesOfAnySize)
{
  for (const char* it : { "", "2\r\nok\r\n" }) {
    std::string text = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       std::string(it) + "0\r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      auto parser = RequestParser::Make({});
      std::string rest = FeedInPieces(*parser, text + "rest", piece);
      CHECK(parser->Progress() == HttpProgress::Complete);
      STRCMP_EQUAL(*it == '\0' ? "" : "ok", parser->Take().mBody.c_str());
      STRCMP_EQUAL("rest", rest.c_str());
    }
  }
}

/** Guards against the same in answers. */
TEST(Http, ChunkedAnswersComeInPiecesOfAnySize)
{
  for (const char* it : { "", "2\r\nok\r\n", "1\r\no\r\n1;a=b\r\nk\r\n" }) {
    for (const char* trailer : { "", "X: 1\r\n" }) {
      std::string text = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nA: 1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n";
      text += it;
      text += "0\r\n";
      text += trailer;
      text += "\r\n";
      for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        auto parser = ResponseParser::Make({}, false);
        std::string rest = FeedInPieces(*parser, text + "rest", piece);
        CHECK(parser->Progress() == HttpProgress::Complete);
        STRCMP_EQUAL("rest", rest.c_str());
        HttpResponse response = parser->Take();
        STRCMP_EQUAL(*it == '\0' ? "" : "ok", response.mBody.c_str());
        LONGS_EQUAL(2, response.mHeaders.size());
      }
    }
  }
}

TEST(Http, ContinuationLinesAreRefusedInPiecesOfAnySize)
{
  std::string text = "HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n more\r\n"
                     "Content-Length: 0\r\n\r\n";
  for (std::size_t piece = 1; piece < text.size(); ++piece) {
    auto parser = ResponseParser::Make({}, false);
    FeedInPieces(*parser, text, piece);
    CHECK(parser->Progress() == HttpProgress::Malformed);
  }
}

TEST(Http, HeadersOfOneConnectionAreNotPassedOn)
{
  std::vector<Header> headers{ { "Connection", "close, X-Mine" },
                               { "X-Mine", "1" },
                               { "X-Other", "2" } };
  CHECK(IsHopByHop(headers, "connection"));
  CHECK(IsHopByHop(headers, "x-mine"));
  CHECK(!IsHopByHop(headers, "X-Other"));
}

TEST(Http, OnlyAStatedNotRunCountsAsOne)
{
  TargetDialect dialect;
  dialect.mNotRun = "X-Not-Run";
  dialect.mNotRunValue = "";
  dialect.mSignature = "X-Signature";
  dialect.mHasMisdirected = true;
  auto outcome = [&](unsigned aStatus, std::vector<Header> aHeaders) {
    HttpResponse response;
    response.mStatus = aStatus;
    response.mHeaders = std::move(aHeaders);
    return InterpretAnswer(dialect, std::move(response)).mOutcome;
  };
  CHECK(outcome(503, { { "X-Not-Run", "1" } }) == TargetOutcome::Shed);
  CHECK(outcome(421, {}) == TargetOutcome::Draining);
  // A status that promises "not run" without saying so proves nothing.
  CHECK(outcome(503, {}) == TargetOutcome::Broken);
  CHECK(outcome(429, {}) == TargetOutcome::Broken);
  CHECK(outcome(500, {}) == TargetOutcome::ServerError);
  CHECK(outcome(200, {}) == TargetOutcome::Broken);
  CHECK(outcome(200, { { "X-Signature", "s" } }) == TargetOutcome::Answered);
  CHECK(
    outcome(200, { { "X-Signature", "s" }, { "Content-Encoding", "gzip" } }) ==
    TargetOutcome::Broken);
}

TEST(Http, AnAnswerWithAnotherIdBelongsToAnotherRequest)
{
  TargetDialect dialect;
  dialect.mRequestId = "X-Id";
  HttpResponse response;
  response.mHeaders = { { "X-Id", "7" } };
  CHECK(IsAnswerTo(dialect, "7", response));
  CHECK(!IsAnswerTo(dialect, "8", response));
}

/** Guards against a field over the 64 KiB that the library can store: it threw
 * and ended the process where the limits of a document allow such heads. */
TEST(Http, FieldsThatAreTooLongAreRefused)
{
  for (std::size_t it : { 65536UL, 131072UL }) {
    std::string bytes = "GET / HTTP/1.1\r\nAuthorization: Bearer ";
    bytes.append(it, 'k').append("\r\n\r\n");
    for (std::size_t limit : { 16384UL, 1048576UL }) {
      auto parser = RequestParser::Make({ limit, 1024 });
      parser->Feed(bytes);
      CHECK(parser->Progress() == HttpProgress::HeadTooLarge);
    }
  }
}
