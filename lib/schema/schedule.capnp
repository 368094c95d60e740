@0xd3a1f09b6c4e2875;
# Datagrams between the entry hosts, which forward requests of callers to backend servers and share
# one scheduler for each shard of a model service. `tools/generate-peer-code` generates
# `lib/src/entry/peers/schedule_capnp.rs` from this file. Datagrams use the packed encoding. Times
# are durations in microseconds. Servers, services, workspaces and failure domains are identified by
# the hashes of their names.

struct Datagram {
  union {
    bid @0 :Bid;
    verdict @1 :Verdict;
    progress @2 :List(Progress);
    leaving @3 :UInt64;
    # Reply to the bid with this identifier: the host is about to stop and makes no more decisions.
  }
}

struct Bid {
  # Asks a scheduler when and on which server a request to a model may start.

  id @0 :UInt64;
  # Chosen by the asking host and repeated in the verdict.

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
  # Reply to the bid with the same identifier.

  id @0 :UInt64;

  union {
    start @1 :Start;
    refusal @2 :Refusal;
    # No server can start the response in time.
    unknown @3 :Void;
    # The scheduler knows no usable server of the service.
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
