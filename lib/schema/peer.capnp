@0xb7e6f1c2a9d45e03;
# RPC interface and messages between the hosts of the fleet. `tools/generate-peer-code` generates
# `lib/src/peer/peer_capnp.rs` from this file. The Rust types of the messages, with the meaning of
# every field, are in `lib/src/message`.
#
# A gateway is a host that accepts requests. A scheduler is a host that decides which waiting
# request goes to which backend server; a service has one scheduler in each failure domain. The
# backend servers of a service in one failure domain, with their scheduler and its queue, are a
# shard. Costs are in the unit of the service: tokens for a model, microseconds of
# server time for any other service.
#
# Deadlines are sent as the remaining time in microseconds, because the clocks of two hosts cannot
# be compared; fields that hold a clock reading say so. Hosts, backend servers, services and failure
# domains are identified by a 64-bit hash of their name, workspaces by their number (`crate::id`).

interface Gate {
  # Bootstrap capability of a listening host: the only object that a caller can reach before it has
  # proved that it knows the fleet key, the secret that all hosts of the fleet share.

  greet @0 (version :UInt16, identity :Identity, nonce :Data) -> (identity :Identity, nonce :Data);
  # Both ends exchange their identities and nonces (32 random bytes each). Refused for another
  # protocol version, or if the caller claims the identity of the listening host.

  prove @1 (proof :Data) -> (proof :Data, peer :Peer);
  # The caller proves that it knows the fleet key with an HMAC over both identities and nonces. The
  # listening host returns its own proof, and the object that receives messages. Each greeting
  # allows one attempt.
}

interface Peer {
  # Receives the messages of a caller that has proved that it knows the fleet key.

  deliver @0 (batch :Data) -> ();
  # `batch` is a `Batch` in packed encoding, which is smaller because most numbers are small; RPC
  # frames themselves are not packed. The return acknowledges the whole batch.
}

struct Batch {
  # Messages delivered in one call, at most 512.

  messages @0 :List(Message);
}

struct Identity {
  # A host and its incarnation: the time of its process start, which rises with each restart.

  host @0 :UInt64;
  incarnation @1 :UInt64;
}

struct Message {
  # A message from one host to another. Any message may be lost, repeated or delayed.

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
  # Sent periodically, to show that the sender is alive.

  revision @0 :UInt64;
  # Revision of the configuration that the host uses.

  stopping @1 :Bool;
  # Whether the host is about to stop.

  clockUs @2 :UInt64;
  # Clock reading of the sender, microseconds; see `Grant.lapsesAtUs`.
}

struct RequestId {
  # The gateway that accepted a request, and the number of the request on that gateway.

  gateway @0 :UInt64;
  sequence @1 :UInt64;
}

struct Bid {
  # Gateway to scheduler: a request is waiting.

  request @0 :RequestId;
  service @1 :UInt64;
  workspace @2 :UInt32;
  estimate @3 :UInt64;
  # Estimated cost.

  remainingUs @4 :UInt64;
  # Time left until the request must start on a server.

  prefix @5 :UInt64;
  # Hash of the prompt's prefix, zero for none. Requests with the same hash benefit from the same
  # server's prompt cache.
}

struct Withdrawal {
  # Gateway to scheduler: a request no longer waits, for example because its caller disconnected.

  request @0 :RequestId;
  service @1 :UInt64;
}

enum ServerPhase {
  # Whether the limit on concurrent requests of a backend server is unknown (cold: one request at a
  # time), being probed (warming) or known (warm).

  cold @0;
  warming @1;
  warm @2;
}

struct Grant {
  # Scheduler to gateway: a request may be sent to a backend server.

  request @0 :RequestId;
  service @1 :UInt64;
  server @2 :UInt64;
  instance @3 :UInt64;
  # Hash of the server's instance name, which changes when the server restarts; zero if unknown.

  phase @4 :ServerPhase;
  limit @5 :UInt32;
  # Limit on concurrent requests of the server.

  slot @6 :UInt32;
  # Slot that the gateway needs a permit for, unless the server is warm; see `Permit`.

  remainingUs @7 :UInt64;
  # Time until the grant expires.

  lapsesAtUs @8 :UInt64;
  # Time at which the grant expires on the gateway's clock, derived from the clock reading in the
  # gateway's heartbeats, so that a delayed grant still expires in time.
}

enum RefusalReason {
  # Why a request will not be dispatched.

  queueFull @0;
  # The limit on waiting requests of the workspace is reached.

  deadlineUnreachable @1;
  # The request is not expected to start before its deadline.

  deadlinePassed @2;
  # The deadline passed while the request was waiting.

  noServer @3;
  # No backend server offers the service.

  noScheduler @4;
  # No host that schedules the service can be reached.

  stopping @5;
  # The host is stopping.
}

struct Refusal {
  # Scheduler to gateway: a request will not be dispatched.

  request @0 :RequestId;
  service @1 :UInt64;
  reason @2 :RefusalReason;
  retryAfterMs @3 :UInt64;
  # Delay after which the caller may retry.
}

struct GrantReturn {
  # Gateway to scheduler: a grant was not used; no byte of the request was sent.

  request @0 :RequestId;
  service @1 :UInt64;
  server @2 :UInt64;
  unreachable @3 :Bool;
  # Whether the grant was not used because connecting to the server failed.
}

