#ifndef VANILLASCALE_HTTPPARSER_H
#define VANILLASCALE_HTTPPARSER_H

#include "HttpMessage.h"

#include <memory>

namespace vanillascale {

/** How far the parsing of a message has come. */
enum class HttpProgress
{
  Incomplete,
  Complete,
  Malformed,
  HeadTooLarge,
  BodyTooLarge
};

/** How large a message may be. */
struct HttpLimits
{
  std::size_t mHeadBytes = 16UL * 1024;
  std::size_t mBodyBytes = 64UL * 1024 * 1024;
};

/** Parses one request from bytes that come in pieces. Not thread safe. */
class RequestParser
{
public:
  static std::unique_ptr<RequestParser> Make(const HttpLimits& aLimits);
  ~RequestParser();

  /** Takes bytes in and returns how many were consumed; the others have to be
   * given again, in front of those that follow. Precondition: the progress is
   * Incomplete. */
  std::size_t Feed(std::string_view aBytes);

  HttpProgress Progress() const;

  /** The head is complete, and the caller waits for "100 Continue" before it
   * sends the body. */
  bool AwaitsContinue() const;

  /** Whether bytes of a message have been consumed. */
  bool HasBegun() const;

  /** Takes the request out. Precondition: the progress is Complete. */
  HttpRequest Take();

private:
  struct Impl;
  explicit RequestParser(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/** Parses one final answer, skipping interim ones (1xx). Not thread safe. */
class ResponseParser
{
public:
  /** aIsToHead: the answer is to a HEAD request and has no body. */
  static std::unique_ptr<ResponseParser> Make(const HttpLimits& aLimits,
                                              bool aIsToHead);
  ~ResponseParser();

  /** As RequestParser::Feed. */
  std::size_t Feed(std::string_view aBytes);

  /** The connection has ended in order; this completes an answer that has no
   * length. */
  void FeedEnd();

  HttpProgress Progress() const;

  /** Takes the answer out. Precondition: the progress is Complete. */
  HttpResponse Take();

private:
  struct Impl;
  explicit ResponseParser(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace vanillascale

#endif
