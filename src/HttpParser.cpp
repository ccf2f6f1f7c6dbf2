#include "HttpParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <stdexcept>

namespace vanillascale {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

/** The status codes that HTTP defines, RFC 9110 section 15. */
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
/** Beast's number for HTTP/1.1. */
constexpr unsigned kVersion11 = 11;
/** The shortest rest of a chunked body: a last chunk of "0" and an empty line.
 */
constexpr std::size_t kLeastChunkedBytes = 5;

HttpProgress
ProgressOf(const error_code& aError)
{
  if (!aError || aError == http::error::need_more) {
    return HttpProgress::Incomplete;
  }
  if (aError == http::error::header_limit) {
    return HttpProgress::HeadTooLarge;
  }
  if (aError == http::error::body_limit) {
    return HttpProgress::BodyTooLarge;
  }
  return HttpProgress::Malformed;
}

/** Whether so few bytes of a chunked body can't be parsed yet. Any rest of such
 * a body has at least a last chunk and an empty line, and Beast asserts that it
 * gets no less once it has seen the size of the last chunk. */
template<typename Parser>
bool
MustWaitForMore(const Parser& aParser, std::size_t aBytes)
{
  return aParser.is_header_done() && aParser.chunked() &&
         aBytes < kLeastChunkedBytes;
}

/** Feeds a Beast parser once. Beast throws where a field is longer than the 64
 * KiB that it can store, which limits on heads above that allow. */
template<typename Parser>
std::size_t
Put(Parser& aParser, std::string_view aBytes, error_code& aError)
{
  try {
    return aParser.put(boost::asio::buffer(aBytes.data(), aBytes.size()),
                       aError);
  } catch (const std::length_error&) {
    aError = http::error::header_limit;
    return 0;
  }
}

/** Feeds a Beast parser as long as it consumes anything, or until aIsReached
 * returns true. */
template<typename Parser, typename Predicate>
std::size_t
FeedUntil(Parser& aParser,
          std::string_view aBytes,
          HttpProgress& aProgress,
          const Predicate& aIsReached)
{
  std::size_t total = 0;
  while (!aIsReached() && !MustWaitForMore(aParser, aBytes.size() - total)) {
    error_code ec;
    std::size_t n = Put(aParser, aBytes.substr(total), ec);
    total += n;
    aProgress = ProgressOf(ec);
    bool isStuck = n == 0 || total == aBytes.size();
    if (aProgress != HttpProgress::Incomplete || isStuck) {
      break;
    }
  }
  if (aParser.is_done() && aProgress == HttpProgress::Incomplete) {
    aProgress = HttpProgress::Complete;
  }
  return total;
}

template<typename Parser>
std::size_t
FeedParser(Parser& aParser, std::string_view aBytes, HttpProgress& aProgress)
{
  return FeedUntil(
    aParser, aBytes, aProgress, [&] { return aParser.is_done(); });
}

/** Whether a line of a head continues the field before it. Beast joins the two,
 * which RFC 9112 section 5.2 allows, but a broken sender did not mean the value
 * that results. */
bool
HasContinuationLine(std::string_view aHead)
{
  return aHead.find("\r\n ") != std::string_view::npos ||
         aHead.find("\r\n\t") != std::string_view::npos;
}

/** Whether a head names no transfer coding, or "chunked" alone: others can't be
 * undone, and HTTP/1.0 has none. Beast reads a body whose coding it does not
 * know as one without coding. */
template<typename Message>
bool
HasKnownCoding(const Message& aHead)
{
  auto [begin, end] = aHead.equal_range(http::field::transfer_encoding);
  if (begin == end) {
    return true;
  }
  std::vector<std::string_view> codings;
  for (auto it = begin; it != end; ++it) {
    auto value = it->value();
    for (std::string_view name : SplitList({ value.data(), value.size() })) {
      codings.push_back(name);
    }
  }
  return aHead.version() == kVersion11 && codings.size() == 1 &&
         IsSameName(codings.front(), "chunked");
}

template<typename Fields>
std::vector<Header>
HeadersOf(const Fields& aFields)
{
  std::vector<Header> headers;
  for (const auto& it : aFields) {
    headers.push_back(
      { std::string(it.name_string()), std::string(it.value()) });
  }
  return headers;
}

} // namespace

struct RequestParser::Impl
{
  http::request_parser<http::string_body> mParser;
  HttpProgress mProgress = HttpProgress::Incomplete;
  bool mHasBegun = false;
  /** The head, once it is complete. */
  HttpRequest mRequest;

  /** Takes the fields out before Beast adds those of a trailer: a key or an
   * account must not be taken from there (RFC 9110 section 6.5.1). */
  void TakeHead()
  {
    const auto& head = mParser.get();
    mRequest.mMethod = std::string(head.method_string());
    mRequest.mTarget = std::string(head.target());
    mRequest.mHeaders = HeadersOf(head);
    mRequest.mKeepsAlive = head.keep_alive();
  }
};

