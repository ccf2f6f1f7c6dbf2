#ifndef VANILLASCALE_MSGPACKTYPES_H
#define VANILLASCALE_MSGPACKTYPES_H

#include "Clock.h"

#include <msgpack.hpp>

/** msgpack adaptors for types that the library does not support. A Duration is
 * encoded as its number of microseconds. */
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  template<>
  struct convert<vanillascale::Duration>
  {
    const msgpack::object& operator()(const msgpack::object& aObject,
                                      vanillascale::Duration& aValue) const
    {
      aValue =
        vanillascale::Duration(aObject.as<vanillascale::Duration::rep>());
      return aObject;
    }
  };

  template<>
  struct pack<vanillascale::Duration>
  {
    template<typename Stream>
    msgpack::packer<Stream>& operator()(
      msgpack::packer<Stream>& aPacker,
      const vanillascale::Duration& aValue) const
    {
      return aPacker.pack(aValue.count());
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif
