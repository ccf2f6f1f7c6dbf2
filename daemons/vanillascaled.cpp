#include "EventNumbers.h"
#include "NodeRuntime.h"
#include "PlatformClient.h"
#include "StoreAdapter.h"

#include <csignal>
#include <iostream>
#include <malloc.h>

using namespace vanillascale;

namespace {

constexpr int kExitStopped = 0;
constexpr int kExitAddress = 1;
constexpr int kExitSettings = 2;

std::map<std::string, std::string>
ReadEnvironment(char** aEnvironment)
{
  std::map<std::string, std::string> variables;
  for (char** it = aEnvironment; *it; ++it) {
    std::string entry = *it;
    std::size_t equals = entry.find('=');
    variables[entry.substr(0, equals)] =
      equals == std::string::npos ? "" : entry.substr(equals + 1);
  }
  return variables;
}

PlatformAdapter
AdapterFor(const Settings& aSettings)
{
  if (aSettings.mPlatformApi != PlatformApi::Store) {
    return MakeLogAdapter();
  }
  PlatformSettings terms = ParsePlatformSettings(aSettings.mPlatformTerms);
  terms.mConcentrate = aSettings.mConcentrate;
  terms.mHedgePercent = aSettings.mHedgePercent;
  return MakeStoreAdapter(aSettings.mEnvironment, terms);
}

/** Makes the memory of large bodies go back to the system as soon as they are
 * freed. By default, glibc keeps blocks of up to 32 MB after the first one of
 * their size was freed. */
void
ReturnLargeBlocks()
{
#ifdef __GLIBC__
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
#endif
}

/** Reads the settings again: the file may have changed. */
tl::expected<Settings, std::string>
ReadAgain(const std::vector<std::string>& aArguments,
          const std::map<std::string, std::string>& aEnvironment)
{
  auto line = ParseSettings(aArguments, aEnvironment);
  if (!line) {
    return tl::make_unexpected(line.error().front().mSetting + ": " +
                               line.error().front().mAllowed);
  }
  return line->mSettings;
}

} // namespace

int
main(int argc, char** argv, char** aEnvironment)
{
  std::vector<std::string> arguments{ argv + 1, argv + argc };
  auto variables = ReadEnvironment(aEnvironment);
  auto line = ParseSettings(arguments, variables);
  if (!line) {
    for (const SettingFault& it : line.error()) {
      std::cerr << "event=" << kEventSettingsRefused << " setting "
                << it.mSetting << ": \"" << it.mValue
                << "\" is not allowed; allowed: " << it.mAllowed << "\n";
    }
    return kExitSettings;
  }
  if (line->mIsHelp) {
    std::cout << SettingsHelp();
    return kExitStopped;
  }
  std::signal(SIGPIPE, SIG_IGN);
  ReturnLargeBlocks();
  auto runtime =
    NodeRuntime::Make(line->mSettings, AdapterFor(line->mSettings), [&] {
      return ReadAgain(arguments, variables);
    });
  if (!runtime) {
    std::cerr << "event=" << kEventServerFailed << " " << runtime.error()
              << "\n";
    return kExitAddress;
  }
  (*runtime)->Run();
  return kExitStopped;
}
