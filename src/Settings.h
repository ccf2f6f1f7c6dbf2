#ifndef VANILLASCALE_SETTINGS_H
#define VANILLASCALE_SETTINGS_H

#include "Clock.h"
#include "Ids.h"

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace vanillascale {

/** An address at which a process listens or is reached. */
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

/** Which interface the platform speaks. */
enum class PlatformApi
{
  /** A log of streams and a VM list, with the product's own headers. */
  Log,
  /** A store of keyed topics, as the adapter in platform/ translates it. */
  Store
};

/** The settings of vanillascaled, checked as a whole. */
struct Settings
{
  /** A file with settings of lower precedence; empty for none. */
  std::string mBootFile;
  Endpoint mListen;
  Endpoint mPeer;
  Endpoint mAdmin;
  /** A second address of the admin pages; its port is 0 for none. */
  Endpoint mReady;
  Endpoint mPlatform;
  PlatformApi mPlatformApi = PlatformApi::Log;
  /** What the platform promises and asks, for its adapter to read. */
  std::string mPlatformTerms;
  /** Hosts of other proxies; their ports are this node's peer port. */
  std::vector<Endpoint> mSeeds;
  /** A process that was told to stop is ended after so long; 0 for never. */
  Duration mStopWithin{ 0 };
  ZoneName mZone;
  std::string mEnvironment;
  std::string mVmGroup;
  std::size_t mMaxBodyBytes = 0;
  unsigned mMaxCallers = 0;
  /** The whole fleet starts for the first time: nobody calls yet. */
  bool mIsFirstStart = false;
  /** Choose targets locally, without schedulers. */
  bool mChoosesLocally = false;
  /** The processor share that the VM grants, in percent of a core. */
  unsigned mCorePercent = 0;
};

/** One setting that is missing or not allowed. */
struct SettingFault
{
  std::string mSetting;
  std::string mValue;
  std::string mAllowed;
};

/** What a command line asks for. */
struct CommandLine
{
  bool mIsHelp = false;
  Settings mSettings;
};

/** Reads flags, VANILLASCALE_* environment variables and the file that the
 * setting "boot" names, of which the former goes before the latter. Returns
 * every fault at once. The environment is an argument; only the file is read.
 *
 * \code
 *   auto line = ParseSettings({ "--zone=a" }, { { "VANILLASCALE_LISTEN",
 *                                                "127.0.0.1:8080" } });
 * \endcode */
tl::expected<CommandLine, std::vector<SettingFault>>
ParseSettings(const std::vector<std::string>& aArguments,
              const std::map<std::string, std::string>& aEnvironment);

/** The text of --help: every setting, its variable, default and meaning. */
std::string
SettingsHelp();

/** Reads "ip:port"; nothing where it is none. Pure. */
tl::expected<Endpoint, std::string>
ParseEndpoint(const std::string& aText);

} // namespace vanillascale

#endif
