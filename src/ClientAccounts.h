#ifndef VANILLASCALE_CLIENTACCOUNTS_H
#define VANILLASCALE_CLIENTACCOUNTS_H

#include "Ids.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillascale {

/** The keyed hash of an API key. Keys themselves are not stored: they would
 * stand in copies of the configuration and in checkpoints. */
using KeyDigest = std::array<unsigned char, 16>;

/** Returns the digest of an API key in an environment (BLAKE2b with the
 * environment's name as its key), so that the digests of two environments
 * cannot be compared. Pure; any thread. */
KeyDigest
DigestKey(std::string_view aEnvironment, std::string_view aKey);

/** Returns a digest as 32 hexadecimal digits. Pure; any thread. */
std::string
FormatDigest(const KeyDigest& aDigest);

/** Parses the result of FormatDigest(). Returns false and leaves aDigest
 * undefined if the text is anything else. Pure; any thread. */
bool
ParseDigest(std::string_view aText, KeyDigest& aDigest);

/** A client account: who may send requests, and how many. */
struct ClientAccount
{
  AccountName mName;
  /** The digests of its API keys. Without one, nobody can use the account. */
  std::vector<KeyDigest> mKeys;
  /** Goes before the priority of routes; 1 is the highest. */
  unsigned mPriority = 1;
  /** The quota over all nodes, in requests per second; 0 means no limit. */
  double mRate = 0;
  /** The number of requests allowed at once after idleness, beyond mRate. */
  double mBurst = 0;
  /** The log offset of the change that last replaced this object; 0 if no
   * change has replaced it. */
  LogOffset mVersion = 0;
  MSGPACK_DEFINE(mName, mKeys, mPriority, mRate, mBurst, mVersion)
};

/** Returns the number by which nodes identify an account in messages about
 * requests; never 0, which stands for no account. Pure; any thread. */
std::uint64_t
AccountIdOf(const AccountName& aName);

/** An index of accounts by the digests of their keys and by their ids. An
 * update costs only the account that it changes. Not thread safe. */
class AccountIndex
{
public:
  /** Adds an account. Returns false and adds nothing if one of its keys belongs
   * to another account. */
  bool Add(const ClientAccount& aAccount);

  /** Removes an account. Does nothing if it is not in the index. */
  void Remove(const ClientAccount& aAccount);

  /** Returns the account that holds a key, or null. Compares digests in
   * constant time. */
  const AccountName* FindByKey(const KeyDigest& aDigest) const;

  /** Returns the account with an id of AccountIdOf(), or null. */
  const AccountName* FindById(std::uint64_t aId) const;

private:
  struct DigestHash
  {
    std::size_t operator()(const KeyDigest& aDigest) const noexcept;
  };
  struct DigestEqual
  {
    bool operator()(const KeyDigest& aLeft,
                    const KeyDigest& aRight) const noexcept;
  };

  std::unordered_map<KeyDigest, AccountName, DigestHash, DigestEqual>
    mNamesByKey;
  std::unordered_map<std::uint64_t, AccountName> mNamesById;
};

} // namespace vanillascale

#endif
