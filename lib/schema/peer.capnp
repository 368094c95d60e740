@0xb7e6f1c2a9d45e03;
# Interface between the hosts of the fleet. `tools/generate-peer-code` turns this file into
# `lib/src/peer/peer_capnp.rs`.
#
# Times are what remains of a deadline, in microseconds. Identifiers are the hashes of `crate::id`.

interface Gate {
  # Bootstrap capability of a listening host. It gives nothing before the caller has proved the key
  # of the fleet.

  greet @0 (version :UInt16, identity :Identity, nonce :Data) -> (identity :Identity, nonce :Data);
  # The caller names itself and draws a nonce; the listening host does the same.

  prove @1 (proof :Data) -> (proof :Data, peer :Peer);
  # The caller proves the key over both identities and nonces; the listening host proves it in turn.
}

interface Peer {
  # A host that has proved the key of the fleet may deliver messages.

  deliver @0 (batch :Data) -> ();
  # A `Batch` in packed encoding: most numbers are small, and RPC frames are not packed.
}

struct Batch {
  messages @0 :List(Message);
}

struct Identity {
  host @0 :UInt64;
  incarnation @1 :UInt64;
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    bid @1 :Bid;
    withdrawal @2 :Withdrawal;
    grant @3 :Grant;
    refusal @4 :Refusal;
    grantReturn @5 :GrantReturn;
    finished @6 :Finished;
    progress @7 :Progress;
    announcement @8 :Announcement;
    permitRequest @9 :Permit;
    permitAnswer @10 :PermitAnswer;
    permitRelease @11 :Permit;
    totals @12 :Totals;
    summary @13 :Summary;
    pull @14 :Pull;
    handover @15 :Handover;
    configurationRequest @16 :ConfigurationRequest;
    configurationUpdate @17 :ConfigurationUpdate;
    findings @18 :List(Finding);
    permitHoldings @19 :PermitHoldings;
  }
}

struct Heartbeat {
  revision @0 :UInt64;
  stopping @1 :Bool;
  clockUs @2 :UInt64;
}

struct RequestId {
  gateway @0 :UInt64;
  sequence @1 :UInt64;
}

struct Bid {
  request @0 :RequestId;
  service @1 :UInt64;
  workspace @2 :UInt32;
  estimate @3 :UInt64;
  remainingUs @4 :UInt64;
  prefix @5 :UInt64;
}

struct Withdrawal {
  request @0 :RequestId;
  service @1 :UInt64;
}

enum ServerPhase {
  cold @0;
  warming @1;
  warm @2;
}

struct Grant {
  request @0 :RequestId;
  service @1 :UInt64;
  server @2 :UInt64;
  instance @3 :UInt64;
  phase @4 :ServerPhase;
  limit @5 :UInt32;
  slot @6 :UInt32;
  remainingUs @7 :UInt64;
  lapsesAtUs @8 :UInt64;
}

enum RefusalReason {
  queueFull @0;
  deadlineUnreachable @1;
  deadlinePassed @2;
  noServer @3;
  noScheduler @4;
  stopping @5;
}

struct Refusal {
  request @0 :RequestId;
  service @1 :UInt64;
  reason @2 :RefusalReason;
  retryAfterMs @3 :UInt64;
}

struct GrantReturn {
  request @0 :RequestId;
  service @1 :UInt64;
  server @2 :UInt64;
  unreachable @3 :Bool;
}

enum EndOutcome {
  complete @0;
  cancelled @1;
  rejected @2;
  failed @3;
}

struct Finished {
  request @0 :RequestId;
  service @1 :UInt64;
  workspace @2 :UInt32;
  server @3 :UInt64;
  instance @4 :UInt64;
  outcome @5 :EndOutcome;
  cost @6 :UInt64;
  firstByteUs @7 :UInt64;
  total @8 :UInt64;
}

struct Progress {
  request @0 :RequestId;
  service @1 :UInt64;
  cost @2 :UInt64;
}

struct Running {
  request @0 :RequestId;
  workspace @1 :UInt32;
  server @2 :UInt64;
  estimate @3 :UInt64;
  cost @4 :UInt64;
}

struct ServerSight {
  server @0 :UInt64;
  instance @1 :UInt64;
  phase @2 :ServerPhase;
  limit @3 :UInt32;
}

struct TotalCell {
  origin @0 :UInt64;
  incarnation @1 :UInt64;
  workspace @2 :UInt32;
  cost @3 :UInt64;
}

struct Announcement {
  service @0 :UInt64;
  domain @1 :UInt64;
  bids @2 :List(Bid);
  running @3 :List(Running);
  sights @4 :List(ServerSight);
  totals @5 :List(TotalCell);
}

struct Permit {
  request @0 :RequestId;
  server @1 :UInt64;
  slot @2 :UInt32;
}

struct PermitHoldings {
  held @0 :List(Permit);
  listRevision @1 :UInt64;
}

struct PermitAnswer {
  request @0 :RequestId;
  server @1 :UInt64;
  slot @2 :UInt32;
  granted @3 :Bool;
}

struct Totals {
  service @0 :UInt64;
  cells @1 :List(TotalCell);
}

struct BacklogEntry {
  workspace @0 :UInt32;
  queued @1 :UInt32;
  counter @2 :UInt64;
}

struct Summary {
  service @0 :UInt64;
  domain @1 :UInt64;
  freeSlots @2 :UInt32;
  backlog @3 :List(BacklogEntry);
}

struct Pull {
  service @0 :UInt64;
  domain @1 :UInt64;
  anyWorkspace @2 :Bool = true;
  workspace @3 :UInt32;
  count @4 :UInt32;
}

struct Handover {
  service @0 :UInt64;
  bids @1 :List(Bid);
}

struct ConfigurationRequest {
  have @0 :UInt64;
}

struct ConfigurationUpdate {
  revision @0 :UInt64;
  document @1 :Data;
}

enum Health {
  alive @0;
  suspect @1;
  dead @2;
}

struct Finding {
  host @0 :UInt64;
  incarnation @1 :UInt64;
  health @2 :Health;
  ageUs @3 :UInt64;
}
