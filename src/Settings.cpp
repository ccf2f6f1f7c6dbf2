#include "Settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <sstream>

namespace vanillascale {

namespace {

namespace options = boost::program_options;

/** Stores the value of a setting. Returns whether the value is allowed. */
using Setter = std::function<bool(Settings&, const std::string&)>;

/** The definition of a setting, from which its flag, environment variable, help
 * text and validation are derived. */
struct SettingDefinition
{
  const char* mName;
  const char* mDefault;
  const char* mDescription;
  const char* mAllowed;
  Setter mSetter;
};

constexpr const char* kVariablePrefix = "VANILLASCALE_";
/** Maximum length of a zone, environment or VM group name, in bytes. */
constexpr std::size_t kMaxNameLength = 64;
/** Bounds of the setting max-body-bytes. */
constexpr unsigned long kMinBodyBytes = 1024;
constexpr unsigned long kMaxBodyBytes = 64UL * 1024 * 1024;
/** Bounds of the setting max-callers, in connections. */
constexpr unsigned long kMinCallers = 4;
constexpr unsigned long kMaxCallers = 4096;
/** Upper bound of the setting hedge-percent. */
constexpr unsigned long kMaxHedgePercent = 100;
/** Bounds of the setting memory-mb: the state of a node takes up to 32 MB, and
 * the program 12 MB. */
constexpr unsigned long kMinMemoryMb = 64;
constexpr unsigned long kMaxMemoryMb = 1024UL * 1024;
constexpr unsigned long kMinFds = 64;
constexpr unsigned long kMaxFds = 1024UL * 1024;
/** Upper bound of the lowest rates: a quarter of 1 Mbit/s, the slowest links of
 * callers, which may pause besides. */
constexpr unsigned long kMaxLowestRate = 31250;
/** Bounds of the setting stall-ms: callers may pause for 2 s. */
constexpr unsigned long kMinStallMs = 4000;
constexpr unsigned long kMaxStallMs = 600000;
constexpr unsigned long kMaxMemoryWaitMs = 60000;
/** Upper bound of the setting stop-within-ms. */
constexpr unsigned long kMaxStopMs = 600000;

/** Returns whether a text is a name of 1 to kMaxNameLength letters, digits, '-'
 * or '_'. */
bool
IsName(const std::string& aText)
{
  auto isAllowed = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_';
  };
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

/** Parses a decimal number without a sign. The whole text must be the number.
 */
tl::expected<unsigned long, std::string>
ParseNumber(const std::string& aText)
{
  unsigned long value = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc() || stop != end) {
    return tl::make_unexpected("is not a number");
  }
  return value;
}

/** Returns a setter that accepts an address as "ip:port". */
Setter
EndpointSetter(Endpoint Settings::*aMember)
{
  return [aMember](Settings& aSettings, const std::string& aText) {
    auto endpoint = ParseEndpoint(aText);
    if (endpoint) {
      aSettings.*aMember = *endpoint;
    }
    return endpoint.has_value();
  };
}

/** Returns a setter that accepts names as IsName defines them. */
Setter
NameSetter(std::string Settings::*aMember)
{
  return [aMember](Settings& aSettings, const std::string& aText) {
    aSettings.*aMember = aText;
    return IsName(aText);
  };
}

/** Returns a setter that accepts numbers from aMin to aMax. */
template<typename Number>
Setter
NumberSetter(Number Settings::*aMember, unsigned long aMin, unsigned long aMax)
{
  return [=](Settings& aSettings, const std::string& aText) {
    auto value = ParseNumber(aText);
    bool isInRange = value && *value >= aMin && *value <= aMax;
    if (isInRange) {
      aSettings.*aMember = static_cast<Number>(*value);
    }
    return isInRange;
  };
}

bool
SetZone(Settings& aSettings, const std::string& aText)
{
  aSettings.mZone = ZoneName(aText);
  return IsName(aText);
}

bool
SetBootFile(Settings& aSettings, const std::string& aText)
{
  aSettings.mBootFile = aText;
  return true;
}

/** Stores the additional address of the admin pages; an empty text means none.
 */
bool
SetReadyEndpoint(Settings& aSettings, const std::string& aText)
{
  return aText.empty() || EndpointSetter(&Settings::mReady)(aSettings, aText);
}

bool
SetPlatformTerms(Settings& aSettings, const std::string& aText)
{
  aSettings.mPlatformTerms = aText;
  return true;
}

bool
SetPlatformApi(Settings& aSettings, const std::string& aText)
{
  aSettings.mPlatformApi =
    aText == "store" ? PlatformApi::Store : PlatformApi::Log;
  return aText == "store" || aText == "log";
}

bool
SetFirstStart(Settings& aSettings, const std::string& aText)
{
  aSettings.mIsFirstStart = aText == "true";
  return aText == "true" || aText == "false";
}

bool
SetConcentrate(Settings& aSettings, const std::string& aText)
{
  aSettings.mConcentrate = aText == "true";
  return aText == "true" || aText == "false";
}

bool
SetPlacement(Settings& aSettings, const std::string& aText)
{
  aSettings.mChoosesLocally = aText == "alone";
  return aText == "lease" || aText == "alone";
}

/** Stores the addresses of a list separated by commas. Every address must be
 * valid. */
bool
SetSeeds(Settings& aSettings, const std::string& aText)
{
  aSettings.mSeeds.clear();
  std::istringstream list(aText);
  std::string item;
  bool isValid = true;
  while (std::getline(list, item, ',')) {
    auto endpoint = ParseEndpoint(item);
    isValid = isValid && endpoint;
    if (endpoint) {
      aSettings.mSeeds.push_back(*endpoint);
    }
  }
  return isValid;
}

/** Stores a number of cores, which may be a fraction such as 0.2, in percent of
 * a core. */
bool
SetCores(Settings& aSettings, const std::string& aText)
{
  constexpr double kMinCores = 0.01;
  constexpr double kMaxCores = 1024;
  double cores = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, ec] = std::from_chars(aText.data(), end, cores);
  bool isInRange = ec == std::errc() && stop == end && cores >= kMinCores &&
                   cores <= kMaxCores;
  aSettings.mCorePercent =
    isInRange ? static_cast<unsigned>(std::lround(cores * 100)) : 0;
  return isInRange;
}

/** Returns a setter that accepts durations in milliseconds. */
Setter
MillisecondsSetter(Duration Settings::*aMember,
                   unsigned long aMin,
                   unsigned long aMax)
{
  return [=](Settings& aSettings, const std::string& aText) {
    auto ms = ParseNumber(aText);
    bool isInRange = ms && *ms >= aMin && *ms <= aMax;
    if (isInRange) {
      aSettings.*aMember = std::chrono::milliseconds(*ms);
    }
    return isInRange;
  };
}

/** Returns a setter that accepts 0, which leaves the number to the process, and
 * numbers from aMin to aMax. */
Setter
OptionalNumberSetter(unsigned Settings::*aMember,
                     unsigned long aMin,
                     unsigned long aMax)
{
  return [=](Settings& aSettings, const std::string& aText) {
    if (aText == "0") {
      aSettings.*aMember = 0;
      return true;
    }
    return NumberSetter(aMember, aMin, aMax)(aSettings, aText);
  };
}

constexpr const char* kAddressFormat =
  "an IPv4 address and a port, such as 10.0.0.1:80";
constexpr const char* kNameFormat = "1 to 64 letters, digits, '-' or '_'";

/** Returns the settings of addresses and of the platform. */
std::vector<SettingDefinition>
ConnectionSettings()
{
  return {
    { "boot",
      "",
      "a file with more settings, one `name = value` per line",
      "the path of a file",
      SetBootFile },
    { "listen",
      "",
      "the address for callers",
      kAddressFormat,
      EndpointSetter(&Settings::mListen) },
    { "peer",
      "",
      "the address for other proxies; also the name of this node",
      kAddressFormat,
      EndpointSetter(&Settings::mPeer) },
    { "admin",
      "",
      "the address of /ready, /live, /metrics and /status",
      kAddressFormat,
      EndpointSetter(&Settings::mAdmin) },
    { "ready",
      "",
      "an additional address of the pages of admin",
      kAddressFormat,
      SetReadyEndpoint },
    { "platform",
      "",
      "the address of the platform's log and VM list",
      kAddressFormat,
      EndpointSetter(&Settings::mPlatform) },
    { "platform-api",
      "log",
      "the interface of the platform",
      "log or store",
      SetPlatformApi },
    { "platform-terms",
      "",
      "the guarantees and requirements of the platform, for its adapter",
      "name=value texts separated by commas",
      SetPlatformTerms },
    { "seeds",
      "",
      "addresses of other proxies; their port is replaced by this node's peer "
      "port",
      "addresses separated by commas",
      SetSeeds },
  };
}

