@0xd3a1f09b6c4e2875;
# Datagrams between entry hosts. `tools/generate-peer-code` turns this file into
# `lib/src/entry/peers/schedule_capnp.rs`. Datagrams are in packed encoding. Times are microseconds
# that remain or have passed; identifiers of servers, services, workspaces and failure domains are
# hashes of their names.

struct Datagram {
  union {
    bid @0 :Bid;
    verdict @1 :Verdict;
    progress @2 :List(Progress);
    leaving @3 :UInt64;
    # Answer to the bid of this identifier: the host is going to stop, and decides no more.
  }
}

struct Bid {
  # A request to a model that wants to begin.

  id @0 :UInt64;
  # Chosen by the asking host, repeated in the verdict.

  service @1 :UInt64;
  workspace @2 :UInt64;
  domain @3 :UInt64;
  inputTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  sharedParts @6 :List(Part);
  untilObjective @7 :UInt64;
  untilGiveUp @8 :UInt64;
  isReturning @9 :Bool;
  lastServer @10 :UInt64;
  excluded @11 :List(UInt64);
  shardIndex @12 :UInt32;
  shardCount @13 :UInt32;
  rank @14 :UInt32;
}

struct Part {
  id @0 :UInt64;
  tokens @1 :UInt32;
}

struct Verdict {
  # Answer to the bid of the same identifier.

  id @0 :UInt64;

  union {
    start @1 :Start;
    refusal @2 :Refusal;
    # No server can begin in time.
    unknown @3 :Void;
    # The scheduler knows no server that may be used.
  }
}

struct Start {
  epoch @0 :UInt32;
  number @1 :UInt64;
  server @2 :UInt64;
  after @3 :UInt64;
  unreadTokens @4 :UInt32;
}

struct Refusal {
  retryAfter @0 :UInt64;
  soonest @1 :UInt64;
  limit @2 :UInt64;
}

struct Progress {
  epoch @0 :UInt32;
  number @1 :UInt64;

  union {
    begunAfter @2 :UInt64;
    ended @3 :Void;
  }
}
