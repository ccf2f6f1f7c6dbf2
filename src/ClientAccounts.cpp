#include "ClientAccounts.h"

#include "Hash.h"

#include <algorithm>
#include <cstring>
#include <sodium.h>

namespace vanillascale {

namespace {

constexpr std::size_t kHexDigitsPerByte = 2;

} // namespace

KeyDigest
DigestKey(std::string_view aEnvironment, std::string_view aKey)
{
  std::array<unsigned char, crypto_generichash_KEYBYTES_MAX> hashKey{};
  std::copy_n(aEnvironment.begin(),
              std::min(aEnvironment.size(), hashKey.size()),
              hashKey.begin());
  KeyDigest digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     hashKey.data(),
                     hashKey.size());
  return digest;
}

std::string
FormatDigest(const KeyDigest& aDigest)
{
  // The library writes a terminating zero behind the digits.
  std::array<char, kHexDigitsPerByte * sizeof(KeyDigest) + 1> digits{};
  sodium_bin2hex(digits.data(), digits.size(), aDigest.data(), aDigest.size());
  return digits.data();
}

bool
ParseDigest(std::string_view aText, KeyDigest& aDigest)
{
  std::size_t length = 0;
  const char* end = nullptr;
  bool isHex = aText.size() == kHexDigitsPerByte * aDigest.size() &&
               sodium_hex2bin(aDigest.data(),
                              aDigest.size(),
                              aText.data(),
                              aText.size(),
                              nullptr,
                              &length,
                              &end) == 0;
  return isHex && length == aDigest.size();
}

std::uint64_t
AccountIdOf(const AccountName& aName)
{
  return std::max<std::uint64_t>(Hash64(aName.mValue), 1);
}

std::size_t
AccountIndex::DigestHash::operator()(const KeyDigest& aDigest) const noexcept
{
  std::size_t hash = 0;
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

bool
AccountIndex::DigestEqual::operator()(const KeyDigest& aLeft,
                                      const KeyDigest& aRight) const noexcept
{
  return sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool
AccountIndex::Add(const ClientAccount& aAccount)
{
  for (const KeyDigest& it : aAccount.mKeys) {
    const AccountName* holder = FindByKey(it);
    if (holder && *holder != aAccount.mName) {
      return false;
    }
  }
  for (const KeyDigest& it : aAccount.mKeys) {
    mNamesByKey[it] = aAccount.mName;
  }
  mNamesById[AccountIdOf(aAccount.mName)] = aAccount.mName;
  return true;
}

void
AccountIndex::Remove(const ClientAccount& aAccount)
{
  for (const KeyDigest& it : aAccount.mKeys) {
    const AccountName* holder = FindByKey(it);
    if (holder && *holder == aAccount.mName) {
      mNamesByKey.erase(it);
    }
  }
  mNamesById.erase(AccountIdOf(aAccount.mName));
}

const AccountName*
AccountIndex::FindByKey(const KeyDigest& aDigest) const
{
  auto it = mNamesByKey.find(aDigest);
  return it == mNamesByKey.end() ? nullptr : &it->second;
}

const AccountName*
AccountIndex::FindById(std::uint64_t aId) const
{
  auto it = mNamesById.find(aId);
  return it == mNamesById.end() ? nullptr : &it->second;
}

} // namespace vanillascale