/** Returns the settings of the machine and of how slow callers may be. */
std::vector<SettingDefinition>
ResourceSettings()
{
  return {
    { "memory-mb",
      "0",
      "the memory of the machine, in MB of 10^6 bytes; 60% of it may be held "
      "for callers, targets and peers. 0: not known, 260 is assumed",
      "0 or a number from 64 to 1048576",
      OptionalNumberSetter(&Settings::mMemoryMb, kMinMemoryMb, kMaxMemoryMb) },
    { "max-fds",
      "0",
      "the descriptors that the process may have; a quarter, and no less than "
      "256 of more than 512, is not for callers. 0: the limit that the process "
      "was started with",
      "0 or a number from 64 to 1048576",
      OptionalNumberSetter(&Settings::mMaxFds, kMinFds, kMaxFds) },
    { "min-receive-rate",
      "4096",
      "the lowest average rate of a request's body, in bytes per second",
      "a number from 0 to 31250",
      NumberSetter(&Settings::mMinReceiveRate, 0, kMaxLowestRate) },
    { "min-send-rate",
      "4096",
      "the lowest average rate at which a caller reads an answer, in bytes per "
      "second",
      "a number from 0 to 31250",
      NumberSetter(&Settings::mMinSendRate, 0, kMaxLowestRate) },
    { "stall-ms",
      "20000",
      "the longest time in which less than 16 KiB of a body come or less than "
      "16 KiB of an answer are read",
      "a number from 4000 to 600000",
      MillisecondsSetter(&Settings::mStallTime, kMinStallMs, kMaxStallMs) },
    { "memory-wait-ms",
      "5000",
      "the longest time for which a request waits for memory before it is "
      "refused",
      "a number from 0 to 60000",
      MillisecondsSetter(&Settings::mMemoryWait, 0, kMaxMemoryWaitMs) },
  };
}

/** Returns the settings of the process and its limits. */
std::vector<SettingDefinition>
ProcessSettings()
{
  return {
    { "stop-within-ms",
      "0",
      "the time from SIGTERM until the process must have exited; 0 if "
      "nothing terminates it",
      "a number from 0 to 600000",
      MillisecondsSetter(&Settings::mStopWithin, 0, kMaxStopMs) },
    { "first-start",
      "false",
      "whether the whole fleet is started for the first time, before there are "
      "any callers, so that only the seeds read from the platform immediately",
      "true or false",
      SetFirstStart },
    { "placement",
      "lease",
      "whether slots are leased from the scheduler of a service or each proxy "
      "chooses targets locally",
      "lease or alone",
      SetPlacement },
    { "concentrate",
      "false",
      "whether requests are concentrated on the targets that answered last, "
      "for "
      "services of the platform interface store",
      "true or false",
      SetConcentrate },
    { "cores",
      "1",
      "the CPU share that the VM grants; duties are assigned to VMs "
      "with a large share",
      "a number of cores from 0.01 to 1024",
      SetCores },
    { "zone", "", "the availability zone of this VM", kNameFormat, SetZone },
    { "environment",
      "",
      "the environment whose document is served",
      kNameFormat,
      NameSetter(&Settings::mEnvironment) },
    { "vm-group",
      "",
      "the group in the VM list that holds the proxies of the environment",
      kNameFormat,
      NameSetter(&Settings::mVmGroup) },
    { "max-body-bytes",
      "1048576",
      "the maximum size of a request body, in bytes",
      "a number from 1024 to 67108864",
      NumberSetter(&Settings::mMaxBodyBytes, kMinBodyBytes, kMaxBodyBytes) },
    { "max-callers",
      "400",
      "the maximum number of open caller connections",
      "a number from 4 to 4096",
      NumberSetter(&Settings::mMaxCallers, kMinCallers, kMaxCallers) },
    { "hedge-percent",
      "0",
      "the hedge budget of every service, in percent of its requests, with "
      "platform-api=store; 0 for no hedges",
      "a number from 0 to 100",
      NumberSetter(&Settings::mHedgePercent, 0, kMaxHedgePercent) },
  };
}

const std::vector<SettingDefinition>&
SettingDefinitions()
{
  static const std::vector<SettingDefinition> sDefinitions = [] {
    std::vector<SettingDefinition> definitions = ConnectionSettings();
    std::vector<SettingDefinition> processSettings = ProcessSettings();
    definitions.insert(
      definitions.end(), processSettings.begin(), processSettings.end());
    std::vector<SettingDefinition> resources = ResourceSettings();
    definitions.insert(definitions.end(), resources.begin(), resources.end());
    return definitions;
  }();
  return sDefinitions;
}

