#ifndef VANILLASCALE_CODEC_H
#define VANILLASCALE_CODEC_H

#include "Messages.h"

#include <string_view>
#include <tl/expected.hpp>

namespace vanillascale {

/** Version of the protocol between proxies. Messages of other versions are
 * dropped and counted. */
constexpr std::uint8_t kProtocolVersion = 1;

/** A message and its sender. */
struct Envelope
{
  NodeId mFrom;
  Message mMessage;
};

/** The number of message types. */
constexpr std::size_t kMessageTypes = std::variant_size_v<Message>;

/** Returns the name of a message type, given its index in Message, for metrics
 * and logs. Precondition: aType < kMessageTypes. Pure and thread-safe. */
const char*
MessageTypeName(std::size_t aType);

/** Why received bytes were rejected. */
enum class DecodeError
{
  Malformed,
  VersionMismatch,
  ClusterMismatch,
  UnknownMessageType
};

/** Encodes a message for the cluster named aCluster. Pure and thread-safe. */
std::string
Encode(const std::string& aCluster, const Envelope& aEnvelope);

/** Decodes a message written by Encode. Accepts any input bytes, throws nothing
 * and does not trust the lengths stated in the input: no collection or text
 * gets more elements than the input has bytes. Pure and thread-safe. */
tl::expected<Envelope, DecodeError>
Decode(const std::string& aCluster, std::string_view aBytes);

} // namespace vanillascale

#endif
