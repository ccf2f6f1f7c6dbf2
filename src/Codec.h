#ifndef VANILLASCALE_CODEC_H
#define VANILLASCALE_CODEC_H

#include "Messages.h"

#include <string_view>
#include <tl/expected.hpp>

namespace vanillascale {

/** The version of the protocol between proxies. A message of another version is
 * dropped and counted. */
constexpr std::uint8_t kProtocolVersion = 1;

/** A message with its sender. */
struct Envelope
{
  NodeId mFrom;
  Message mMessage;
};

/** Why bytes from the network are no message for this node. */
enum class DecodeError
{
  Malformed,
  VersionMismatch,
  ClusterMismatch,
  UnknownMessageType
};

/** Encodes a message for the cluster named aCluster. Pure; any thread. */
std::string
Encode(const std::string& aCluster, const Envelope& aEnvelope);

/** Decodes what Encode wrote. Any bytes are allowed as input; nothing is thrown
 * and nothing larger than the input is allocated on its word. Pure; any thread.
 */
tl::expected<Envelope, DecodeError>
Decode(const std::string& aCluster, std::string_view aBytes);

} // namespace vanillascale

#endif
