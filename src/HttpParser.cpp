#include "HttpParser.h"

#include "BodyBuffer.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
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

/** Returns the limit on a head in the parser's type. */
std::uint32_t
HeadLimit(const HttpLimits& aLimits)
{
  constexpr std::size_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(aLimits.mHeadBytes, kMax));
}
/** Bytes of a body that are parsed at once, so that its memory is asked for in
 * time. Heads of chunks and trailers have to fit in. */
constexpr std::size_t kPieceBytes = 16UL * 1024;
/** What a field takes besides its text, in Beast's list and in ours. */
constexpr std::size_t kFieldBytes = 192;

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

/** The memory of a head's fields. */
std::size_t
SizeOf(const std::vector<Header>& aHeaders)
{
  std::size_t size = 0;
  for (const Header& it : aHeaders) {
    size += kFieldBytes + it.mName.size() + it.mValue.size();
  }
  return size;
}

/** Parses the body of a message whose head is complete, and counts the memory
 * of both. */
template<typename Parser>
class BodyFeeder
{
public:
  BodyFeeder(const HttpLimits& aLimits, std::shared_ptr<ByteBudget> aBudget)
    : mMaxBytes(aLimits.mBodyBytes)
    , mBudget(std::move(aBudget))
  {
  }

  /** Precondition: the head is complete. */
  void Begin(Parser& aParser, std::size_t aHeadBytes)
  {
    BodyBuffer& body = aParser.get().body();
    body.mMaxBytes = mMaxBytes;
    body.mOtherBytes = aHeadBytes;
    if (mBudget) {
      body.mCharge = std::make_shared<BudgetCharge>(mBudget);
      body.mCharge->Set(aHeadBytes);
    }
  }

  /** Returns nothing without a budget. */
  BytesWanted Wanted(const Parser& aParser) const
  {
    return mBudget ? Missing(aParser) : BytesWanted{};
  }

  void Reserve(Parser& aParser)
  {
    aParser.get().body().Reserve(NextCapacity(aParser));
  }

  /** Feeds the body as far as there is room for it. */
  std::size_t Feed(Parser& aParser,
                   std::string_view aBytes,
                   HttpProgress& aProgress)
  {
    std::size_t total = 0;
    while (aProgress == HttpProgress::Incomplete && total < aBytes.size()) {
      if (Missing(aParser).mBytes > 0) {
        if (mBudget) {
          break;
        }
        Reserve(aParser);
      }
      std::string_view piece = aBytes.substr(total, kPieceBytes);
      std::size_t n =
        FeedUntil(aParser, piece, aProgress, [&] { return aParser.is_done(); });
      total += n;
      if (n == 0) {
        bool isOversized =
          piece.size() == kPieceBytes && aProgress == HttpProgress::Incomplete;
        aProgress = isOversized ? HttpProgress::Malformed : aProgress;
        break;
      }
    }
    return total;
  }

private:
  /** What the body's memory lacks for the next piece. */
  BytesWanted Missing(const Parser& aParser) const
  {
    if (!aParser.is_header_done() || aParser.is_done()) {
      return {};
    }
    const BodyBuffer& body = aParser.get().body();
    std::size_t capacity = NextCapacity(aParser);
    return { capacity - std::min(capacity, body.Capacity()), capacity };
  }

  /** The capacity for the next piece. A body with a length gets room for all of
   * it at once: its pages are used as its bytes come. */
  std::size_t NextCapacity(const Parser& aParser) const
  {
    const BodyBuffer& body = aParser.get().body();
    auto length = aParser.content_length();
    std::size_t more = length
                         ? static_cast<std::size_t>(*length) - body.mText.size()
                         : std::min(kPieceBytes, mMaxBytes - body.mText.size());
    return length ? std::max(body.Capacity(), body.mText.size() + more)
                  : body.CapacityFor(more);
  }

  std::size_t mMaxBytes;
  std::shared_ptr<ByteBudget> mBudget;
};

} // namespace

struct RequestParser::Impl
{
  using Parser = http::request_parser<BufferedBody>;

  Impl(const HttpLimits& aLimits, std::shared_ptr<ByteBudget> aBudget)
    : mFeeder(aLimits, std::move(aBudget))
  {
  }

  Parser mParser;
  BodyFeeder<Parser> mFeeder;
  HttpProgress mProgress = HttpProgress::Incomplete;
  /** The head, once it is complete. */
  HttpRequest mRequest;
  bool mAwaitsContinue = false;
  bool mHasBegun = false;

