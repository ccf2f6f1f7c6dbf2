#include "CheckCommand.h"
#include "ConfigHistory.h"
#include "DocumentAccounts.h"
#include "DocumentFile.h"
#include "RequestKeys.h"

#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

using namespace vanillascale;

namespace {

namespace options = boost::program_options;

constexpr int kExitRefused = 3;
constexpr int kExitPlatform = 4;
constexpr int kExitNotInForce = 5;

constexpr const char* kUsage =
  "usage: vanillascale COMMAND [options] [FILE]\n"
  "\n"
  "  check FILE    print every fault of a document, what can never take "
  "effect,\n"
  "                and what differs from the version in force; --help "
  "explains\n"
  "  diff FILE     print the objects in which FILE differs from what is in "
  "force\n"
  "  promote FILE  send just those objects to the environment's stream\n"
  "  status        print which configuration is in force on which node\n"
  "  audit         print each change with who, when and what became of it\n"
  "\n"
  "exit codes: 0 done; 1 wrong usage or file; 2 the document has faults;\n"
  "  3 the change was refused; 4 the platform can't be reached; 5 not in "
  "force\n"
  "  everywhere in time\n\n";

struct Arguments
{
  std::string mCommand;
  std::string mFile;
  std::string mPlatform;
  std::string mEnvironment;
  std::string mWho;
  std::string mId;
  std::string mVmGroup;
  std::string mAgainst;
  LogOffset mFrom = 0;
  unsigned mWaitMs = 0;
  bool mIsStrict = false;
  bool mIsJson = false;
};

options::options_description
Describe(Arguments& aArguments)
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("help", "print this text");
  add("platform",
      options::value(&aArguments.mPlatform),
      "the platform's address, ip:port (VANILLASCALE_PLATFORM)");
  add("environment",
      options::value(&aArguments.mEnvironment),
      "environment, for audit and status (VANILLASCALE_ENVIRONMENT)");
  add(
    "who", options::value(&aArguments.mWho), "who promotes (VANILLASCALE_WHO)");
  add("id",
      options::value(&aArguments.mId),
      "id of the change, to repeat a promotion whose answer was lost");
  add("from",
      options::value(&aArguments.mFrom),
      "offset of the configuration that FILE was made from; default: the "
      "newest");
  add("vm-group",
      options::value(&aArguments.mVmGroup),
      "the proxies' group in the VM list (VANILLASCALE_VM_GROUP)");
  add("against",
      options::value(&aArguments.mAgainst),
      "check: a file to compare with if the platform can't be reached");
  add("strict",
      options::bool_switch(&aArguments.mIsStrict),
      "check: exit with 1 if there are warnings");
  add("json",
      options::bool_switch(&aArguments.mIsJson),
      "check: print the report as JSON");
  add("wait",
      options::value(&aArguments.mWaitMs),
      "promote: milliseconds to wait until it is in force on every node");
  return description;
}

void
TakeVariable(std::string& aValue, const char* aName)
{
  const char* value = std::getenv(aName);
  if (aValue.empty() && value) {
    aValue = value;
  }
}

/** Reads and checks the file; prints its faults. */
tl::expected<Document, int>
LoadDocument(const std::string& aFile)
{
  auto text = ReadFile(aFile);
  if (!text) {
    return tl::make_unexpected(kExitUsage);
  }
  auto document = ParseDocument(*text);
  if (!document) {
    PrintFaults(aFile, document.error());
    return tl::make_unexpected(kExitDocument);
  }
  return *document;
}

std::unique_ptr<PlatformClient>
Connect(const Arguments& aArguments)
{
  auto endpoint = ParseEndpoint(aArguments.mPlatform);
  if (!endpoint) {
    std::cerr << "--platform \"" << aArguments.mPlatform
              << "\" is not allowed; allowed: an IP number and a port\n";
    return nullptr;
  }
  return PlatformClient::Make(*endpoint);
}

int
Check(const Arguments& aArguments)
{
  return RunCheck({ aArguments.mFile,
                    aArguments.mAgainst,
                    aArguments.mPlatform,
                    aArguments.mIsStrict,
                    aArguments.mIsJson });
}

void
PrintObjects(const std::vector<ObjectChange>& aObjects)
{
  for (const ObjectChange& it : aObjects) {
    std::cout << (it.mValue.empty() ? "remove " : "replace ") << it.mType << "/"
              << it.mName << " made from version " << it.mBaseVersion << " "
              << it.mValue << "\n";
  }
}

