#ifndef VANILLASCALE_SETTINGS_H
#define VANILLASCALE_SETTINGS_H

#include "Clock.h"
#include "Ids.h"

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace vanillascale {

/** An IPv4 address and TCP port. */
struct Endpoint
{
  /** The IPv4 address in dotted-decimal notation. */
  std::string mHost;
  std::uint16_t mPort = 0;
};

/** The interface of the platform. */
enum class PlatformApi
{
  /** A log of streams and a VM list, with the HTTP headers of vanillascale. */
  Log,
  /** A store of keyed topics, translated by the adapter in platform/. */
  Store
};

/** The validated settings of vanillascaled. */
struct Settings
{
  /** The path of a file with settings, which flags and environment variables
   * override; empty for none. */
  std::string mBootFile;
  /** The address for callers. */
  Endpoint mListen;
  /** The address for other proxies; also the name of this node. */
  Endpoint mPeer;
  /** The address of the admin pages. */
  Endpoint mAdmin;
  /** An additional address of the admin pages; port 0 means none. */
  Endpoint mReady;
  /** The address of the platform's interface. */
  Endpoint mPlatform;
  PlatformApi mPlatformApi = PlatformApi::Log;
  /** The guarantees and requirements of the platform, as "name=value" texts
   * separated by commas, for the adapter. */
  std::string mPlatformTerms;
  /** Addresses of other proxies. Only the hosts are used; the port is always
   * this node's peer port. */
  std::vector<Endpoint> mSeeds;
  /** The time from SIGTERM until the process must have exited; 0 if nothing
   * terminates the process. */
  Duration mStopWithin{ 0 };
  /** The availability zone of this VM. */
  ZoneName mZone;
  /** The environment whose document is served. */
  std::string mEnvironment;
  /** The group in the VM list that holds the proxies of the environment. */
  std::string mVmGroup;
  /** The maximum size of a request body, in bytes. */
  std::size_t mMaxBodyBytes = 0;
  /** The maximum number of open caller connections. */
  unsigned mMaxCallers = 0;
  /** The memory of the machine, in MB (10^6 bytes); 0 if it is not known. */
  unsigned mMemoryMb = 0;
  /** The descriptors that the process may have; 0 for the limit that it was
   * started with. */
  unsigned mMaxFds = 0;
  /** The lowest average rates of a body from and an answer to a caller, in
   * bytes per second. */
  std::size_t mMinReceiveRate = 0;
  std::size_t mMinSendRate = 0;
  /** The longest time without progress of a body or an answer. */
  Duration mStallTime{ 0 };
  /** The longest time for which a request waits for memory. */
  Duration mMemoryWait{ 0 };
  /** Whether the whole fleet is started for the first time, before there are
   * any callers. */
  bool mIsFirstStart = false;
  /** Whether targets are chosen locally, without schedulers. */
  bool mChoosesLocally = false;
  /** Whether services of the platform with the interface Store concentrate
   * their requests on the targets that answered last. On other platforms the
   * document says so for each service. */
  bool mConcentrate = false;
  /** The CPU share that the VM grants, in percent of a core. */
  unsigned mCorePercent = 0;
  /** The hedge budget of every service on platforms whose configuration has
   * none, in percent of the requests; 0 for no hedges. */
  unsigned mHedgePercent = 0;
};

/** A setting that is missing, unknown or not allowed. */
struct SettingFault
{
  /** The name of the setting, or the flag or variable as it was given. */
  std::string mSetting;
  std::string mValue;
  /** A description of the allowed values. */
  std::string mAllowed;
};

/** The result of parsing a command line. */
struct CommandLine
{
  /** Whether --help was given; mSettings is not set in this case. */
  bool mIsHelp = false;
  Settings mSettings;
};

/** Parses and validates the settings from flags, VANILLASCALE_* environment
 * variables and the file named by the setting "boot", in this order of
 * precedence. Returns all faults found. The environment is passed as an
 * argument, so that the file is the only external input.
 *
 * \code
 *   auto line = ParseSettings({ "--zone=a" }, { { "VANILLASCALE_LISTEN",
 *                                                "127.0.0.1:8080" } });
 * \endcode */
tl::expected<CommandLine, std::vector<SettingFault>>
ParseSettings(const std::vector<std::string>& aArguments,
              const std::map<std::string, std::string>& aEnvironment);

/** Returns the text of --help, which lists the variable, default, description
 * and allowed values of each setting. */
std::string
SettingsHelp();

/** Parses "ip:port" with an IPv4 address and a port from 1 to 65535. Returns a
 * description of the error if the text has another form. Pure. */
tl::expected<Endpoint, std::string>
ParseEndpoint(const std::string& aText);

} // namespace vanillascale

#endif
