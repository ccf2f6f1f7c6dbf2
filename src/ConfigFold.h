#ifndef VANILLASCALE_CONFIGFOLD_H
#define VANILLASCALE_CONFIGFOLD_H

#include "Document.h"
#include "Messages.h"
#include "RouteTable.h"

#include <deque>
#include <variant>

namespace vanillascale {

/** Who last replaced an object of the document. */
struct ObjectModification
{
  std::string mWho;
  LogOffset mOffset = 0;
};

/** The configuration as of one offset of its stream. Equal offsets mean equal
 * states on every node, since the fold is pure. */
struct ConfigState
{
  Document mDocument;
  /** Finds the document's routes; kept in step with it. */
  RouteTable mRoutes;
  LogOffset mOffset = 0;
  /** By "service/NAME" or "route/NAME", kept when the object is removed. */
  std::map<std::string, ObjectModification> mLastModifications;
  /** Ids of the latest accepted changes, oldest first. */
  std::deque<std::string> mAcceptedIds;
};

/** A change took hold. */
struct ChangeAccepted
{};
/** A change with this id took hold before; this record changes nothing. */
struct ChangeDuplicate
{};
/** Somebody replaced an object after the version the change was made from. */
struct ChangeConflict
{
  std::string mObject;
  ObjectModification mLastModification;
};
/** The change would leave a document that breaks the rules. */
struct ChangeInvalid
{
  std::vector<DocumentFault> mFaults;
};
/** The record is a checkpoint: it states what is already so. */
struct CheckpointSkipped
{};
/** The record is none that this version knows; every node skips it. */
struct RecordUnrecognized
{};

/** What became of one record, the same on every node. */
using RecordVerdict = std::variant<ChangeAccepted,
                                   ChangeDuplicate,
                                   ChangeConflict,
                                   ChangeInvalid,
                                   CheckpointSkipped,
                                   RecordUnrecognized>;

/** One object of a change: its new value, or its removal, and the version that
 * it was made from (0 where the object did not exist). */
struct ObjectChange
{
  /** "service" or "route". */
  std::string mType;
  std::string mName;
  LogOffset mBaseVersion = 0;
  /** JSON as FormatService or FormatRoute write it; empty removes the object.
   */
  std::string mValue;
};

/** What an operator promotes: some objects, replaced together or not at all. */
struct Change
{
  /** Chosen by the operator's tool; a repeat with the same id is harmless. */
  std::string mId;
  std::string mWho;
  std::string mEnvironment;
  std::vector<ObjectChange> mObjects;
};

/** Names an object as ConfigState::mLastModifications does. */
std::string
ObjectKey(const std::string& aType, const std::string& aName);

/** Folds one record into the state and says what became of it.
 *
 * Precondition: aRecord.mOffset is above aState.mOffset; a record at or below
 * it changes nothing and is reported as ChangeDuplicate, so that no path leads
 * back to an older configuration. Pure but for aState; not thread safe. */
RecordVerdict
FoldRecord(ConfigState& aState, const LogRecord& aRecord);

/** The route that a request matches, or null. Pure. */
const Route*
FindRoute(const ConfigState& aState,
          std::string_view aMethod,
          std::string_view aPath,
          std::string_view aHost = {});

/** Puts a whole document in force that was published at an offset. Returns
 * false, and changes nothing, where the offset or the document's revision is
 * not above the one in force, or the document is of another environment. */
bool
ReplaceDocument(ConfigState& aState, Document aDocument, LogOffset aOffset);

/** Writes a change as the payload of a log record. Pure; any thread. */
std::string
FormatChange(const Change& aChange);

/** Reads a change back; nothing where the payload is none. Pure; any thread. */
tl::expected<Change, std::string>
ParseChange(const std::string& aPayload);

/** Writes the folded state as the payload of a checkpoint. Pure; any thread. */
std::string
FormatCheckpoint(const ConfigState& aState);

/** Reads a checkpoint; an error where the payload is none or is damaged (it
 * carries a hash of itself). Pure; any thread. */
tl::expected<ConfigState, std::string>
ParseCheckpoint(const std::string& aPayload);

/** Works out the objects in which aTo differs from the state, each with its
 * base version, in a fixed order. Pure; any thread. */
std::vector<ObjectChange>
DiffDocument(const ConfigState& aFrom, const Document& aTo);

/** Says a verdict in one line for people. */
std::string
DescribeVerdict(const RecordVerdict& aVerdict);

} // namespace vanillascale

#endif
