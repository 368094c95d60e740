@0xd3a1f09b6c4e2875;
# Datagrams between the entry hosts, which forward requests of callers to backend servers. The
# servers of a service that runs a model are divided into shards. For each shard one of the hosts is
# the scheduler, which decides when and on which server requests start.
#
# `tools/generate-peer-code` generates `lib/src/entry/peers/schedule_capnp.rs` from this file.
# Datagrams use the packed encoding. Times are durations in microseconds. Servers, services,
# workspaces and failure domains are identified by the hashes of their names.

struct Datagram {
  union {
    bid @0 :Bid;
    verdict @1 :Verdict;
    progress @2 :List(Progress);
    leaving @3 :UInt64;
    # Reply to the bid with this identifier: the asked host is about to stop and makes no more
    # decisions.

    shares @4 :Shares;
    # Sent by the scheduler of a shard to those of the other shards of the service.

    suspectRequests @5 :List(SuspectRequest);
    # Sent to other hosts when something new is known of these requests, and now and then again.

    origin @6 :StreamOrigin;
    # Sent to a few other hosts when a stream has begun that its caller may take up.

    originRequest @7 :OriginRequest;
    originReply @8 :OriginReply;

    rolloutReport @9 :RolloutReport;
    # Sent to the host that conducts a roll-out while it is in progress.

    rolloutPermit @10 :RolloutPermit;
    # Sent by the host that conducts a roll-out to all others.

    probe @11 :Void;
    # Asks a host that did not reply whether it can schedule again. It answers only if it can.

    probeReply @12 :Void;
  }
}

struct Bid {
  # Schedule request: a host asks the scheduler when and on which server a request to a model may
  # start.

  id @0 :UInt64;
  # Chosen by the asking host and repeated in the verdict.

  service @1 :UInt64;
  workspace @2 :UInt64;
  # 0 if the request has no workspace.

  domain @3 :UInt64;
  # Failure domain of the asking host.

  inputTokens @4 :UInt32;
  # Length of the prompt.

  outputTokens @5 :UInt32;
  # Estimate of the tokens that will be generated.

  sharedParts @6 :List(Part);
  # Leading parts of the prompt that other requests share, in order.

  untilObjective @7 :UInt64;
  # Time left until the response should have started, counted from the caller's first attempt.

  untilGiveUp @8 :UInt64;
  # Time left until the caller or the route times out. The asking host then ends the request, even
  # if its response is still running.

  isReturning @9 :Bool;
  # Whether the caller seems to have been refused before and to try again.

  lastServer @10 :UInt64;
  # Server to which the asking host last sent a prompt with the same shared parts, 0 if none is
  # known.

  excluded @11 :List(UInt64);
  # Servers that must not get the request: those that were tried already, those that the asking host
  # cannot use, and those that fail its requests unless all do.

  shardIndex @12 :UInt32;
  shardCount @13 :UInt32;
  # The shard of the service's servers to choose from, and the number of its shards.

  rank @14 :UInt32;
  # Priority rank, 0 is the most urgent.

  kind @15 :UInt64;
  # Class of requests of similar size, 0 if unknown.

  wasRefused @16 :Bool;
  # Whether the scheduler of another shard has refused the request before.

  refusedTokens @17 :UInt64;
  # Tokens of the workspace's requests that the asking host has refused by itself since its last
  # schedule request for the workspace.

  crashes @18 :List(PartCrash);
  # Crashes that the asking host knows of.

  limits @19 :List(ServerLimit);
  # Limits that servers have named to the asking host, as far as the scheduler was not told of them.

  content @20 :UInt64;
  # Hash of what the request asks a server to do, the same for every repeat.

  version @21 :UInt64;
  # Software version that the server must run, 0 for any. Versions are identified by a hash of the
  # names of service and version.

  exceptVersion @22 :UInt64;
  # Software version that the server must not run, 0 for none.

  objective @23 :UInt64;
  # Time in which the response should start, counted from the caller's first attempt.