tl::expected<std::vector<ObjectChange>, int>
FindDifferences(PlatformClient& aPlatform,
                const Arguments& aArguments,
                const Document& aDocument)
{
  auto history =
    ReadHistory(aPlatform, aDocument.mEnvironment, aArguments.mFrom);
  if (!history) {
    std::cerr << history.error() << "\n";
    return tl::make_unexpected(kExitPlatform);
  }
  return DiffDocument(history->mState, aDocument);
}

int
Diff(const Arguments& aArguments)
{
  auto document = LoadDocument(aArguments.mFile);
  if (!document) {
    return document.error();
  }
  auto platform = Connect(aArguments);
  if (!platform) {
    return kExitUsage;
  }
  auto objects = FindDifferences(*platform, aArguments, *document);
  if (!objects) {
    return objects.error();
  }
  PrintObjects(*objects);
  return kExitDone;
}

std::string
MakeId()
{
  std::random_device device;
  std::uint64_t high = device();
  std::uint64_t low = (std::uint64_t(device()) << 32) | device();
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  return MakeRequestKey(now, high, low).mValue;
}

/** What one node says of itself. */
struct NodeStatus
{
  Vm mVm;
  bool mIsReached = false;
  bool mIsReady = false;
  LogOffset mOffset = 0;
};

NodeStatus
AskNode(const Vm& aVm)
{
  NodeStatus status;
  status.mVm = aVm;
  auto endpoint = ParseEndpoint(aVm.mAdmin);
  if (!endpoint) {
    return status;
  }
  try {
    StoreReply reply = BlockingConnection::Make(*endpoint)->Call(
      { "GET", "/status", "", std::chrono::seconds(1), {} });
    auto json = nlohmann::json::parse(reply.mResponse.mBody);
    status.mOffset = json.at("configOffset").get<LogOffset>();
    status.mIsReady = json.at("ready").get<bool>();
    status.mIsReached = true;
  } catch (const std::exception&) {
    status.mIsReached = false;
  }
  return status;
}

std::vector<NodeStatus>
AskNodes(PlatformClient& aPlatform, const std::string& aVmGroup)
{
  std::vector<NodeStatus> nodes;
  for (const Vm& it : aPlatform.ReadVms().mVms) {
    if (it.mGroup == aVmGroup && !it.mIsLeaving) {
      nodes.push_back(AskNode(it));
    }
  }
  return nodes;
}

/** Waits until every node that answers has folded aOffset. */
int
AwaitInForce(PlatformClient& aPlatform,
             const Arguments& aArguments,
             LogOffset aOffset)
{
  auto start = std::chrono::steady_clock::now();
  auto limit = std::chrono::milliseconds(aArguments.mWaitMs);
  for (;;) {
    auto nodes = AskNodes(aPlatform, aArguments.mVmGroup);
    std::size_t reached = 0;
    std::size_t inForce = 0;
    for (const NodeStatus& it : nodes) {
      reached += it.mIsReached ? 1 : 0;
      inForce += it.mIsReached && it.mOffset >= aOffset ? 1 : 0;
    }
    auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
    if (reached > 0 && inForce == reached) {
      std::cout << "in force on all " << reached << " nodes after "
                << waited.count() << " ms\n";
      return kExitDone;
    }
    if (waited >= limit) {
      std::cerr << "in force on " << inForce << " of " << reached
                << " nodes after " << waited.count() << " ms\n";
      return kExitNotInForce;
    }
  }
}

int
PromoteFile(const Arguments& aArguments)
{
  if (aArguments.mWho.empty()) {
    std::cerr << "--who is missing: the audit trail names who promotes\n";
    return kExitUsage;
  }
  auto document = LoadDocument(aArguments.mFile);
  if (!document) {
    return document.error();
  }
  auto platform = Connect(aArguments);
  if (!platform) {
    return kExitUsage;
  }
  auto objects = FindDifferences(*platform, aArguments, *document);
  if (!objects) {
    return objects.error();
  }
  if (objects->empty()) {
    std::cout << "nothing to promote: the document is in force\n";
    return kExitDone;
  }
  Change change;
  change.mId = aArguments.mId.empty() ? MakeId() : aArguments.mId;
  change.mWho = aArguments.mWho;
  change.mEnvironment = document->mEnvironment;
  change.mObjects = std::move(*objects);
  PrintObjects(change.mObjects);
  auto promotion = Promote(*platform, change);
  if (!promotion) {
    std::cerr << promotion.error() << "\n";
    return kExitPlatform;
  }
  std::cout << "offset " << promotion->mOffset << ": "
            << DescribeVerdict(promotion->mVerdict) << "\n";
  bool isInForce =
    std::holds_alternative<ChangeAccepted>(promotion->mVerdict) ||
    std::holds_alternative<ChangeDuplicate>(promotion->mVerdict);
  if (!isInForce) {
    return kExitRefused;
  }
  return aArguments.mWaitMs == 0
           ? kExitDone
           : AwaitInForce(*platform, aArguments, promotion->mOffset);
}

