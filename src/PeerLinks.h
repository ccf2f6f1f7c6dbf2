#ifndef VANILLASCALE_PEERLINKS_H
#define VANILLASCALE_PEERLINKS_H

#include "ByteBudget.h"
#include "Codec.h"
#include "Settings.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace vanillascale {

/** Counts of the messages of one type; they only rise. */
struct PeerTypeCounters
{
  std::uint64_t mSentMessages = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedMessages = 0;
  std::uint64_t mReceivedBytes = 0;
};

/** Counts of what crossed the links; they only rise. */
struct PeerLinkCounters
{
  /** By the type's index in Message. */
  std::array<PeerTypeCounters, kMessageTypes> mByType{};
  std::uint64_t mSentMessages = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedMessages = 0;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mUnreadable = 0;
};

/** The messages between proxies: datagrams, and for those that are too large
 * for one a connection that carries just them. Sending never blocks and keeps
 * no state for a peer, so that a peer that dies, hangs or comes back needs no
 * care; what is lost is lost, which the core allows for. The loop's thread
 * only. */
class PeerLinks
{
public:
  using Receiver = std::function<void(Envelope)>;

  /** Listens at aEndpoint and calls aReceiver for each message of the cluster.
   * aBudget counts large messages while they are received; those for which it
   * has no room are dropped. The error says why it can't listen. */
  static tl::expected<std::unique_ptr<PeerLinks>, std::string> Make(
    boost::asio::io_context& aLoop,
    const Endpoint& aEndpoint,
    const std::string& aCluster,
    Receiver aReceiver,
    std::shared_ptr<ByteBudget> aBudget = nullptr);

  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /** Sends a message to a node. */
  void Send(const NodeId& aTo, const Message& aMessage);

  const PeerLinkCounters& Counters() const;

private:
  struct Impl;
  explicit PeerLinks(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace vanillascale

#endif
