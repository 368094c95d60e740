//! Streams that broke off and continue while workspaces flood the engines (servers that run a model).
//!
//! The load: two engines get 100 requests a second, ten times as many of one workspace as of the other.
//! Every 200 ms a stream of one of them broke off and continues. It was admitted when it began, so it must
//! not be refused as new work; and no caller may gain anything from a false or repeated claim.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::entry::Claimant;
use cardamomshift_lib::entry::EngineView;
use cardamomshift_lib::entry::OriginSearch;
use cardamomshift_lib::entry::Peer;
use cardamomshift_lib::entry::Peers;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::Scheduler;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::entry::StreamKey;
use cardamomshift_lib::entry::StreamOrigin;
use cardamomshift_lib::entry::StreamOrigins;
use cardamomshift_lib::entry::VersionId;
use cardamomshift_lib::time::Timestamp;

const FLOODING: u64 = 1;
const MODEST: u64 = 2;
/// Interval between requests, and between streams that continue, milliseconds.
const INTERVAL_MS: u64 = 10;
const CONTINUED_MS: u64 = 200;
/// How long a response takes, milliseconds.
const RUN_MS: u64 = 1_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn engine(hash: u64) -> EngineView {
    EngineView {
        hash,
        run: hash,
        domain: 0,
        slots: 64,
        memory_tokens: 228_336,
        rate_limit: None,
    }
}

