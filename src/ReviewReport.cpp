#include "ReviewReport.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>

namespace vanillascale {

namespace {

using Json = nlohmann::json;

/** A document with a mistake in each of 900,000 accounts is still readable. */
constexpr std::size_t kMaxListedPerKind = 20;
constexpr std::size_t kMaxListedDifferences = 200;
constexpr const char* kMoreSuffix = " more; --json lists all\n";

std::string
Count(std::size_t aCount, const std::string& aNoun)
{
  return std::to_string(aCount) + " " + aNoun + (aCount == 1 ? "" : "s");
}

std::string
FormatValue(const std::string& aText)
{
  return aText.empty() ? "not set" : aText;
}

std::string
FormatDifference(const ObjectDifference& aDifference)
{
  std::string line = "  ";
  line += DifferenceKindName(aDifference.mKind);
  line += " " + aDifference.mType;
  if (!aDifference.mName.empty()) {
    line += " " + aDifference.mName;
  }
  const char* separator = ": ";
  for (const MemberDifference& it : aDifference.mMembers) {
    line += separator + it.mName + " " + FormatValue(it.mFrom) + " -> " +
            FormatValue(it.mTo);
    separator = ", ";
  }
  if (aDifference.mAddedKeys > 0) {
    line += separator + Count(aDifference.mAddedKeys, "key") + " added";
    separator = ", ";
  }
  if (aDifference.mRemovedKeys > 0) {
    line += separator + Count(aDifference.mRemovedKeys, "key") + " removed";
  }
  return line + "\n";
}

std::string
FormatDifferences(const ReviewReport& aReport)
{
  if (aReport.mComparedWith.empty()) {
    return "";
  }
  std::array<std::size_t, 3> counts{};
  for (const ObjectDifference& it : aReport.mDifferences) {
    ++counts[static_cast<std::size_t>(it.mKind)];
  }
  std::string text = "compared with " + aReport.mComparedWith + ": ";
  if (aReport.mDifferences.empty()) {
    return text + "no differences\n";
  }
  text += std::to_string(counts[0]) + " added, " + std::to_string(counts[1]) +
          " removed, " + std::to_string(counts[2]) + " changed\n";
  std::size_t listed = 0;
  for (const ObjectDifference& it : aReport.mDifferences) {
    if (listed == kMaxListedDifferences) {
      return text + "  and " +
             std::to_string(aReport.mDifferences.size() - listed) + kMoreSuffix;
    }
    text += FormatDifference(it);
    ++listed;
  }
  return text;
}

std::string
FormatFindings(const ReviewReport& aReport)
{
  std::string text;
  std::map<FindingKind, std::size_t> counts;
  for (const Finding& it : aReport.mFindings) {
    bool isListed = it.mSeverity != FindingSeverity::Error &&
                    ++counts[it.mKind] <= kMaxListedPerKind;
    if (isListed) {
      text += std::string(SeverityName(it.mSeverity)) + " " + it.mPlace + " " +
              FindingKindName(it.mKind) + ": " + it.mText + "\n";
    }
  }
  for (const auto& [kind, count] : counts) {
    if (count > kMaxListedPerKind) {
      text += std::string(FindingKindName(kind)) + ": " +
              std::to_string(count - kMaxListedPerKind) + kMoreSuffix;
    }
  }
  return text;
}

/** Returns a value of a member; null where it is not set. */
Json
ValueToJson(const std::string& aText)
{
  return aText.empty() ? Json() : Json::parse(aText);
}

Json
DifferenceToJson(const ObjectDifference& aDifference)
{
  Json json{ { "change", DifferenceKindName(aDifference.mKind) },
             { "type", aDifference.mType },
             { "name", aDifference.mName },
             { "members", Json::array() },
             { "addedKeys", aDifference.mAddedKeys },
             { "removedKeys", aDifference.mRemovedKeys } };
  for (const MemberDifference& it : aDifference.mMembers) {
    json["members"].push_back({ { "name", it.mName },
                                { "from", ValueToJson(it.mFrom) },
                                { "to", ValueToJson(it.mTo) } });
  }
  return json;
}

} // namespace

std::size_t
CountFindings(const ReviewReport& aReport, FindingSeverity aSeverity)
{
  std::size_t count = 0;
  for (const Finding& it : aReport.mFindings) {
    count += it.mSeverity == aSeverity ? 1 : 0;
  }
  return count;
}

std::string
FormatErrors(const ReviewReport& aReport)
{
  std::string text;
  for (const Finding& it : aReport.mFindings) {
    if (it.mSeverity == FindingSeverity::Error) {
      text += aReport.mFile + ": " + it.mPlace + " " + it.mText + "\n";
    }
  }
  return text;
}

std::string
FormatReport(const ReviewReport& aReport)
{
  std::string text;
  if (aReport.mDocument) {
    const Document& document = *aReport.mDocument;
    text = "environment " + document.mEnvironment + ": " +
           std::to_string(document.mServices.size()) + " services, " +
           std::to_string(document.mRoutes.size()) + " routes, " +
           (document.mAccounts.empty()
              ? ""
              : std::to_string(document.mAccounts.size()) + " accounts, ") +
           "no faults\n";
  }
  text += FormatFindings(aReport) + FormatDifferences(aReport);
  return text + Count(CountFindings(aReport, FindingSeverity::Error), "error") +
         ", " +
         Count(CountFindings(aReport, FindingSeverity::Warning), "warning") +
         ", " + Count(CountFindings(aReport, FindingSeverity::Note), "note") +
         "\n";
}

std::string
FormatReportAsJson(const ReviewReport& aReport)
{
  Json json{ { "file", aReport.mFile },
             { "errors", CountFindings(aReport, FindingSeverity::Error) },
             { "warnings", CountFindings(aReport, FindingSeverity::Warning) },
             { "notes", CountFindings(aReport, FindingSeverity::Note) },
             { "findings", Json::array() },
             { "comparedWith",
               aReport.mComparedWith.empty() ? Json()
                                             : Json(aReport.mComparedWith) },
             { "differences", Json::array() } };
  if (aReport.mDocument) {
    json["environment"] = aReport.mDocument->mEnvironment;
    json["services"] = aReport.mDocument->mServices.size();
    json["routes"] = aReport.mDocument->mRoutes.size();
    json["accounts"] = aReport.mDocument->mAccounts.size();
  }
  for (const Finding& it : aReport.mFindings) {
    json["findings"].push_back({ { "severity", SeverityName(it.mSeverity) },
                                 { "place", it.mPlace },
                                 { "kind", FindingKindName(it.mKind) },
                                 { "text", it.mText } });
  }
  for (const ObjectDifference& it : aReport.mDifferences) {
    json["differences"].push_back(DifferenceToJson(it));
  }
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace vanillascale
