#ifndef VANILLASCALE_BODYBUFFER_H
#define VANILLASCALE_BODYBUFFER_H

#include "ByteBudget.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <memory>
#include <string>

namespace vanillascale {

/** A body that is being received. Its memory grows by doubling, up to the
 * largest body: while it grows, the old and the new copy together touch no more
 * pages than the new capacity, so that a charge of the capacity covers both. */
struct BodyBuffer
{
  std::string mText;
  /** Counts the capacity and mOtherBytes; null counts nothing. */
  std::shared_ptr<BudgetCharge> mCharge;
  /** Bytes of the message besides the body. */
  std::size_t mOtherBytes = 0;
  std::size_t mMaxBytes = 0;

  /** The capacity without the few bytes that a string holds in itself. */
  std::size_t Capacity() const { return mHasMemory ? mText.capacity() : 0; }

  /** The capacity for aMore bytes more; the present one if they fit. */
  std::size_t CapacityFor(std::size_t aMore) const;

  /** Makes room, and charges for it. */
  void Reserve(std::size_t aCapacity);

  bool mHasMemory = false;
};

/** The body type of Beast's parsers that receives into a BodyBuffer. */
struct BufferedBody
{
  using value_type = BodyBuffer; // NOLINT: name required by Beast

  static std::uint64_t size(const value_type& aBody) // NOLINT: as above
  {
    return aBody.mText.size();
  }

  class reader // NOLINT: as above
  {
  public:
    template<bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*aHeader*/,
           value_type& aBody)
      : mBody(aBody)
    {
    }

    // NOLINTNEXTLINE: as above
    void init(const boost::optional<std::uint64_t>& /*aLength*/,
              boost::system::error_code& aError)
    {
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, // NOLINT: as above
                    boost::system::error_code& aError)
    {
      std::size_t n = boost::asio::buffer_size(aBuffers);
      mBody.Reserve(mBody.CapacityFor(n));
      for (auto it = boost::asio::buffer_sequence_begin(aBuffers);
           it != boost::asio::buffer_sequence_end(aBuffers);
           ++it) {
        mBody.mText.append(static_cast<const char*>(it->data()), it->size());
      }
      aError = {};
      return n;
    }

    void finish(boost::system::error_code& aError) // NOLINT: as above
    {
      aError = {};
    }

  private:
    value_type& mBody;
  };
};

} // namespace vanillascale

#endif