/// A request with 6,300 tokens that its session shares and 2,000 of its own.
fn request(workspace: u64, session: u64, continues_stream: bool) -> ScheduleRequest {
    let part = |id, tokens| PromptPart { id, tokens };
    ScheduleRequest {
        service: 1,
        shard: Shard { index: 0, count: 2 },
        workspace,
        domain: 0,
        input_tokens: 8_300,
        output_tokens: 50,
        shared_parts: vec![part(1, 2_500), part(session, 3_800)],
        until_objective: Duration::from_millis(800),
        until_give_up: Duration::from_secs(5),
        rank: 1,
        is_caller_retry: false,
        last_server: 0,
        kind: 1,
        content: 0,
        version: None,
        except_version: None,
        objective: Duration::from_millis(800),
        continues_stream,
        was_refused: false,
        refused_tokens: 0,
        excluded: Vec::new(),
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Requests and those of them that started, of new ones of the flooding workspace and of streams that
    /// continue.
    new: [u32; 2],
    continued: [u32; 2],
    /// Streams that were refused as over the share of their workspace.
    over_share: u32,
}

/// Plays the load for 20 s. The streams of `workspace` continue; the scheduler is replaced by a new one every
/// `replaced_ms`.
fn play(workspace: u64, replaced_ms: u64) -> Outcome {
    let engines = [engine(1), engine(2)];
    let mut scheduler = Scheduler::new(1);
    let mut running = VecDeque::new();
    let mut outcome = Outcome::default();
    for n in 0..20_000 / INTERVAL_MS {
        let now = n * INTERVAL_MS;
        if now.is_multiple_of(replaced_ms) {
            scheduler = Scheduler::new(n as u32 + 2);
        }
        while running.front().is_some_and(|(until, _)| *until <= now) {
            let (_, reservation) = running.pop_front().unwrap();
            let step = ProgressStep::Ended;
            scheduler.on_progress(at(now), &Progress { reservation, step });
        }
        let owner = if n % 11 == 10 { MODEST } else { FLOODING };
        let continues = now.is_multiple_of(CONTINUED_MS) && now >= 3_000;
        let continued = continues.then(|| request(workspace, n % 20, true));
        for next in [Some(request(owner, n % 20, false)), continued] {
            let Some(next) = next else { continue };
            let decision = scheduler.decide(at(now), &next, &engines);
            let mut is_started = false;
            match decision {
                ScheduleDecision::Start { reservation, .. } => {
                    let after = Duration::from_millis(100);
                    let host_lag = Duration::ZERO;
                    let step = ProgressStep::ResponseStarted { after, host_lag };
                    scheduler.on_progress(at(now), &Progress { reservation, step });
                    running.push_back((now + RUN_MS, reservation));
                    is_started = true;
                }
                ScheduleDecision::Refuse { is_over_share, .. } if next.continues_stream => {
                    outcome.over_share += u32::from(is_over_share);
                }
                _ => {}
            }
            let counts = match (next.continues_stream, next.workspace) {
                (true, _) => &mut outcome.continued,
                (false, FLOODING) => &mut outcome.new,
                (false, _) => continue,
            };
            counts[0] += 1;
            counts[1] += u32::from(is_started);
        }
    }
    outcome
}

/// Guards against streams that are refused as over the share of a workspace that floods, or behind the
/// requests of one that does.
#[test]
fn stream_continues_while_workspaces_flood_and_schedulers_are_replaced() {
    for workspace in [FLOODING, MODEST] {
        for replaced_ms in [u64::MAX, 700] {
            let outcome = play(workspace, replaced_ms);
            let [all, started] = outcome.new;
            assert!(started * 10 < all * 7, "no overload: {outcome:?}");
            let [all, started] = outcome.continued;
            assert_eq!((started, outcome.over_share), (all, 0), "{outcome:?}");
        }
    }
}

/// Guards against charging a workspace twice for the prompts of its streams, and against work that it does
/// not pay for.
#[test]
fn continued_stream_is_charged_for_what_is_left_of_it() {
    let mut scheduler = Scheduler::new(1);
    let charged = |scheduler: &Scheduler| {
        let reports = scheduler.shares_to_send(at(0));
        let work = reports[0].2.work[0];
        (work.requested_tokens, work.granted_tokens)
    };
    scheduler.decide(at(0), &request(MODEST, 7, false), &[engine(1)]);
    assert_eq!(charged(&scheduler), (8_350, 8_350));
    let mut rest = request(MODEST, 7, true);
    rest.output_tokens = 20;
    scheduler.decide(at(0), &rest, &[engine(1)]);
    // The engine has cached the shared parts.
    assert_eq!(charged(&scheduler), (8_350 + 2_020, 8_350 + 2_020));
}

const HOSTS: usize = 8;
/// Homes of a stream.
const HOMES: usize = 4;
/// Tokens of the streams of the tests, and the deadline of their callers, milliseconds.
const TOKENS: u64 = 8_350;
const DEADLINE_MS: u64 = 6_000;

fn address(host: usize) -> SocketAddr {
    ([10, 0, 0, host as u8], 7_400).into()
}

fn peer(host: usize) -> Peer {
    Peer {
        name: format!("h{host}").into(),
        address: address(host),
        callers: None,
        domain: format!("d{}", host % HOMES).into(),
        cores: 0.25,
    }
}

/// What hosts know of streams.
struct Hosts {
    peers: Vec<Peers>,
    origins: Vec<StreamOrigins>,
    claim_count: u64,
}

impl Hosts {
    fn new() -> Self {
        let all: Vec<_> = (0..HOSTS).map(peer).collect();
        let peers = |own| {
            let mut peers = Peers::new(own);
            peers.set(&all);
            peers
        };
        Self {
            peers: all.iter().map(peers).collect(),
            origins: vec![StreamOrigins::default(); HOSTS],
            claim_count: 0,
        }
    }

    /// Homes of a stream, as a host knows them.
    fn homes(&self, host: usize, key: StreamKey) -> Vec<usize> {
        let others = self.peers[host].homes(key.0, HOMES);
        let is_home = |n: &usize| others.contains(&address(*n));
        let mut homes: Vec<_> = (0..HOSTS).filter(is_home).collect();
        homes.extend((homes.len() < HOMES).then_some(host));
        homes
    }

    /// A stream begins at a host.
    fn begin(&mut self, now: u64, host: usize, key: StreamKey, give_up_ms: u64) {
        let version = VersionId::new("model", "v1");
        let give_up_at = at(give_up_ms);
        let origin: StreamOrigin =
            self.origins[host].on_started(at(now), key, version, TOKENS, give_up_at);
        for home in self.homes(host, key) {
            self.origins[home].on_told(at(now), &origin);
        }
    }

    /// Asks the homes for claims of several hosts at once, whose messages arrive in turns. Returns who has
    /// a claim.
    fn claim(&mut self, now: u64, hosts: &[usize], key: StreamKey, tokens: u64) -> Vec<bool> {
        self.claim_count += 1;
        let mut searches = vec![OriginSearch::default(); hosts.len()];
        for turn in 0..HOMES {
            for (n, host) in hosts.iter().enumerate() {
                let homes = self.homes(*host, key);
                let home = homes[(turn + n) % HOMES];
                let claimant = Claimant {
                    host: (home != *host).then(|| address(*host)),
                    id: self.claim_count * 100 + n as u64,
                };
                let granted = self.origins[home].claim(at(now), key, claimant, tokens);
                // A repeated question, as if the answer was lost.
                let again = self.origins[home].claim(at(now), key, claimant, tokens);
                assert_eq!(granted, again);
                searches[n].on_claim_answer(granted);
            }
        }
        searches
            .iter()
            .map(|search| search.has_claim(HOMES))
            .collect()
    }
}

fn key(n: usize) -> StreamKey {
    StreamKey::new(Some("one"), &format!("attempt-{n}"))
}

/// Guards against several requests that continue one admitted stream, wherever they come in.
#[test]
fn claim_is_used_up_by_the_first_request_that_makes_it() {
    for n in 0..50 {
        let mut hosts = Hosts::new();
        let host = n % HOSTS;
        hosts.begin(0, host, key(n), DEADLINE_MS);
        assert_eq!(hosts.claim(100, &[(n + 3) % HOSTS], key(n), TOKENS), [true]);
        for other in 0..HOSTS {
            assert_eq!(hosts.claim(200, &[other], key(n), TOKENS), [false], "{n}");
        }
        // At the same time at several hosts, one of them that of the stream.
        hosts.begin(300, host, key(n), DEADLINE_MS);
        let asking = [host, (host + 1) % HOSTS, (host + 2) % HOSTS];
        let granted = hosts.claim(400, &asking, key(n), TOKENS);
        assert!(granted.iter().filter(|is| **is).count() <= 1, "{n}");
    }
}

/// Guards against claims that a caller makes up.
#[test]
fn forged_claim_is_not_granted() {
    let mut hosts = Hosts::new();
    hosts.begin(0, 0, key(1), DEADLINE_MS);
    // Of a stream that no host began, of another workspace, and for more work than was admitted.
    assert_eq!(hosts.claim(100, &[3], key(2), TOKENS), [false]);
    let other = StreamKey::new(Some("two"), "attempt-1");
    assert_eq!(hosts.claim(100, &[3], other, TOKENS), [false]);
    assert_eq!(hosts.claim(100, &[3], key(1), TOKENS + 1), [false]);
    // After the deadline, also if the request that continued the stream stated a later one.
    hosts.begin(200, 0, key(1), 10 * DEADLINE_MS);
    assert_eq!(hosts.claim(DEADLINE_MS, &[3], key(1), TOKENS), [false]);
    assert_eq!(hosts.claim(300, &[3], key(1), TOKENS), [true]);
}

/// Guards against callers that continue one stream over and over, each time beyond their share.
#[test]
fn stream_that_has_begun_again_can_be_claimed_again_a_few_times() {
    let mut hosts = Hosts::new();
    let mut granted = Vec::new();
    for n in 0..6 {
        hosts.begin(n * 200, 0, key(1), DEADLINE_MS);
        granted.extend(hosts.claim(n * 200 + 100, &[3], key(1), TOKENS));
    }
    assert_eq!(granted, [true, true, true, false, false, false]);
}

/// A home is lost; the others are more than half.
#[test]
fn claim_is_granted_without_one_home_and_not_without_half_of_them() {
    for (lost, expected) in [(1, true), (2, false)] {
        let mut hosts = Hosts::new();
        hosts.begin(0, 0, key(1), DEADLINE_MS);
        for home in hosts.homes(0, key(1)).into_iter().take(lost) {
            hosts.origins[home] = StreamOrigins::default();
        }
        let granted = hosts.claim(100, &[3], key(1), TOKENS);
        assert_eq!(granted, [expected], "{lost} homes lost");
    }
}