  continuesStream @24 :Bool;
  # Whether the request continues a stream that has begun, which was counted when it began.
}

struct RolloutReport {
  # What a host has seen of both versions since it learned of an order to roll out a version.

  service @0 :UInt64;
  target @1 :UInt64;
  # The version that is rolled out.

  order @2 :UInt64;
  # Hash that identifies the order: a service may be given the same target again later.

  incarnation @3 :UInt64;
  # Identifies the run of the host's process. Counts start at zero in each.

  age @4 :UInt64;
  # Time since the host learned of the order.

  runningOld @5 :UInt32;
  # Requests of the host that run at servers of other versions than the target.

  requests @6 :UInt64;
  # Requests for the service that the host has sent to servers of any version.

  outcomes @7 :List(RouteOutcomes);
}

struct RouteOutcomes {
  # Outcomes of the requests of one route at servers of the target, or at those of other versions.

  route @0 :UInt64;
  isTarget @1 :Bool;
  sent @2 :UInt32;
  failed @3 :UInt32;
  startTimes @4 :List(UInt32);
  # Numbers of responses by the time until they started, in the classes of `StartTimes`.
}

struct RolloutPermit {
  # What hosts may send to servers of the target until the permit expires. A host without a permit
  # sends them nothing before the roll-out is completed.

  service @0 :UInt64;
  target @1 :UInt64;
  order @2 :UInt64;
  validFor @3 :UInt64;

  union {
    canary @4 :UInt32;
    # Share of the requests of each host, millionths.

    shift @5 :UInt64;
    # Time left until the roll-out is completed. Requests that are expected to run longer than that
    # go to the target.

    completed @6 :Void;
    reverted @7 :Void;
  }
}

struct StreamOrigin {
  # Where a stream began.

  key @0 :UInt64;
  # Hash that identifies the stream.

  version @1 :UInt64;
  # Software version of the server that sent its first event.

  remaining @2 :UInt64;
  # How long the stream has to be remembered.

  tokens @3 :UInt64;
  # Tokens of the prompt and the estimated response with which the stream was admitted.
}

struct OriginRequest {
  # Asks where a stream began.

  id @0 :UInt64;
  # Chosen by the asking host and repeated in the reply.

  key @1 :UInt64;
  service @2 :UInt64;

  claimedTokens @3 :UInt64;
  # Tokens of the prompt and the estimated response of a request that claims to continue the stream, 0 if
  # the request makes no claim.
}

struct OriginReply {
  id @0 :UInt64;

  union {
    unknown @1 :Void;
    version @2 :UInt64;
    # The version that began the stream.
    onlyVersion @3 :UInt64;
    # The stream is not known, but the service has run this version only for longer than any stream
    # lasts.
  }

  isClaimed @4 :Bool;
  # Whether the request has the claim to continue the stream. Requests that claim it later do not.
}

struct SuspectRequest {
  # A request of a caller under which servers have crashed.

  workspace @0 :UInt64;
  # 0 if the request has no workspace.

  content @1 :UInt64;
  # Hash of what the request asks a server to do, the same for every repeat.

  crashes @2 :List(RequestCrash);
  # Crashes since the request was last answered.

  isAnswered @3 :Bool;
  answeredAge @4 :UInt64;
  # Time since the request was last answered, if it was.

  trialRemaining @5 :UInt64;
  # How long others wait for the result of a trial, 0 if there is none.
}

struct RequestCrash {
  # A run of a server that ended as it began to run a request.

  run @0 :UInt64;
  # Hash that identifies the run.

  age @1 :UInt64;
  # Time since the crash.

  wasTrial @2 :Bool;
  # Whether the request was sent to find out whether it makes servers crash.
}

struct ServerLimit {
  # What a run of a server has last stated about the rate of requests that it takes.

  server @0 :UInt64;
  run @1 :UInt64;
  # Hash that identifies the run.

  isLimited @2 :Bool;
  perSecond @3 :Float64;
  # Requests per second from all hosts together, if it is limited.