int
Status(const Arguments& aArguments)
{
  auto platform = Connect(aArguments);
  if (!platform) {
    return kExitUsage;
  }
  auto nodes = AskNodes(*platform, aArguments.mVmGroup);
  if (nodes.empty()) {
    std::cerr << "the VM list can't be read or has no VMs in group \""
              << aArguments.mVmGroup << "\"\n";
    return kExitPlatform;
  }
  LogOffset lowest = UINT64_MAX;
  for (const NodeStatus& it : nodes) {
    std::cout << it.mVm.mAddress << " zone " << it.mVm.mZone.mValue << " ";
    if (!it.mIsReached) {
      std::cout << "not reached\n";
      continue;
    }
    lowest = std::min(lowest, it.mOffset);
    std::cout << "offset " << it.mOffset
              << (it.mIsReady ? " ready" : " not ready") << "\n";
  }
  if (lowest != UINT64_MAX) {
    std::cout << "in force everywhere: offset " << lowest << "\n";
  }
  return kExitDone;
}

/** Returns the value of a changed object for the audit. An account that another
 * tool has written may hold its keys in plain text. */
std::string
FormatValue(const ObjectChange& aObject)
{
  if (aObject.mValue.empty()) {
    return "removed";
  }
  if (aObject.mType == "account" && !ParseAccount(aObject.mValue)) {
    return "an invalid account";
  }
  return aObject.mValue;
}

int
Audit(const Arguments& aArguments)
{
  auto platform = Connect(aArguments);
  if (!platform) {
    return kExitUsage;
  }
  auto history = ReadHistory(*platform, aArguments.mEnvironment);
  if (!history) {
    std::cerr << history.error() << "\n";
    return kExitPlatform;
  }
  for (const HistoryEntry& it : history->mEntries) {
    std::time_t seconds = it.mRecord.mAppendedAtMs / 1000;
    std::cout << "offset " << it.mRecord.mOffset << " "
              << std::put_time(std::gmtime(&seconds), "%FT%TZ") << " "
              << DescribeVerdict(it.mVerdict) << "\n";
    if (auto change = ParseChange(it.mRecord.mPayload)) {
      std::cout << "  by " << change->mWho << " id " << change->mId << "\n";
      for (const ObjectChange& object : change->mObjects) {
        std::cout << "  " << object.mType << "/" << object.mName
                  << " from version " << object.mBaseVersion << " to "
                  << FormatValue(object) << "\n";
      }
    }
  }
  return kExitDone;
}

int
RunCommand(const Arguments& aArguments)
{
  bool takesFile = aArguments.mCommand == "check" ||
                   aArguments.mCommand == "diff" ||
                   aArguments.mCommand == "promote";
  if (takesFile && aArguments.mFile.empty()) {
    std::cerr << aArguments.mCommand << " needs a FILE\n" << kUsage;
    return kExitUsage;
  }
  if (aArguments.mCommand == "check") {
    return Check(aArguments);
  }
  if (aArguments.mCommand == "diff") {
    return Diff(aArguments);
  }
  if (aArguments.mCommand == "promote") {
    return PromoteFile(aArguments);
  }
  if (aArguments.mCommand == "status") {
    return Status(aArguments);
  }
  if (aArguments.mCommand == "audit") {
    return Audit(aArguments);
  }
  std::cerr << kUsage;
  return kExitUsage;
}

} // namespace

int
main(int argc, char** argv)
{
  Arguments arguments;
  options::options_description visible = Describe(arguments);
  options::options_description all;
  all.add(visible).add_options()("command",
                                 options::value(&arguments.mCommand))(
    "file", options::value(&arguments.mFile));
  options::positional_options_description places;
  places.add("command", 1).add("file", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                     .options(all)
                     .positional(places)
                     .run(),
                   values);
    options::notify(values);
  } catch (const options::error& e) {
    std::cerr << e.what() << "\n" << kUsage << visible;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    if (arguments.mCommand == "check") {
      std::cout << kCheckUsage;
    } else {
      std::cout << kUsage << visible;
    }
    return kExitDone;
  }
  TakeVariable(arguments.mPlatform, "VANILLASCALE_PLATFORM");
  TakeVariable(arguments.mEnvironment, "VANILLASCALE_ENVIRONMENT");
  TakeVariable(arguments.mWho, "VANILLASCALE_WHO");
  TakeVariable(arguments.mVmGroup, "VANILLASCALE_VM_GROUP");
  return RunCommand(arguments);
}
