#include "PlatformClient.h"

#include <nlohmann/json.hpp>

namespace vanillascale {

namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;
constexpr Duration kCallTimeout = std::chrono::seconds(3);

StoreCall
AppendCall(const std::string& aStream, const std::string& aPayload)
{
  return { "POST", "/log/" + aStream, aPayload, kCallTimeout, {} };
}

StoreCall
ReadCall(const std::string& aStream, LogOffset aAfter)
{
  return { "GET",
           "/log/" + aStream + "?after=" + std::to_string(aAfter),
           "",
           kCallTimeout,
           {} };
}

StoreCall
VmListCall()
{
  return { "GET", "/vms", "", kCallTimeout, {} };
}

AppendOutcome
OutcomeOf(const StoreReply& aReply)
{
  if (aReply.mEnd == ExchangeEnd::ConnectFailed) {
    return AppendOutcome::Refused;
  }
  if (aReply.mEnd != ExchangeEnd::Complete) {
    return AppendOutcome::Unknown;
  }
  if (aReply.mResponse.mStatus == kStatusOk) {
    return AppendOutcome::Done;
  }
  return aReply.mResponse.mStatus == kStatusUnavailable
           ? AppendOutcome::Refused
           : AppendOutcome::Unknown;
}

bool
IsOk(const StoreReply& aReply)
{
  return aReply.mEnd == ExchangeEnd::Complete &&
         aReply.mResponse.mStatus == kStatusOk;
}

LogReadResult
ReadOf(const std::string& aStream, const StoreReply& aReply)
{
  LogReadResult failed;
  failed.mStream = aStream;
  return IsOk(aReply) ? ParseLogRead(aStream, aReply.mResponse.mBody) : failed;
}

VmListReadResult
VmsOf(const StoreReply& aReply)
{
  return IsOk(aReply) ? ParseVmList(aReply.mResponse.mBody)
                      : VmListReadResult{};
}

/** Makes each kind of call on a connection of its own, so that a slow one does
 * not hold up the others. */
struct LogPort
{
  std::shared_ptr<StoreConnection> mAppends;
  std::shared_ptr<StoreConnection> mReads;
  std::shared_ptr<StoreConnection> mVmLists;
  std::function<void(Event)> mPost;

  void operator()(const AppendLog& aCall) const
  {
    mAppends->Call(AppendCall(aCall.mStream, aCall.mPayload),
                   [post = mPost, stream = aCall.mStream, token = aCall.mToken](
                     const StoreReply& aReply) {
                     post(LogAppendResult{ stream, token, OutcomeOf(aReply) });
                   });
  }
  void operator()(const ReadLog& aCall) const
  {
    mReads->Call(ReadCall(aCall.mStream, aCall.mAfter),
                 [post = mPost, stream = aCall.mStream](
                   const StoreReply& aReply) { post(ReadOf(stream, aReply)); });
  }
  void operator()(const ReadVmList& /*aCall*/) const
  {
    mVmLists->Call(VmListCall(), [post = mPost](const StoreReply& aReply) {
      post(VmsOf(aReply));
    });
  }
  void operator()(const ReadFeed& aCall) const
  {
    // This platform has no keyed topics.
    FeedReadResult failed;
    failed.mTopic = aCall.mTopic;
    mPost(failed);
  }
  // The VM list introduces the nodes to each other here.
  void operator()(const ReadContact& /*aCall*/) const
  {
    mPost(ContactReadResult{});
  }
  void operator()(const WriteContact& /*aCall*/) const
  {
    mPost(ContactWriteResult{});
  }
};

} // namespace

PlatformAdapter
MakeLogAdapter()
{
  PlatformAdapter adapter;
  adapter.mOpen = [](boost::asio::io_context& aLoop,
                     const Endpoint& aPlatform,
                     std::function<void(Event)> aPost) {
    auto make = [&] { return StoreConnection::Make(aLoop, aPlatform); };
    LogPort port{ make(), make(), make(), std::move(aPost) };
    return PlatformPort{ [port](const PlatformCall& aCall) {
      std::visit(port, aCall);
    } };
  };
  return adapter;
}

struct PlatformClient::Impl
{
  std::unique_ptr<BlockingConnection> mConnection;

  StoreReply Call(StoreCall aCall)
  {
    return mConnection->Call(std::move(aCall));
  }
};

PlatformClient::PlatformClient(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PlatformClient::~PlatformClient() = default;

std::unique_ptr<PlatformClient>
PlatformClient::Make(const Endpoint& aPlatform)
{
  auto impl = std::make_unique<Impl>();
  impl->mConnection = BlockingConnection::Make(aPlatform);
  return std::unique_ptr<PlatformClient>(new PlatformClient(std::move(impl)));
}

AppendOutcome
PlatformClient::Append(const std::string& aStream, const std::string& aPayload)
{
  return OutcomeOf(mImpl->Call(AppendCall(aStream, aPayload)));
}

LogReadResult
PlatformClient::Read(const std::string& aStream, LogOffset aAfter)
{
  return ReadOf(aStream, mImpl->Call(ReadCall(aStream, aAfter)));
}

VmListReadResult
PlatformClient::ReadVms()
{
  return VmsOf(mImpl->Call(VmListCall()));
}

LogReadResult
ParseLogRead(const std::string& aStream, const std::string& aText)
{
  LogReadResult read;
  read.mStream = aStream;
  Json json = Json::parse(aText, nullptr, false);
  try {
    read.mFirst = json.at("first").get<LogOffset>();
    read.mEnd = json.at("end").get<LogOffset>();
    for (const Json& it : json.at("records")) {
      read.mRecords.push_back({ it.at("offset").get<LogOffset>(),
                                it.at("appendedAtMs").get<std::int64_t>(),
                                it.at("data").get<std::string>() });
    }
    read.mIsSuccessful = true;
  } catch (const Json::exception&) {
    read.mRecords.clear();
  }
  return read;
}

VmListReadResult
ParseVmList(const std::string& aText)
{
  VmListReadResult read;
  Json json = Json::parse(aText, nullptr, false);
  try {
    for (const Json& it : json.at("vms")) {
      Vm vm;
      it.at("group").get_to(vm.mGroup);
      it.at("address").get_to(vm.mAddress);
      vm.mAdmin = it.value("admin", "");
      vm.mZone = ZoneName(it.at("zone").get<std::string>());
      vm.mSlots = it.value("slots", 0U);
      vm.mIsLeaving = it.value("leaving", false);
      read.mVms.push_back(std::move(vm));
    }
    read.mIsSuccessful = true;
  } catch (const Json::exception&) {
    read.mVms.clear();
  }
  return read;
}

} // namespace vanillascale
