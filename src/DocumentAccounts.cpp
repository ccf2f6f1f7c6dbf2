#include "DocumentAccounts.h"

#include "ObjectReader.h"

#include <cmath>

namespace vanillascale {

namespace {

using Json = nlohmann::json;
using Faults = std::vector<DocumentFault>;

constexpr const char* kNumberProblem = "must be a number from 0 to 1e9";

/** Returns the strings of an optional array member. Records a fault for the
 * first one that is not a string of 1 to kMaxApiKeyBytes bytes. */
std::vector<std::string>
ReadKeys(ObjectReader& aReader, const char* aMember)
{
  std::vector<std::string> keys;
  const Json* list = aReader.ReadOptionalArray(aMember);
  if (!list) {
    return keys;
  }
  if (list->size() > kMaxApiKeys) {
    aReader.AddFault(
      aMember, "must have at most " + std::to_string(kMaxApiKeys) + " entries");
    return keys;
  }
  for (const Json& it : *list) {
    bool isKey = it.is_string() && !it.get_ref<const std::string&>().empty() &&
                 it.get_ref<const std::string&>().size() <= kMaxApiKeyBytes;
    if (!isKey) {
      aReader.AddFault(std::string(aMember) + "/" + std::to_string(keys.size()),
                       "must be a string of 1 to " +
                         std::to_string(kMaxApiKeyBytes) + " characters");
      return keys;
    }
    keys.push_back(it.get<std::string>());
  }
  return keys;
}

bool
IsAllowedNumber(double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= 0 && aNumber <= kMaxAccountRate;
}

} // namespace

ClientAccount
ReadAccount(const Json& aObject,
            const std::string& aEnvironment,
            const std::string& aPointer,
            Faults& aFaults)
{
  ObjectReader reader(aObject, aPointer, aFaults);
  ClientAccount account;
  account.mName = AccountName(reader.ReadString("name"));
  if (!IsHeaderText(account.mName.mValue)) {
    reader.AddFault("name", kHeaderTextProblem);
  }
  for (const std::string& it : ReadKeys(reader, "keys")) {
    account.mKeys.push_back(DigestKey(aEnvironment, it));
  }
  for (const std::string& it : ReadKeys(reader, "keyDigests")) {
    KeyDigest digest;
    if (ParseDigest(it, digest)) {
      account.mKeys.push_back(digest);
    } else {
      reader.AddFault("keyDigests", "must be 32 hexadecimal digits each");
    }
  }
  account.mPriority = reader.ReadUnsigned("priority", 1, kMaxPriority, 1U);
  account.mRate = reader.ReadNumber("rate", kMaxAccountRate, kNumberProblem);
  account.mBurst = reader.ReadNumber("burst", kMaxAccountRate, kNumberProblem);
  reader.RejectUnknownMembers();
  return account;
}

tl::expected<ClientAccount, Faults>
ParseAccount(const std::string& aText)
{
  Json json = Json::parse(aText, nullptr, false);
  Faults faults;
  if (json.is_discarded()) {
    faults.push_back({ "/", "is not valid JSON" });
    return tl::make_unexpected(std::move(faults));
  }
  if (json.is_object() && json.contains("keys")) {
    faults.push_back({ "/keys", "must be replaced by keyDigests" });
  }
  ClientAccount account = ReadAccount(json, "", "", faults);
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return account;
}

std::string
FormatAccount(const ClientAccount& aAccount)
{
  Json json{ { "name", aAccount.mName.mValue },
             { "keyDigests", Json::array() },
             { "priority", aAccount.mPriority } };
  for (const KeyDigest& it : aAccount.mKeys) {
    json["keyDigests"].push_back(FormatDigest(it));
  }
  if (aAccount.mRate > 0) {
    json["rate"] = aAccount.mRate;
  }
  if (aAccount.mBurst > 0) {
    json["burst"] = aAccount.mBurst;
  }
  return json.dump();
}

Faults
CheckAccount(const ClientAccount& aAccount)
{
  Faults faults;
  std::string pointer = "/accounts/" + aAccount.mName.mValue;
  std::size_t length = aAccount.mName.mValue.size();
  if (length < 1 || length > kMaxNameLength) {
    faults.push_back({ pointer + "/name",
                       "must be a string of 1 to " +
                         std::to_string(kMaxNameLength) + " characters" });
  }
  if (!IsHeaderText(aAccount.mName.mValue)) {
    faults.push_back({ pointer + "/name", kHeaderTextProblem });
  }
  if (aAccount.mKeys.size() > kMaxApiKeys) {
    faults.push_back(
      { pointer + "/keys",
        "must have at most " + std::to_string(kMaxApiKeys) + " entries" });
  }
  if (aAccount.mPriority < 1 || aAccount.mPriority > kMaxPriority) {
    faults.push_back({ pointer + "/priority",
                       "must be from 1 to " + std::to_string(kMaxPriority) });
  }
  if (!IsAllowedNumber(aAccount.mRate)) {
    faults.push_back({ pointer + "/rate", kNumberProblem });
  }
  if (!IsAllowedNumber(aAccount.mBurst)) {
    faults.push_back({ pointer + "/burst", kNumberProblem });
  }
  return faults;
}

Faults
CheckKeysAreUnique(const std::map<AccountName, ClientAccount>& aAccounts)
{
  Faults faults;
  AccountIndex index;
  for (const auto& [name, account] : aAccounts) {
    if (!index.Add(account)) {
      faults.push_back({ "/accounts/" + name.mValue + "/keys",
                         "have a key of another account" });
    }
  }
  return faults;
}

} // namespace vanillascale
