#include "ConfigHistory.h"

namespace vanillascale {

namespace {

constexpr int kMaxPromoteAttempts = 5;

/** Sets aState from the first checkpoint that leaves no gap before aFirst, the
 * first offset that is kept. Returns false if there is no such checkpoint. */
bool
StartFromCheckpoint(ConfigState& aState,
                    LogOffset aFirst,
                    const std::vector<LogRecord>& aRecords)
{
  for (const LogRecord& it : aRecords) {
    auto checkpoint = ParseCheckpoint(it.mPayload);
    if (checkpoint && checkpoint->mOffset + 1 >= aFirst) {
      aState = std::move(*checkpoint);
      return true;
    }
  }
  return false;
}

/** Reads all records of a stream that the platform keeps, and sets aFirst to
 * the first offset that is kept. */
tl::expected<std::vector<LogRecord>, std::string>
ReadAllRecords(PlatformClient& aPlatform,
               const std::string& aStream,
               LogOffset& aFirst)
{
  std::vector<LogRecord> records;
  LogOffset after = 0;
  for (;;) {
    LogReadResult read = aPlatform.Read(aStream, after);
    if (!read.mIsSuccessful) {
      return tl::make_unexpected(
        "the platform's log cannot be read; try again later");
    }
    aFirst = read.mFirst;
    records.insert(records.end(), read.mRecords.begin(), read.mRecords.end());
    if (read.mRecords.empty() || records.back().mOffset >= read.mEnd) {
      return records;
    }
    after = records.back().mOffset;
  }
}

/** Returns the offset of the first record of the change with id aId, and the
 * verdict on it. */
std::optional<Promotion>
FindPromotion(const ConfigHistory& aHistory, const std::string& aId)
{
  for (const HistoryEntry& it : aHistory.mEntries) {
    auto change = ParseChange(it.mRecord.mPayload);
    if (change && change->mId == aId) {
      return Promotion{ it.mRecord.mOffset, it.mVerdict };
    }
  }
  return std::nullopt;
}

} // namespace

std::string
ConfigStreamName(const std::string& aEnvironment)
{
  return aEnvironment + ".config";
}

tl::expected<ConfigHistory, std::string>
ReadHistory(PlatformClient& aPlatform,
            const std::string& aEnvironment,
            LogOffset aLast)
{
  LogOffset first = 1;
  auto records =
    ReadAllRecords(aPlatform, ConfigStreamName(aEnvironment), first);
  if (!records) {
    return tl::make_unexpected(records.error());
  }
  ConfigHistory history;
  if (first > 1 && !StartFromCheckpoint(history.mState, first, *records)) {
    return tl::make_unexpected("the log no longer contains the whole "
                               "configuration, nor a usable checkpoint");
  }
  for (LogRecord& it : *records) {
    if (aLast != 0 && it.mOffset > aLast) {
      break;
    }
    if (it.mOffset > history.mState.mOffset) {
      RecordVerdict verdict = FoldRecord(history.mState, it);
      history.mEntries.push_back({ std::move(it), std::move(verdict) });
    }
  }
  return history;
}

tl::expected<Promotion, std::string>
Promote(PlatformClient& aPlatform, const Change& aChange)
{
  for (int i = 0; i < kMaxPromoteAttempts; ++i) {
    AppendOutcome outcome = aPlatform.Append(
      ConfigStreamName(aChange.mEnvironment), FormatChange(aChange));
    if (outcome == AppendOutcome::Refused) {
      continue;
    }
    auto history = ReadHistory(aPlatform, aChange.mEnvironment);
    if (!history) {
      continue;
    }
    if (auto promotion = FindPromotion(*history, aChange.mId)) {
      return *promotion;
    }
  }
  return tl::make_unexpected(
    "the change was not found in the platform's log; repeat with --id " +
    aChange.mId + "; a change is accepted at most once per id");
}

} // namespace vanillascale