enum EndOutcome {
  # How a dispatched request ended.

  complete @0;
  # A complete response arrived.

  cancelled @1;
  # The caller disconnected, and the request was cancelled.

  rejected @2;
  # The server refused the request because it was overloaded or not ready.

  failed @3;
  # The connection broke, or the response was malformed, truncated or late.
}

struct Finished {
  # Gateway to scheduler: a dispatched request has ended.

  request @0 :RequestId;
  service @1 :UInt64;
  workspace @2 :UInt32;
  server @3 :UInt64;
  instance @4 :UInt64;
  outcome @5 :EndOutcome;
  cost @6 :UInt64;
  # Measured cost.

  firstByteUs @7 :UInt64;
  # Time from the dispatch to the first byte of the response body, zero if not measured.

  total @8 :UInt64;
  # Cumulative cost of the workspace on this service in this incarnation of the gateway, which makes
  # up for lost or repeated messages.
}

struct Progress {
  # Gateway to scheduler: cost so far of a running request.

  request @0 :RequestId;
  service @1 :UInt64;
  cost @2 :UInt64;
}

struct Running {
  # A request in an announcement that has been dispatched and has not ended.

  request @0 :RequestId;
  workspace @1 :UInt32;
  server @2 :UInt64;
  estimate @3 :UInt64;
  # Estimated cost.

  cost @4 :UInt64;
  # Cost so far.
}

struct ServerSight {
  # A gateway's latest observation of a backend server.

  server @0 :UInt64;
  instance @1 :UInt64;
  phase @2 :ServerPhase;
  limit @3 :UInt32;
}

struct TotalCell {
  # Cumulative cost that one incarnation of a gateway (`origin`) has charged to a workspace.

  origin @0 :UInt64;
  incarnation @1 :UInt64;
  workspace @2 :UInt32;
  cost @3 :UInt64;
}

struct Announcement {
  # Gateway to scheduler: the gateway's complete state for the shard of `service` in the failure
  # domain `domain`. It replaces what the scheduler knew of the gateway, so that a new scheduler can
  # take over.

  service @0 :UInt64;
  domain @1 :UInt64;
  bids @2 :List(Bid);
  running @3 :List(Running);
  sights @4 :List(ServerSight);
  totals @5 :List(TotalCell);
}

struct Permit {
  # A slot is one of the concurrent requests that a server without a learned limit may run. Its home
  # host gives it to one request at a time, so that two schedulers that are active at the same time
  # cannot both use it. A gateway asks the home host for a permit and later releases it.

  request @0 :RequestId;
  server @1 :UInt64;
  slot @2 :UInt32;
}

struct PermitHoldings {
  # Gateway to home host: every slot that the gateway holds there. Replaces what the home host knew
  # of the gateway's slots.

  held @0 :List(Permit);
  listRevision @1 :UInt64;
  # Revision of the host list from which the gateway computes the home hosts of slots.
}

struct PermitAnswer {
  # Home host to gateway: whether the request may use the slot.

  request @0 :RequestId;
  server @1 :UInt64;
  slot @2 :UInt32;
  granted @3 :Bool;
}

struct Totals {
  # Scheduler to scheduler of the same service: cumulative costs that have changed since the last
  # message, so that each workspace is charged for its use of all shards.

  service @0 :UInt64;
  cells @1 :List(TotalCell);
}

struct BacklogEntry {
  # Backlog of one workspace on a shard.

  workspace @0 :UInt32;
  queued @1 :UInt32;
  # Number of waiting bids.

  counter @2 :UInt64;
  # Cost charged for requests that have not ended, which the totals do not contain yet.
}

struct Summary {
  # Scheduler to scheduler of the same service: free capacity and backlog of the sender's shard.

  service @0 :UInt64;
  domain @1 :UInt64;
  freeSlots @2 :UInt32;
  # Number of requests that the shard could start immediately.

  backlog @3 :List(BacklogEntry);
}

struct Pull {
  # Scheduler to scheduler of the same service: asks for at most `count` waiting bids, of one
  # workspace or of any, because the sender has free capacity. `domain` is the failure domain of the
  # sender's shard.

  service @0 :UInt64;
  domain @1 :UInt64;
  anyWorkspace @2 :Bool = true;
  workspace @3 :UInt32;
  # Ignored if `anyWorkspace` is set.

  count @4 :UInt32;
}

struct Handover {
  # Scheduler to scheduler of the same service: the bids handed over in response to a `Pull`.

  service @0 :UInt64;
  bids @1 :List(Bid);
}

struct ConfigurationRequest {
  # Asks for a configuration newer than revision `have`.

  have @0 :UInt64;
}

struct ConfigurationUpdate {
  # A newer configuration.

  revision @0 :UInt64;
  document @1 :Data;
  # JSON text: the complete configuration, or the difference from a revision that the receiver has.
}

enum Health {
  # State that one host assumes of another. `suspect`: the sender has lately received no message
  # from it, and hosts that have received one should report it alive.

  alive @0;
  suspect @1;
  dead @2;
}

struct Finding {
  # What the sender knows of another host. A host that is itself reported as suspect or dead answers
  # with a heartbeat.

  host @0 :UInt64;
  incarnation @1 :UInt64;
  health @2 :Health;
  ageUs @3 :UInt64;
  # Age of the latest evidence known to the sender that the host is alive.
}
