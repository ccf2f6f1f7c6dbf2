#include "Documents.h"
#include "Scenarios.h"
#include "World.h"

#include "Hash.h"

/** Measure 3: short work behind long. */
namespace vanillascale::bench {

namespace {

constexpr Duration kMeanShort = milliseconds(20);
constexpr Duration kMeanLong = seconds(1);
constexpr Duration kLength = seconds(40);
constexpr Duration kSettled = seconds(8);
/** Sixteen workers with three slots each. */
constexpr std::size_t kTargets = 16;
constexpr double kSlots = 48;
constexpr double kShortLoad = 0.4;
constexpr double kLongLoad = 2;

Setup
ShortAndLong(std::uint64_t aSeed, bool aHasLong)
{
  Setup setup;
  setup.mDocument = kLedgerDocument;
  setup.mTargets = kTargets;
  setup.mLinkDelay = microseconds(500);
  setup.mLength = kLength;
  Random random(Hash64("short", aSeed));
  Arrival reads;
  reads.mPath = "/first";
  reads.mPriority = 1;
  reads.mDeadline = seconds(20);
  AddArrivals(
    setup.mArrivals,
    random,
    setup.mNodes,
    Duration(0),
    kLength,
    [](Duration) { return kShortLoad * kSlots / 0.020; },
    reads,
    kMeanShort);
  if (aHasLong) {
    Arrival pulls;
    pulls.mPath = "/long";
    pulls.mPriority = 3;
    pulls.mIsLong = true;
    pulls.mDeadline = seconds(60);
    AddArrivals(
      setup.mArrivals,
      random,
      setup.mNodes,
      Duration(0),
      kLength,
      [](Duration) { return kLongLoad * kSlots; },
      pulls,
      kMeanLong);
  }
  return setup;
}

/** Response times of short work and what it waited beyond its own work. */
struct ShortTimes
{
  double mP99 = 0;
  double mWaitP99 = 0;
  double mLongestWait = 0;
};

ShortTimes
TimesOf(const Setup& aSetup, const Outcome& aOutcome)
{
  std::vector<double> times;
  std::vector<double> waits;
  for (std::size_t i = 0; i < aSetup.mArrivals.size(); ++i) {
    const Arrival& arrival = aSetup.mArrivals[i];
    bool counts = !arrival.mIsLong && arrival.mAt >= kTrafficStart + kSettled &&
                  aOutcome.mResults[i].mEndedAt != TimePoint{};
    if (counts) {
      Duration time = aOutcome.mResults[i].mEndedAt - arrival.mAt;
      times.push_back(std::chrono::duration<double, std::milli>(time).count());
      waits.push_back(
        std::chrono::duration<double, std::milli>(time - arrival.mWork)
          .count());
    }
  }
  auto percentile = [](std::vector<double>& aValues) {
    auto n = static_cast<std::ptrdiff_t>(
      0.99 * static_cast<double>(aValues.size() - 1));
    std::nth_element(aValues.begin(), aValues.begin() + n, aValues.end());
    return aValues[static_cast<std::size_t>(n)];
  };
  ShortTimes result;
  result.mP99 = percentile(times);
  result.mLongestWait = *std::max_element(waits.begin(), waits.end());
  result.mWaitP99 = percentile(waits);
  return result;
}

std::vector<Measure>
RunLongWork(std::uint64_t aSeed)
{
  Setup alone = ShortAndLong(aSeed, false);
  Setup mixed = ShortAndLong(aSeed, true);
  Measure ratio{ kShortRatio.mName, &kShortRatio, {} };
  Measure p99{ "short p99 with long work, ms", nullptr, {} };
  Measure wait{ "short p99 of the wait alone, ms", nullptr, {} };
  Measure longest{ "short longest wait, ms", nullptr, {} };
  Measure share{ kLongShare.mName, &kLongShare, {} };
  for (const Policy& policy : std::vector<Policy>{
         Leases{}, RoundRobin{}, TwoRandomOwn{}, TwoRandomReported{} }) {
    ShortTimes without = TimesOf(alone, Simulate(policy, alone, {}, aSeed));
    Outcome outcome = Simulate(policy, mixed, {}, aSeed);
    ShortTimes with = TimesOf(mixed, outcome);
    std::string name = NameOf(policy);
    ratio.mFigures.push_back({ name, with.mP99 / without.mP99 });
    p99.mFigures.push_back({ name, with.mP99 });
    wait.mFigures.push_back({ name, with.mWaitP99 });
    longest.mFigures.push_back({ name, with.mLongestWait });
    double shortTime =
      std::chrono::duration<double>(outcome.mBusy - outcome.mLong).count();
    double longTime = std::chrono::duration<double>(outcome.mLong).count();
    double all = kSlots * std::chrono::duration<double>(kLength).count();
    share.mFigures.push_back({ name, longTime / (all - shortTime) });
  }
  return { ratio, p99, wait, longest, share };
}

} // namespace

std::vector<Scenario>
LongWorkScenarios()
{
  return { { "long-work/overnight-pulls", true, RunLongWork } };
}

} // namespace vanillascale::bench
