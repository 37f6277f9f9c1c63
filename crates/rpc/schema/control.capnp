@0xc3b1f0a45d0e9a71;
# RPC between control replicas, and from entries and other clients to control replicas.
#
# The generated code is committed as `src/control_capnp.rs`; see the module docs of `src/lib.rs` for
# the command that generates it.

interface Control {
  # Bootstrap capability of every connection to a control replica.

  watch @0 (request :WatchRequest) -> (reply :WatchReply);
  # Replies immediately if the caller's version is out of date. Otherwise replies on the next change
  # or when the hold time has passed.

  propose @1 (command :Data, forwarded :Bool, basedOn :UInt64) -> (reply :ProposeReply);
  # `command` is a postcard-encoded `state::Command`. A forwarded command is not forwarded again.
  # `basedOn` is the last log index that the replica which received the command had applied when it
  # arrived, or 0 if that is not told.

  queryClaim @2 (service :UInt16, key :Text) -> (reply :QueryReply);

  deliver @3 (messages :List(PeerMessage)) -> ();
  # Messages of the consensus protocol. The response only acknowledges their arrival.

  ping @4 () -> ();
  # Keepalive: the response shows that the connection works.

  exchange @5 (request :Data) -> (reply :Data);
  # Exchanges views of the fleet: a postcard-encoded `fleet::Request` and `fleet::Reply`.
}

struct WatchRequest {
  knownVersion @0 :UInt64;
  holdMs @1 :UInt32;
  entry @2 :EntryReport;
  # Null when the caller is not an entry.
}

struct EntryReport {
  entry @0 :UInt16;
  incarnation @1 :UInt64;
  draining @2 :Bool;
}

struct WatchReply {
  version @0 :UInt64;
  content :union {
    unchanged @1 :Void;
    changes @2 :Data;
    # postcard-encoded `Vec<ConfigChange>` from the caller's version to `version`.
    config @3 :Data;
    # postcard-encoded `Config`.
  }
  confirmed :union {
    never @4 :Void;
    ageMs @5 :UInt64;
  }
  cutOff @6 :Bool;
  heldMs @7 :UInt32;
  # Time for which the replica held the request before it replied, in milliseconds.
}

struct ProposeReply {
  union {
    outcome @0 :Data;
    # postcard-encoded `Outcome`.
    notAccepted @1 :Void;
    # The command is in no replica's log.
    unknown @2 :Void;
    # The command may have been accepted or may be accepted later.
    outdated @3 :Void;
    # Like `notAccepted`: another order for the same subject has followed `basedOn`. Only sent in reply
    # to a command with `basedOn`.
  }
}

struct QueryReply {
  union {
    answer @0 :Data;
    # postcard-encoded `ClaimOutcome`.
    unconfirmed @1 :Void;
    # The replica could not confirm that its state is current.
  }
}

struct Member {
  replica @0 :UInt32;
  storageHigh @1 :UInt64;
  storageLow @2 :UInt64;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  payload :union {
    noop @2 :Void;
    command @3 :Data;
    membership @4 :Data;
    # postcard-encoded `Membership`.
  }
}

struct PeerMessage {
  # Either a whole message, or one chunk of an `InstallSnapshot` message.
  from @0 :Member;
  to @1 :Member;
  term @2 :UInt64;
  union {
    other @3 :Data;
    # postcard-encoded `MessageKind`, for the kinds without a field of their own, which
    # are small.
    append @4 :Append;
    snapshotChunk @5 :SnapshotChunk;
  }
}

struct Append {
  prevIndex @0 :UInt64;
  prevTerm @1 :UInt64;
  entries @2 :List(LogEntry);
  commit @3 :UInt64;
  round @4 :UInt64;
  echoMs @5 :UInt64;
  confirmedAgeMs @6 :UInt64;
}

struct SnapshotChunk {
  index @0 :UInt64;
  term @1 :UInt64;
  round @2 :UInt64;
  membership @3 :Data;
  # postcard-encoded `Membership`.
  offset @4 :UInt64;
  total @5 :UInt64;
  data @6 :Data;
}