/** Returns the name of a setting's environment variable. */
std::string
VariableName(const std::string& aName)
{
  std::string variable = kVariablePrefix;
  for (char c : aName) {
    variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return variable;
}

/** Returns the options of the command line and of the settings file. */
options::options_description
DescribeOptions()
{
  options::options_description description("Settings");
  description.add_options()("help", "print this text");
  for (const SettingDefinition& it : SettingDefinitions()) {
    std::string text = std::string(it.mDescription) + " (" +
                       VariableName(it.mName) + "; " + it.mAllowed + ")";
    auto* value = options::value<std::string>();
    if (*it.mDefault != '\0') {
      value->default_value(it.mDefault);
    }
    description.add_options()(it.mName, value, text.c_str());
  }
  return description;
}

/** Records a fault for each variable that has the prefix but names no setting.
 */
void
RejectUnknownVariables(const std::map<std::string, std::string>& aEnvironment,
                       std::vector<SettingFault>& aFaults)
{
  for (const auto& it : aEnvironment) {
    const std::string& name = it.first;
    if (name.rfind(kVariablePrefix, 0) != 0) {
      continue;
    }
    bool isKnown = std::any_of(SettingDefinitions().begin(),
                               SettingDefinitions().end(),
                               [&](const SettingDefinition& aDefinition) {
                                 return VariableName(aDefinition.mName) == name;
                               });
    if (!isKnown) {
      aFaults.push_back({ name, it.second, "the settings that --help lists" });
    }
  }
}

/** Reads the settings file at a path; returns no settings if the path is empty.
 * Records a fault for a file that cannot be read or parsed and for each unknown
 * setting. */
std::map<std::string, std::string>
ReadSettingsFile(const std::string& aPath, std::vector<SettingFault>& aFaults)
{
  std::map<std::string, std::string> values;
  if (aPath.empty()) {
    return values;
  }
  std::ifstream in(aPath);
  if (!in) {
    aFaults.push_back({ "boot", aPath, "the path of a readable file" });
    return values;
  }
  options::options_description description = DescribeOptions();
  try {
    for (const auto& it :
         options::parse_config_file(in, description, true).options) {
      if (it.unregistered) {
        aFaults.push_back(
          { it.string_key, aPath, "the settings that --help lists" });
      } else {
        values[it.string_key] = it.value.empty() ? "" : it.value.front();
      }
    }
  } catch (const options::error& e) {
    aFaults.push_back({ "boot", aPath, e.what() });
  }
  return values;
}

} // namespace

tl::expected<CommandLine, std::vector<SettingFault>>
ParseSettings(const std::vector<std::string>& aArguments,
              const std::map<std::string, std::string>& aEnvironment)
{
  CommandLine line;
  std::vector<SettingFault> faults;
  options::options_description description = DescribeOptions();
  auto parsed = options::command_line_parser(aArguments)
                  .options(description)
                  .allow_unregistered();
  std::map<std::string, std::string> flags;
  try {
    for (const auto& it : parsed.run().options) {
      if (it.unregistered || it.string_key.empty()) {
        faults.push_back({ it.original_tokens.empty()
                             ? it.string_key
                             : it.original_tokens.front(),
                           "",
                           "the settings that --help lists" });
      } else if (it.string_key == "help") {
        line.mIsHelp = true;
      } else {
        flags[it.string_key] = it.value.empty() ? "" : it.value.front();
      }
    }
  } catch (const options::error& e) {
    faults.push_back({ "command line", e.what(), "see --help" });
  }
  if (line.mIsHelp) {
    return line;
  }
  RejectUnknownVariables(aEnvironment, faults);
  auto boot = aEnvironment.find(VariableName("boot"));
  std::string path = boot == aEnvironment.end() ? "" : boot->second;
  auto file =
    ReadSettingsFile(flags.count("boot") > 0 ? flags["boot"] : path, faults);
  for (const SettingDefinition& it : SettingDefinitions()) {
    auto flag = flags.find(it.mName);
    auto variable = aEnvironment.find(VariableName(it.mName));
    auto entry = file.find(it.mName);
    std::string value = entry == file.end() ? it.mDefault : entry->second;
    if (flag != flags.end()) {
      value = flag->second;
    } else if (variable != aEnvironment.end()) {
      value = variable->second;
    }
    if (!it.mSetter(line.mSettings, value)) {
      faults.push_back({ it.mName, value, it.mAllowed });
    }
  }
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return line;
}

std::string
SettingsHelp()
{
  std::ostringstream out;
  out << "vanillascaled: one proxy of the fleet\n"
         "Each setting is given as a flag or as the environment variable in "
         "parentheses.\n\n"
      << DescribeOptions()
      << "\nExit codes: 0 stopped gracefully, 1 an address cannot be used, "
         "2 a setting is invalid\n";
  return out.str();
}

} // namespace vanillascale
