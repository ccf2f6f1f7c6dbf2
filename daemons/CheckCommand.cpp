#include "CheckCommand.h"

#include "ConfigHistory.h"
#include "DocumentChecks.h"
#include "DocumentFile.h"
#include "ReviewReport.h"
#include "StoreAdapter.h"
#include "StoreConfig.h"
#include "StoreSnapshot.h"

#include <algorithm>
#include <iostream>

namespace vanillascale {

const char* const kCheckUsage =
  "usage: vanillascale check FILE [options]\n"
  "\n"
  "Checks a document before it is sent and changes nothing. Prints faults,\n"
  "which nodes reject, with their places; parts that can never take effect;\n"
  "limits that contradict each other; and what differs from the version in\n"
  "force. No key is printed. FILE may also be a configuration in the format\n"
  "of the users' store; the platform is a store then.\n"
  "\n"
  "  --platform IP:PORT  compare with the version in force, and look at the\n"
  "                      VM list (VANILLASCALE_PLATFORM)\n"
  "  --against FILE      compare with this file if the platform is not given\n"
  "                      or can't be reached\n"
  "  --strict            exit with 1 if there are warnings\n"
  "  --json              print the whole report as JSON\n"
  "\n"
  "exit codes: 0 no errors; 1 warnings, with --strict, or wrong usage or "
  "file;\n"
  "  2 errors\n"
  "\n"
  "example:\n"
  "  vanillascale check next.json --platform 10.0.0.5:9000 --strict\n"
  "\n"
  "docs/CHECKING.md explains each finding.\n";

namespace {

constexpr int kExitWarnings = 1;

/** The longest read of a store, which may have many pages. */
constexpr Duration kStoreTimeout = std::chrono::seconds(20);
/** The environment of a configuration of a store, which names none. */
constexpr const char* kStoreEnvironment = "store";
/** The member by which configurations of a store differ from documents. */
constexpr const char* kStorePlace = "/resources";

/** A document that was read from a file. */
struct FileContent
{
  Document mDocument;
  /** The file is in the format of the users' store. */
  bool mIsOfStore = false;
};

/** What is in force, and where that was read. */
struct Baseline
{
  Document mDocument;
  std::string mSource;
  /** Changes of the stream hold services, routes and accounts only. */
  bool mIsFromStream = false;
};

/** What the platform said. */
struct PlatformView
{
  std::optional<Baseline> mInForce;
  std::optional<std::vector<Vm>> mVms;
};

/** Parses a document, or translates a configuration of the users' store, by the
 * code that nodes use. */
tl::expected<FileContent, std::vector<DocumentFault>>
ParseFile(const std::string& aText)
{
  auto document = ParseDocument(aText);
  if (document) {
    return FileContent{ std::move(*document), false };
  }
  const auto& faults = document.error();
  bool isOfStore =
    std::any_of(faults.begin(), faults.end(), [](const DocumentFault& aFault) {
      return aFault.mPointer == kStorePlace;
    });
  if (!isOfStore) {
    return tl::make_unexpected(faults);
  }
  auto translated = TranslateConfig(aText, kStoreEnvironment, {});
  if (!translated) {
    return tl::make_unexpected(std::vector<DocumentFault>{
      { kStorePlace, "can't be translated; nodes skip the configuration" } });
  }
  // Nodes put such a configuration in force with adjustments; whoever writes it
  // learns of them first.
  auto translatedFaults = std::move(translated->mAdjustments);
  for (DocumentFault& it : CheckDocument(translated->mDocument)) {
    translatedFaults.push_back(std::move(it));
  }
  if (!translatedFaults.empty()) {
    return tl::make_unexpected(std::move(translatedFaults));
  }
  return FileContent{ std::move(translated->mDocument), true };
}

void
AddNotCompared(ReviewReport& aReport, const std::string& aText)
{
  aReport.mFindings.push_back(
    { FindingSeverity::Note, "/", FindingKind::NotCompared, aText });
}

/** Reads the version in force and the VM list from the platform's log. Records
 * a note for what can't be read. */
PlatformView
ReadLogPlatform(const Endpoint& aPlatform, ReviewReport& aReport)
{
  PlatformView view;
  auto platform = PlatformClient::Make(aPlatform);
  const std::string& environment = aReport.mDocument->mEnvironment;
  auto history = ReadHistory(*platform, environment);
  if (history) {
    std::string source = "offset " + std::to_string(history->mState.mOffset) +
                         " of " + ConfigStreamName(environment);
    view.mInForce =
      Baseline{ std::move(history->mState.mDocument), std::move(source), true };
  } else {
    AddNotCompared(aReport, history.error());
  }
  VmListReadResult vms = platform->ReadVms();
  if (vms.mIsSuccessful) {
    view.mVms = std::move(vms.mVms);
  }
  return view;
}

/** Does the same from a store. */
PlatformView
ReadStorePlatform(const Endpoint& aStore, ReviewReport& aReport)
{
  PlatformView view;
  auto snapshot =
    ReadStore(MakeStoreAdapter(kStoreEnvironment, {}), aStore, kStoreTimeout);
  if (!snapshot) {
    AddNotCompared(aReport, snapshot.error());
    return view;
  }
  view.mInForce = Baseline{ std::move(snapshot->mDocument),
                            "position " + FormatPosition(snapshot->mPosition) +
                              " of the store",
                            false };
  view.mVms = std::move(snapshot->mVms);
  return view;
}

void
Compare(Baseline aBaseline, ReviewReport& aReport)
{
  Document& from = aBaseline.mDocument;
  const Document& to = *aReport.mDocument;
  bool isFirst = from.mEnvironment.empty();
  if (aBaseline.mIsFromStream) {
    from.mLimits = to.mLimits;
    if (to.mLimits) {
      aReport.mFindings.push_back(
        { FindingSeverity::Warning,
          "/limits",
          FindingKind::LimitsNotSent,
          "are not part of the changes that promote sends; nodes use their "
          "settings" });
    }
  }
  for (Finding& it : ReviewTransition(from, to)) {
    aReport.mFindings.push_back(std::move(it));
  }
  aReport.mDifferences = CompareDocuments(from, to);
  aReport.mComparedWith =
    aBaseline.mSource + (isFirst ? " (nothing in force)" : "");
}

/** Writes the report and returns the exit code. */
int
Finish(const CheckArguments& aArguments, const ReviewReport& aReport)
{
  if (aArguments.mIsJson) {
    std::cout << FormatReportAsJson(aReport);
  } else {
    std::cerr << FormatErrors(aReport);
    std::cout << FormatReport(aReport);
  }
  if (CountFindings(aReport, FindingSeverity::Error) > 0) {
    return kExitDocument;
  }
  bool hasWarnings = CountFindings(aReport, FindingSeverity::Warning) > 0;
  return hasWarnings && aArguments.mIsStrict ? kExitWarnings : kExitDone;
}

/** Reads the document to compare with from a file. Returns an exit code if the
 * file can't be used. */
tl::expected<Baseline, int>
ReadAgainst(const std::string& aFile)
{
  auto text = ReadFile(aFile);
  if (!text) {
    return tl::make_unexpected(kExitUsage);
  }
  auto content = ParseFile(*text);
  if (!content) {
    PrintFaults(aFile, content.error());
    return tl::make_unexpected(kExitUsage);
  }
  return Baseline{ std::move(content->mDocument), aFile, false };
}

} // namespace

int
RunCheck(const CheckArguments& aArguments)
{
  ReviewReport report;
  report.mFile = aArguments.mFile;
  auto text = ReadFile(aArguments.mFile);
  if (!text) {
    return kExitUsage;
  }
  auto content = ParseFile(*text);
  text.reset();
  if (!content) {
    report.mFindings = FindingsOf(content.error());
    return Finish(aArguments, report);
  }
  report.mDocument = std::move(content->mDocument);
  PlatformView view;
  if (!aArguments.mPlatform.empty()) {
    auto endpoint = ParseEndpoint(aArguments.mPlatform);
    if (!endpoint) {
      std::cerr << "--platform \"" << aArguments.mPlatform
                << "\" is not allowed; allowed: an IP number and a port\n";
      return kExitUsage;
    }
    view = content->mIsOfStore ? ReadStorePlatform(*endpoint, report)
                               : ReadLogPlatform(*endpoint, report);
  }
  ReviewContext context;
  context.mVms = view.mVms ? &*view.mVms : nullptr;
  context.mComparesHosts =
    content->mIsOfStore || MakeLogAdapter().mCallers.mHasHosts;
  for (Finding& it : ReviewDocument(*report.mDocument, context)) {
    report.mFindings.push_back(std::move(it));
  }
  if (!view.mInForce && !aArguments.mAgainst.empty()) {
    auto against = ReadAgainst(aArguments.mAgainst);
    if (!against) {
      return against.error();
    }
    view.mInForce = std::move(*against);
  }
  if (view.mInForce) {
    Compare(std::move(*view.mInForce), report);
  }
  return Finish(aArguments, report);
}

} // namespace vanillascale
