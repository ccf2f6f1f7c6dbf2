#ifndef VANILLASCALE_DOCUMENTACCOUNTS_H
#define VANILLASCALE_DOCUMENTACCOUNTS_H

#include "Document.h"

#include <nlohmann/json_fwd.hpp>

namespace vanillascale {

/** Reads one entry of the member "accounts" of a document in the environment
 * aEnvironment, and records its faults. Keys stand in "keys" as callers send
 * them, or in "keyDigests" as FormatAccount() writes them. No key is part of a
 * fault. Pure; any thread. */
ClientAccount
ReadAccount(const nlohmann::json& aObject,
            const std::string& aEnvironment,
            const std::string& aPointer,
            std::vector<DocumentFault>& aFaults);

/** Parses one account from the JSON text that FormatAccount() writes. Returns
 * all faults found. Pure; any thread. */
tl::expected<ClientAccount, std::vector<DocumentFault>>
ParseAccount(const std::string& aText);

/** Formats an account as canonical JSON text, without its version, and with the
 * digests of its keys in place of the keys. Pure; any thread. */
std::string
FormatAccount(const ClientAccount& aAccount);

/** Returns the faults of an account's values. Pure; any thread. */
std::vector<DocumentFault>
CheckAccount(const ClientAccount& aAccount);

/** Returns a fault for each account that has a key of another account. Pure;
 * any thread. */
std::vector<DocumentFault>
CheckKeysAreUnique(const std::map<AccountName, ClientAccount>& aAccounts);

} // namespace vanillascale

#endif
