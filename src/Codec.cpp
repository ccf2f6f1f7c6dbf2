#include "Codec.h"

#include "Hash.h"

#include <utility>

namespace vanillascale {

namespace {

constexpr std::size_t kEnvelopeFieldCount = 5;
constexpr std::size_t kMaxNestingDepth = 16;

std::uint32_t
ClusterHash(const std::string& aCluster)
{
  return static_cast<std::uint32_t>(Hash64(aCluster));
}

/** Converts aBody to the alternative of Message with the index aIndex. Returns
 * false if there is none. Throws msgpack::type_error if the body does not
 * match.
 */
template<std::size_t N>
bool
ConvertBody(std::size_t aIndex, const msgpack::object& aBody, Message& aInto)
{
  if constexpr (N < std::variant_size_v<Message>) {
    if (aIndex == N) {
      aInto = aBody.as<std::variant_alternative_t<N, Message>>();
      return true;
    }
    return ConvertBody<N + 1>(aIndex, aBody, aInto);
  }
  return false;
}

tl::expected<Envelope, DecodeError>
ConvertEnvelope(const std::string& aCluster, const msgpack::object& aObject)
{
  if (aObject.type != msgpack::type::ARRAY ||
      aObject.via.array.size != kEnvelopeFieldCount) {
    return tl::make_unexpected(DecodeError::Malformed);
  }
  const msgpack::object* fields = aObject.via.array.ptr;
  if (fields[0].as<std::uint8_t>() != kProtocolVersion) {
    return tl::make_unexpected(DecodeError::VersionMismatch);
  }
  if (fields[1].as<std::uint32_t>() != ClusterHash(aCluster)) {
    return tl::make_unexpected(DecodeError::ClusterMismatch);
  }
  Envelope envelope;
  fields[2].convert(envelope.mFrom);
  auto index = fields[3].as<std::size_t>();
  if (!ConvertBody<0>(index, fields[4], envelope.mMessage)) {
    return tl::make_unexpected(DecodeError::UnknownMessageType);
  }
  return envelope;
}

} // namespace

const char*
MessageTypeName(std::size_t aType)
{
  static constexpr const char* kNames[] = { "ping",
                                            "ping_ack",
                                            "ping_request",
                                            "lease_request",
                                            "lease_queued",
                                            "lease_grant",
                                            "lease_refusal",
                                            "lease_withdrawal",
                                            "lease_report",
                                            "lease_sync",
                                            "target_view",
                                            "config_pull",
                                            "config_push",
                                            "intent_request",
                                            "intent_decision",
                                            "cached_answer_query",
                                            "cached_answer_reply",
                                            "lease_query",
                                            "feed_push",
                                            "feed_pull",
                                            "member_pull",
                                            "member_page",
                                            "quota_report",
                                            "quota_levels",
                                            "hedge_offer" };
  static_assert(std::size(kNames) == kMessageTypes);
  return kNames[aType];
}

std::string
Encode(const std::string& aCluster, const Envelope& aEnvelope)
{
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(kEnvelopeFieldCount);
  packer.pack(kProtocolVersion);
  packer.pack(ClusterHash(aCluster));
  packer.pack(aEnvelope.mFrom);
  packer.pack(aEnvelope.mMessage.index());
  std::visit([&](const auto& aBody) { packer.pack(aBody); },
             aEnvelope.mMessage);
  return std::string(buf.data(), buf.size());
}

tl::expected<Envelope, DecodeError>
Decode(const std::string& aCluster, std::string_view aBytes)
{
  // A valid collection or text cannot have more elements than the input has
  // bytes, so lengths stated in the input are limited to that.
  std::size_t n = aBytes.size();
  msgpack::unpack_limit limit(n, n, n, n, n, kMaxNestingDepth);
  try {
    msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(), n, nullptr, nullptr, limit);
    return ConvertEnvelope(aCluster, handle.get());
  } catch (const msgpack::unpack_error&) {
    return tl::make_unexpected(DecodeError::Malformed);
  } catch (const msgpack::type_error&) {
    return tl::make_unexpected(DecodeError::Malformed);
  }
}

} // namespace vanillascale