  age @4 :UInt64;
  # Time since the server stated it.
}

struct Part {
  # A part of a prompt. Prompts with the same beginning have the same identifiers for the parts of
  # that beginning.

  id @0 :UInt64;
  tokens @1 :UInt32;
  # Length of the part.
}

struct Verdict {
  # Scheduling decision: the reply to the bid with the same identifier.

  id @0 :UInt64;

  union {
    start @1 :Start;
    refusal @2 :Refusal;
    # No server can start the response in time.
    unknown @3 :Void;
    # No server of the shard may get the request; the asking host tries the next shard.
    holdBack @5 :HoldBack;
    # A part of the prompt makes servers crash, or is suspected of it.
  }

  crashes @4 :List(PartCrash);
  # Crashes that the scheduler knows of.
}

struct PartCrash {
  # A run of a server that ended as it began to answer a prompt with a part.

  part @0 :UInt64;
  run @1 :UInt64;
  # Hash that identifies the run.

  age @2 :UInt64;
  # Time since the crash.

  remaining @3 :UInt64;
  # How long the crash still counts.

  isBlamed @4 :Bool;
  # Whether this part is blamed, rather than another one of the same prompt.

  wasTrial @5 :Bool;
  # Whether the request was sent to find out whether the part is to blame.

  content @6 :UInt64;
  # Hash of what the request asked the server to do, the same for every repeat.
}

struct HoldBack {
  part @0 :UInt64;
  retryAfter @1 :UInt64;
  # Time that the caller should wait before it tries again.
}

struct Start {
  # The request may be sent.

  epoch @0 :UInt32;
  number @1 :UInt64;
  # Identify the request in reports: the incarnation of the scheduler, and a number within it.

  server @2 :UInt64;
  after @3 :UInt64;
  # Time to wait before sending the request.

  unreadTokens @4 :UInt32;
  # Prompt tokens that the server has to process because they are not in its cache.
}

struct Refusal {
  retryAfter @0 :UInt64;
  # Time that the caller should wait before it tries again.

  soonest @1 :UInt64;
  # Shortest time after which a server could have sent the first event of the response.

  limit @2 :UInt64;
  # Longest time to the first event of the response that was allowed.

  triesOthers @3 :Bool;
  # Whether the asking host should ask other shards.

  isOverShare @4 :Bool;
  # Whether the workspace has requested more than its fair share, and gets it.
}

struct Progress {
  # Report on a started request, identified as in Start.

  epoch @0 :UInt32;
  number @1 :UInt64;

  union {
    begunAfter @2 :UInt64;
    # The response has started, and this is the time since the request was sent.
    ended @3 :Void;
    # The request is no longer at the server: it has completed, failed, or was never sent.

    serverLeaving @4 :UInt64;
    # The server says that it is about to shut down. The value is the time at which it started, Unix
    # milliseconds.

    unreachable @5 :Void;
    # The host could not connect to the server.

    failed @6 :Void;
    # The server failed the request.

    broken @8 :Void;
    # The connection broke before the response was complete or had gone on for long.
    silent @9 :Void;
    # The deadline passed, and the server had sent nothing for long.
    survived @10 :Void;
    # The response has gone on for long.
  }

  hostLag @7 :UInt64;
  # How late the timers of the reporting host fired meanwhile. The time in begunAfter may contain such
  # delays.

  isAnswered @11 :Bool;
  # With ended: whether the server has sent a complete response of success.
}

struct Shares {
  # Recent work at the shards of one scheduler. Workspaces with the most work come first; some may be
  # left out.

  service @0 :UInt64;
  workspaces @1 :List(Share);

  contention @2 :Float32;
  # How much the requests at the shards compete for the servers, from 0 to 1.
}

struct Share {
  # Work of one workspace. Older work counts less, see `WorkspaceShares`.

  workspace @0 :UInt64;
  requestedTokens @1 :UInt64;
  grantedTokens @2 :UInt64;
}
