#ifndef VANILLASCALE_IDS_H
#define VANILLASCALE_IDS_H

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace vanillascale {

/** A string identifier of one kind. Ids of different kinds do not convert into
 * each other. Ids have value semantics and can be copied between threads. */
template<typename Kind>
struct Id
{
  std::string mValue;

  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  bool operator==(const Id& aOther) const { return mValue == aOther.mValue; }
  bool operator!=(const Id& aOther) const { return mValue != aOther.mValue; }
  bool operator<(const Id& aOther) const { return mValue < aOther.mValue; }

  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack(mValue);
  }
  void msgpack_unpack(const msgpack::object& aObject)
  {
    aObject.convert(mValue);
  }
};

/** A proxy process, identified by the address at which its peers reach it
 * ("ip:port"). A restarted process keeps its id and uses a higher incarnation.
 */
using NodeId = Id<struct NodeKind>;
/** A target, identified by the address at which it serves ("ip:port") or, if
 * the platform distinguishes processes at the same address, by
 * "instance@ip:port".
 */
using TargetId = Id<struct TargetKind>;
/** An availability zone. */
using ZoneName = Id<struct ZoneKind>;
/** A service in the document. */
using ServiceName = Id<struct ServiceKind>;
/** A route in the document. */
using RouteName = Id<struct RouteKind>;
/** A client account in the document. */
using AccountName = Id<struct AccountKind>;
/** An idempotency key set by a caller (a UUIDv7 in text form). */
using RequestKey = Id<struct RequestKeyKind>;

/** A caller's request, numbered by the proxy that received it. In messages
 * between nodes the number also tells processes of a node apart; see
 * PeerRequestId.h. */
using RequestId = std::uint64_t;
/** A slot lease: the scheduler's epoch in the upper 32 bits, a counter in the
 * lower 32 bits. */
using LeaseId = std::uint64_t;
/** A position in a stream of the platform's log. The first record has offset 1.
 */
using LogOffset = std::uint64_t;

/** Returns the address part of a target id. Pure. */
inline std::string
AddressOf(const TargetId& aTarget)
{
  std::size_t at = aTarget.mValue.find('@');
  return at == std::string::npos ? aTarget.mValue
                                 : aTarget.mValue.substr(at + 1);
}

/** Returns the instance part of a target id, or an empty string if it has none.
 * Pure. */
inline std::string
InstanceOf(const TargetId& aTarget)
{
  std::size_t at = aTarget.mValue.find('@');
  return at == std::string::npos ? std::string() : aTarget.mValue.substr(0, at);
}

} // namespace vanillascale

namespace std {
template<typename Kind>
struct hash<vanillascale::Id<Kind>>
{
  size_t operator()(const vanillascale::Id<Kind>& aId) const noexcept
  {
    return hash<string>()(aId.mValue);
  }
};
} // namespace std

#endif