RequestParser::RequestParser(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

RequestParser::~RequestParser() = default;

std::unique_ptr<RequestParser>
RequestParser::Make(const HttpLimits& aLimits)
{
  auto impl = std::make_unique<Impl>();
  // Stops behind the head, whose fields are taken before the body is read.
  impl->mParser.eager(false);
  impl->mParser.header_limit(static_cast<std::uint32_t>(aLimits.mHeadBytes));
  impl->mParser.body_limit(aLimits.mBodyBytes);
  return std::unique_ptr<RequestParser>(new RequestParser(std::move(impl)));
}

std::size_t
RequestParser::Feed(std::string_view aBytes)
{
  auto& parser = mImpl->mParser;
  HttpProgress& progress = mImpl->mProgress;
  std::size_t n = 0;
  if (!parser.is_header_done()) {
    n = FeedUntil(
      parser, aBytes, progress, [&] { return parser.is_header_done(); });
    if (parser.is_header_done()) {
      mImpl->TakeHead();
    }
  }
  if (progress == HttpProgress::Incomplete && parser.is_header_done()) {
    n += FeedParser(parser, aBytes.substr(n), progress);
  }
  mImpl->mHasBegun = mImpl->mHasBegun || !aBytes.empty();
  return n;
}

HttpProgress
RequestParser::Progress() const
{
  return mImpl->mProgress;
}

bool
RequestParser::AwaitsContinue() const
{
  const auto& parser = mImpl->mParser;
  return mImpl->mProgress == HttpProgress::Incomplete &&
         parser.is_header_done() &&
         IsSameName(std::string(parser.get()[http::field::expect]),
                    "100-continue");
}

bool
RequestParser::HasBegun() const
{
  return mImpl->mHasBegun;
}

HttpRequest
RequestParser::Take()
{
  HttpRequest request = std::move(mImpl->mRequest);
  request.mBody = std::move(mImpl->mParser.get().body());
  return request;
}

struct ResponseParser::Impl
{
  HttpLimits mLimits;
  bool mIsToHead = false;
  std::optional<http::response_parser<http::string_body>> mParser;
  HttpProgress mProgress = HttpProgress::Incomplete;
  /** The head, once it is complete. */
  HttpResponse mResponse;

  void Begin()
  {
    mParser.emplace();
    // Stops behind the head, which is checked before the body is read.
    mParser->eager(false);
    mParser->header_limit(static_cast<std::uint32_t>(mLimits.mHeadBytes));
    mParser->body_limit(mLimits.mBodyBytes);
    mParser->skip(mIsToHead);
    mProgress = HttpProgress::Incomplete;
  }

  std::size_t Feed(std::string_view aBytes)
  {
    std::size_t total = 0;
    if (!mParser->is_header_done()) {
      total = FeedUntil(
        *mParser, aBytes, mProgress, [&] { return mParser->is_header_done(); });
      // Beast consumes a field with all its lines at once.
      bool isContinued = HasContinuationLine(aBytes.substr(0, total));
      bool isDone = mParser->is_header_done();
      if (isContinued || (isDone && !IsHeadAcceptable())) {
        mProgress = HttpProgress::Malformed;
      } else if (isDone) {
        TakeHead();
      }
    }
    if (mProgress == HttpProgress::Incomplete && mParser->is_header_done()) {
      total += FeedParser(*mParser, aBytes.substr(total), mProgress);
    }
    return total;
  }

  /** Whether a complete head has a valid status and a body that can be read.
   * Beast does not check these. */
  bool IsHeadAcceptable() const
  {
    unsigned status = mParser->get().result_int();
    return status >= kFirstStatus && status <= kLastStatus &&
           HasKnownCoding(mParser->get());
  }

  /** Takes the fields out before Beast adds those of a trailer, which must not
   * be taken for fields of the head (RFC 9110 section 6.5.1). */
  void TakeHead()
  {
    const auto& head = mParser->get();
    mResponse.mStatus = head.result_int();
    mResponse.mHeaders = HeadersOf(head);
    mResponse.mKeepsAlive = head.keep_alive();
  }

  bool IsInterim() const
  {
    return mProgress == HttpProgress::Complete &&
           http::to_status_class(mParser->get().result_int()) ==
             http::status_class::informational;
  }
};

ResponseParser::ResponseParser(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ResponseParser::~ResponseParser() = default;

std::unique_ptr<ResponseParser>
ResponseParser::Make(const HttpLimits& aLimits, bool aIsToHead)
{
  auto impl = std::make_unique<Impl>();
  impl->mLimits = aLimits;
  impl->mIsToHead = aIsToHead;
  impl->Begin();
  return std::unique_ptr<ResponseParser>(new ResponseParser(std::move(impl)));
}

std::size_t
ResponseParser::Feed(std::string_view aBytes)
{
  std::size_t total = mImpl->Feed(aBytes);
  while (mImpl->IsInterim()) {
    mImpl->Begin();
    total += mImpl->Feed(aBytes.substr(total));
  }
  return total;
}

void
ResponseParser::FeedEnd()
{
  if (mImpl->mProgress != HttpProgress::Incomplete) {
    return;
  }
  bool isUnframed =
    mImpl->mParser->is_header_done() && mImpl->mParser->need_eof();
  if (!isUnframed) {
    // The parser must not be told of the end before it has received anything.
    mImpl->mProgress = HttpProgress::Malformed;
    return;
  }
  error_code ec;
  mImpl->mParser->put_eof(ec);
  mImpl->mProgress = !ec && mImpl->mParser->is_done() ? HttpProgress::Complete
                                                      : HttpProgress::Malformed;
}

HttpProgress
ResponseParser::Progress() const
{
  return mImpl->mProgress;
}

HttpResponse
ResponseParser::Take()
{
  HttpResponse response = std::move(mImpl->mResponse);
  response.mBody = std::move(mImpl->mParser->get().body());
  return response;
}

} // namespace vanillascale
