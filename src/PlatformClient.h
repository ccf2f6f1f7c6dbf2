#ifndef VANILLASCALE_PLATFORMCLIENT_H
#define VANILLASCALE_PLATFORMCLIENT_H

#include "PlatformPort.h"

#include <memory>

namespace vanillascale {

/** The adapter for the product's own platform interface: a log of streams and a
 * VM list over HTTP. */
PlatformAdapter
MakeLogAdapter();

/** The same platform for commands, which wait for each answer. One thread at a
 * time per object. */
class PlatformClient
{
public:
  /** Makes a client; no connection is made yet. */
  static std::unique_ptr<PlatformClient> Make(const Endpoint& aPlatform);

  ~PlatformClient();

  /** Appends a record. The outcome is Unknown unless the platform said yes or
   * no, or could not be reached at all. */
  AppendOutcome Append(const std::string& aStream, const std::string& aPayload);

  /** Reads the records after an offset; mIsSuccessful is false where it failed.
   */
  LogReadResult Read(const std::string& aStream, LogOffset aAfter);

  /** Reads the VM list; mIsSuccessful is false where it failed. */
  VmListReadResult ReadVms();

private:
  struct Impl;
  explicit PlatformClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/** Reads the platform's answer to a read; mIsSuccessful is false where it is
 * none. Any text is allowed. Pure. */
LogReadResult
ParseLogRead(const std::string& aStream, const std::string& aText);

/** Reads the platform's VM list; mIsSuccessful is false where it is none. Pure.
 */
VmListReadResult
ParseVmList(const std::string& aText);

} // namespace vanillascale

#endif
