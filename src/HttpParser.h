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
  BodyTooLarge,
  /** The process has no memory for the message. */
  NoRoom
};

/** How large a message may be. */
struct HttpLimits
{
  std::size_t mHeadBytes = 16UL * 1024;
  std::size_t mBodyBytes = 64UL * 1024 * 1024;
};

/** Bytes of a budget that a parser needs before it takes in more of a body. */
struct BytesWanted
{
  std::size_t mBytes = 0;
  /** How large the message is, as far as it is known. */
  std::size_t mMessageBytes = 0;
};

/** Parses one request from bytes that come in pieces. Not thread safe. */
class RequestParser
{
public:
  /** With a budget, the parser counts what it holds and takes in a body only
   * after Reserve; so does the request that is taken out. */
  static std::unique_ptr<RequestParser> Make(
    const HttpLimits& aLimits,
    std::shared_ptr<ByteBudget> aBudget = nullptr);
  ~RequestParser();

  /** Takes bytes in and returns how many were consumed; the others have to be
   * given again, in front of those that follow. Precondition: the progress is
   * Incomplete. */
  std::size_t Feed(std::string_view aBytes);

  HttpProgress Progress() const;

  /** What Feed needs to take in more; nothing without a budget. */
  BytesWanted Wanted() const;

  /** Takes the wanted bytes from the budget. */
  void Reserve();

  /** The bytes of the budget that are taken. */
  std::size_t HeldBytes() const;

  bool IsHeadDone() const;

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
  static std::unique_ptr<ResponseParser> Make(
    const HttpLimits& aLimits,
    bool aIsToHead,
    std::shared_ptr<ByteBudget> aBudget = nullptr);
  ~ResponseParser();

  /** As those of RequestParser. */
  std::size_t Feed(std::string_view aBytes);
  BytesWanted Wanted() const;
  void Reserve();

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
