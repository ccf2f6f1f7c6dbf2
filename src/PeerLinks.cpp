#include "PeerLinks.h"

#include "HttpExchange.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <unordered_map>

namespace vanillascale {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

/** Fits one packet of an Ethernet without fragments. */
constexpr std::size_t kLargestDatagram = 1400;
constexpr std::size_t kLargestMessage = 16UL * 1024 * 1024;
/** Large messages that are under way at once, each way. */
constexpr std::size_t kMostTransfers = 64;
constexpr Duration kTransferTime = std::chrono::seconds(3);
constexpr std::size_t kLengthBytes = 4;
/** Datagrams taken in before other work gets its turn. */
constexpr int kDatagramsAtOnce = 32;
constexpr int kReceiveBufferBytes = 256 * 1024;

std::string
LengthPrefix(std::size_t aLength)
{
  std::string bytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes += static_cast<char>(aLength >> (8 * (kLengthBytes - 1 - i)));
  }
  return bytes;
}

std::size_t
ReadLength(const std::string& aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

/** One large message on its own connection. */
struct Transfer
{
  explicit Transfer(boost::asio::io_context& aLoop,
                    std::shared_ptr<ByteBudget> aBudget = nullptr)
    : mSocket(aLoop)
    , mTimer(aLoop)
    , mCharge(std::move(aBudget))
  {
  }

  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::string mBytes;
  BudgetCharge mCharge;
};

/** Closes a transfer's connection when its time is up. */
void
BoundTransfer(const std::shared_ptr<Transfer>& aTransfer)
{
  aTransfer->mTimer.expires_after(kTransferTime);
  aTransfer->mTimer.async_wait([aTransfer](const error_code& aError) {
    if (!aError) {
      error_code ec;
      aTransfer->mSocket.close(ec);
    }
  });
}

} // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<PeerLinks::Impl>
{
  Impl(boost::asio::io_context& aLoop,
       std::string aCluster,
       NodeId aSelf,
       Receiver aReceiver,
       std::shared_ptr<ByteBudget> aBudget)
    : mLoop(aLoop)
    , mCluster(std::move(aCluster))
    , mSelf(std::move(aSelf))
    , mReceiver(std::move(aReceiver))
    , mBudget(std::move(aBudget))
    , mDatagrams(aLoop)
    , mAcceptor(aLoop)
  {
  }

  void Listen(const Endpoint& aEndpoint)
  {
    auto address = boost::asio::ip::make_address_v4(aEndpoint.mHost);
    mDatagrams.open(udp::v4());
    mDatagrams.bind({ address, aEndpoint.mPort });
    mDatagrams.non_blocking(true);
    error_code ec;
    mDatagrams.set_option(udp::socket::receive_buffer_size(kReceiveBufferBytes),
                          ec);
    mAcceptor.open(tcp::v4());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    mAcceptor.bind({ address, aEndpoint.mPort });
    mAcceptor.listen();
    AwaitDatagrams();
    Accept();
  }

  void Close()
  {
    mIsClosed = true;
    error_code ec;
    mDatagrams.close(ec);
    mAcceptor.close(ec);
  }

  void Take(std::string_view aBytes)
  {
    ++mCounters.mReceivedMessages;
    mCounters.mReceivedBytes += aBytes.size();
    auto envelope = Decode(mCluster, aBytes);
    if (envelope) {
      PeerTypeCounters& type = mCounters.mByType[envelope->mMessage.index()];
      ++type.mReceivedMessages;
      type.mReceivedBytes += aBytes.size();
      mReceiver(std::move(*envelope));
    } else {
      ++mCounters.mUnreadable;
    }
  }

  void AwaitDatagrams()
  {
    mDatagrams.async_wait(
      udp::socket::wait_read,
      [self = shared_from_this()](const error_code& aError) {
        if (!aError && !self->mIsClosed) {
          self->ReceiveDatagrams();
          self->AwaitDatagrams();
        }
      });
  }

  void ReceiveDatagrams()
  {
    for (int i = 0; i < kDatagramsAtOnce && !mIsClosed; ++i) {
      error_code ec;
      std::size_t n = mDatagrams.receive(boost::asio::buffer(mBuffer), 0, ec);
      if (ec == boost::asio::error::would_block) {
        return;
      }
      if (!ec) {
        Take({ mBuffer.data(), n });
      }
    }
  }

  void Accept()
  {
    auto transfer = std::make_shared<Transfer>(mLoop, mBudget);
    mAcceptor.async_accept(
      transfer->mSocket,
      [self = shared_from_this(), transfer](const error_code& aError) {
        if (aError == boost::asio::error::operation_aborted ||
            self->mIsClosed) {
          return;
        }
        if (!aError && self->mIncoming < kMostTransfers) {
          self->ReadTransfer(transfer);
        }
        self->Accept();
      });
  }

  void ReadTransfer(const std::shared_ptr<Transfer>& aTransfer)
  {
    ++mIncoming;
    BoundTransfer(aTransfer);
    aTransfer->mBytes.resize(kLengthBytes);
    boost::asio::async_read(
      aTransfer->mSocket,
      boost::asio::buffer(aTransfer->mBytes),
      [self = shared_from_this(), aTransfer](const error_code& aError,
                                             std::size_t) {
        std::size_t length = aError ? 0 : ReadLength(aTransfer->mBytes);
        if (length == 0 || length > kLargestMessage) {
          self->EndIncoming(aTransfer);
          return;
        }
        if (self->mBudget && !self->mBudget->MayTake(length, 0)) {
          ++self->mCounters.mDropped;
          self->EndIncoming(aTransfer);
          return;
        }
        aTransfer->mCharge.Set(length);
        self->ReadBody(aTransfer, length);
      });
  }

  void ReadBody(const std::shared_ptr<Transfer>& aTransfer, std::size_t aLength)
  {
    aTransfer->mBytes.resize(aLength);
    boost::asio::async_read(aTransfer->mSocket,
                            boost::asio::buffer(aTransfer->mBytes),
                            [self = shared_from_this(),
                             aTransfer](const error_code& aError, std::size_t) {
                              if (!aError && !self->mIsClosed) {
                                self->Take(aTransfer->mBytes);
                              }
                              self->EndIncoming(aTransfer);
                            });
  }

  void EndIncoming(const std::shared_ptr<Transfer>& aTransfer)
  {
    --mIncoming;
    aTransfer->mTimer.cancel();
    error_code ec;
    aTransfer->mSocket.close(ec);
  }

  void SendLarge(const Endpoint& aTo, const std::string& aBytes)
  {
    if (mOutgoing >= kMostTransfers) {
      ++mCounters.mDropped;
      return;
    }
    ++mOutgoing;
    auto transfer = std::make_shared<Transfer>(mLoop);
    transfer->mBytes = LengthPrefix(aBytes.size()) + aBytes;
    BoundTransfer(transfer);
    transfer->mSocket.async_connect(
      ToTcp(aTo),
      [self = shared_from_this(), transfer](const error_code& aError) {
        if (aError) {
          self->EndOutgoing(transfer, false);
          return;
        }
        TuneSocket(transfer->mSocket);
        boost::asio::async_write(
          transfer->mSocket,
          boost::asio::buffer(transfer->mBytes),
          [self, transfer](const error_code& aFailed, std::size_t) {
            self->EndOutgoing(transfer, !aFailed);
          });
      });
  }

  void EndOutgoing(const std::shared_ptr<Transfer>& aTransfer, bool aIsSent)
  {
    --mOutgoing;
    mCounters.mDropped += aIsSent ? 0 : 1;
    aTransfer->mTimer.cancel();
    error_code ec;
    aTransfer->mSocket.shutdown(tcp::socket::shutdown_send, ec);
    aTransfer->mSocket.close(ec);
  }

  const Endpoint* EndpointOf(const NodeId& aNode)
  {
    auto it = mEndpoints.find(aNode);
    if (it == mEndpoints.end()) {
      auto endpoint = ParseEndpoint(aNode.mValue);
      if (!endpoint) {
        return nullptr;
      }
      it = mEndpoints.emplace(aNode, *endpoint).first;
    }
    return &it->second;
  }

  void Send(const NodeId& aTo, const Message& aMessage)
  {
    const Endpoint* endpoint = EndpointOf(aTo);
    if (!endpoint || mIsClosed) {
      ++mCounters.mDropped;
      return;
    }
    std::string bytes = Encode(mCluster, { mSelf, aMessage });
    ++mCounters.mSentMessages;
    mCounters.mSentBytes += bytes.size();
    PeerTypeCounters& type = mCounters.mByType[aMessage.index()];
    ++type.mSentMessages;
    type.mSentBytes += bytes.size();
    if (bytes.size() > kLargestDatagram) {
      SendLarge(*endpoint, bytes);
      return;
    }
    error_code ec;
    mDatagrams.send_to(
      boost::asio::buffer(bytes),
      { boost::asio::ip::make_address_v4(endpoint->mHost), endpoint->mPort },
      0,
      ec);
    mCounters.mDropped += ec ? 1 : 0;
  }

  boost::asio::io_context& mLoop;
  std::string mCluster;
  NodeId mSelf;
  Receiver mReceiver;
  std::shared_ptr<ByteBudget> mBudget;
  udp::socket mDatagrams;
  tcp::acceptor mAcceptor;
  std::array<char, 64UL * 1024> mBuffer{};
  std::unordered_map<NodeId, Endpoint> mEndpoints;
  std::size_t mIncoming = 0;
  std::size_t mOutgoing = 0;
  bool mIsClosed = false;
  PeerLinkCounters mCounters;
};

PeerLinks::PeerLinks(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerLinks::~PeerLinks()
{
  mImpl->Close();
}

tl::expected<std::unique_ptr<PeerLinks>, std::string>
PeerLinks::Make(boost::asio::io_context& aLoop,
                const Endpoint& aEndpoint,
                const std::string& aCluster,
                Receiver aReceiver,
                std::shared_ptr<ByteBudget> aBudget)
{
  std::string address = aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
  auto impl = std::make_shared<Impl>(
    aLoop, aCluster, NodeId(address), std::move(aReceiver), std::move(aBudget));
  try {
    impl->Listen(aEndpoint);
  } catch (const std::exception& e) {
    return tl::make_unexpected("can't listen for peers at " + address + ": " +
                               e.what());
  }
  return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(impl)));
}

void
PeerLinks::Send(const NodeId& aTo, const Message& aMessage)
{
  mImpl->Send(aTo, aMessage);
}

const PeerLinkCounters&
PeerLinks::Counters() const
{
  return mImpl->mCounters;
}

} // namespace vanillascale