  /** Takes the fields out before Beast adds those of a trailer, which must not
   * be taken for fields of the head (RFC 9110 section 6.5.1). */
  void TakeHead()
  {
    const auto& head = mParser.get();
    mRequest.mMethod = std::string(head.method_string());
    mRequest.mTarget = std::string(head.target());
    mRequest.mHeaders = HeadersOf(head);
    mRequest.mKeepsAlive = head.keep_alive();
    mAwaitsContinue =
      IsSameName(std::string(head[http::field::expect]), "100-continue");
    mFeeder.Begin(mParser, SizeOf(mRequest.mHeaders) + mRequest.mTarget.size());
  }

  std::size_t Feed(std::string_view aBytes)
  {
    std::size_t total = 0;
    if (!mParser.is_header_done()) {
      total = FeedUntil(
        mParser, aBytes, mProgress, [&] { return mParser.is_header_done(); });
      if (mParser.is_header_done()) {
        TakeHead();
      }
    }
    if (mParser.is_header_done()) {
      total += mFeeder.Feed(mParser, aBytes.substr(total), mProgress);
    }
    return total;
  }
};

RequestParser::RequestParser(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

RequestParser::~RequestParser() = default;

std::unique_ptr<RequestParser>
RequestParser::Make(const HttpLimits& aLimits,
                    std::shared_ptr<ByteBudget> aBudget)
{
  auto impl = std::make_unique<Impl>(aLimits, std::move(aBudget));
  // Stops behind the head, so that trailers can be told from its fields.
  impl->mParser.eager(false);
  impl->mParser.header_limit(HeadLimit(aLimits));
  impl->mParser.body_limit(aLimits.mBodyBytes);
  return std::unique_ptr<RequestParser>(new RequestParser(std::move(impl)));
}

std::size_t
RequestParser::Feed(std::string_view aBytes)
{
  mImpl->mHasBegun = mImpl->mHasBegun || !aBytes.empty();
  return mImpl->Feed(aBytes);
}

HttpProgress
RequestParser::Progress() const
{
  return mImpl->mProgress;
}

BytesWanted
RequestParser::Wanted() const
{
  return mImpl->mProgress == HttpProgress::Incomplete
           ? mImpl->mFeeder.Wanted(mImpl->mParser)
           : BytesWanted{};
}

void
RequestParser::Reserve()
{
  mImpl->mFeeder.Reserve(mImpl->mParser);
}

std::size_t
RequestParser::HeldBytes() const
{
  const auto& charge = mImpl->mParser.get().body().mCharge;
  return charge ? charge->Bytes() : 0;
}

bool
RequestParser::IsHeadDone() const
{
  return mImpl->mParser.is_header_done();
}

bool
RequestParser::AwaitsContinue() const
{
  return mImpl->mProgress == HttpProgress::Incomplete && mImpl->mAwaitsContinue;
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
  BodyBuffer& body = mImpl->mParser.get().body();
  request.mBody = std::move(body.mText);
  request.mCharge = std::move(body.mCharge);
  return request;
}

struct ResponseParser::Impl
{
  using Parser = http::response_parser<BufferedBody>;

  Impl(const HttpLimits& aLimits,
       bool aIsToHead,
       std::shared_ptr<ByteBudget> aBudget)
    : mLimits(aLimits)
    , mIsToHead(aIsToHead)
    , mFeeder(aLimits, std::move(aBudget))
  {
    Begin();
  }

  HttpLimits mLimits;
  bool mIsToHead = false;
  BodyFeeder<Parser> mFeeder;
  std::optional<Parser> mParser;
  HttpProgress mProgress = HttpProgress::Incomplete;
  /** The head, once it is complete. */
  HttpResponse mResponse;

  void Begin()
  {
    mParser.emplace();
    // Stops behind the head, which is checked before the body is read.
    mParser->eager(false);
    mParser->header_limit(HeadLimit(mLimits));
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
      total += mFeeder.Feed(*mParser, aBytes.substr(total), mProgress);
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
    mFeeder.Begin(*mParser, SizeOf(mResponse.mHeaders));
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
ResponseParser::Make(const HttpLimits& aLimits,
                     bool aIsToHead,
                     std::shared_ptr<ByteBudget> aBudget)
{
  auto impl = std::make_unique<Impl>(aLimits, aIsToHead, std::move(aBudget));
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

BytesWanted
ResponseParser::Wanted() const
{
  return mImpl->mProgress == HttpProgress::Incomplete
           ? mImpl->mFeeder.Wanted(*mImpl->mParser)
           : BytesWanted{};
}

void
ResponseParser::Reserve()
{
  mImpl->mFeeder.Reserve(*mImpl->mParser);
}

HttpResponse
ResponseParser::Take()
{
  HttpResponse response = std::move(mImpl->mResponse);
  BodyBuffer& body = mImpl->mParser->get().body();
  response.mBody = std::move(body.mText);
  response.mCharge = std::move(body.mCharge);
  return response;
}

} // namespace vanillascale
