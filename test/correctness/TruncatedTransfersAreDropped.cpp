#include "PeerLinks.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using boost::asio::ip::tcp;

namespace {

constexpr const char* kCluster = "c";

/** Returns links at a port that is free. */
std::unique_ptr<PeerLinks>
ListenAnywhere(boost::asio::io_context& aLoop,
               tcp::endpoint& aEndpoint,
               const PeerLinks::Receiver& aReceiver)
{
  for (;;) {
    auto loopback = boost::asio::ip::address_v4::loopback();
    aEndpoint = tcp::acceptor(aLoop, { loopback, 0 }).local_endpoint();
    auto links = PeerLinks::Make(
      aLoop, { "127.0.0.1", aEndpoint.port() }, kCluster, aReceiver);
    // Another process may have taken the port in between.
    if (links) {
      return std::move(*links);
    }
  }
}

/** Returns a message as it goes over a connection. */
std::string
MakeTransfer()
{
  std::string bytes = Encode(kCluster, { NodeId("n"), LeaseQueued{ 1 } });
  std::string length(3, '\0');
  return length + static_cast<char>(bytes.size()) + bytes;
}

/** Sends bytes on a connection and ends it in order or by a reset. */
void
Transfer(boost::asio::io_context& aLoop,
         const tcp::endpoint& aTo,
         const std::string& aBytes,
         bool aIsReset)
{
  tcp::socket socket(aLoop);
  socket.connect(aTo);
  boost::asio::write(socket, boost::asio::buffer(aBytes));
  socket.set_option(boost::asio::socket_base::linger(aIsReset, 0));
  socket.close();
}

} // namespace

TEST_GROUP(PeerTransfers){};

/** Guards against messages between nodes that are cut off in their length or
 * their body: a part must never be taken for a message. */
TEST(PeerTransfers, AreTakenOnlyWhole)
{
  boost::asio::io_context loop;
  std::size_t received = 0;
  tcp::endpoint endpoint;
  auto links =
    ListenAnywhere(loop, endpoint, [&](const Envelope&) { ++received; });
  std::string whole = MakeTransfer();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    Transfer(loop, endpoint, whole.substr(0, n), n % 2 == 1);
    loop.poll();
  }
  Transfer(loop, endpoint, whole, false);
  while (received == 0) {
    loop.run_one();
  }
  while (loop.poll() > 0) {
  }
  LONGS_EQUAL(1, received);
  LONGS_EQUAL(0, links->Counters().mUnreadable);
}
