//! Encoding of the datagrams between entry hosts, and the selection of schedulers and mirror hosts.
//!
//! An entry host is a reverse proxy between callers and backend servers. A scheduler, on one of the
//! hosts, decides when and on which server a request to a model starts. A mirror host reads objects
//! from the platform (the external store of the configuration and of the lists of servers and
//! hosts) and serves them to the other hosts of its failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::crashing::RequestCrash;
use cardamomshift_lib::crashing::RequestDigest;
use cardamomshift_lib::crashing::SuspectRequest;
use cardamomshift_lib::entry::Asking;
use cardamomshift_lib::entry::Datagram;
use cardamomshift_lib::entry::Decider;
use cardamomshift_lib::entry::KnownOrigin;
use cardamomshift_lib::entry::PartCrash;
use cardamomshift_lib::entry::Peer;
use cardamomshift_lib::entry::Peers;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ReservationId;
use cardamomshift_lib::entry::RolloutPermit;
use cardamomshift_lib::entry::RolloutPhase;
use cardamomshift_lib::entry::RolloutReport;
use cardamomshift_lib::entry::RouteOutcomes;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::ServerLimit;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::entry::ShardWork;
use cardamomshift_lib::entry::StartTimes;
use cardamomshift_lib::entry::StreamKey;
use cardamomshift_lib::entry::StreamOrigin;
use cardamomshift_lib::entry::VersionId;
use cardamomshift_lib::entry::WorkspaceWork;
use cardamomshift_lib::entry::decode;
use cardamomshift_lib::entry::encode;
use cardamomshift_lib::entry::wait_for_reply;
use cardamomshift_lib::time::Timestamp;
use proptest::prelude::*;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn peer(n: u8, domain: &str, cores: f64) -> Peer {
    Peer {
        name: format!("h{n}").into(),
        address: SocketAddr::from(([10, 0, 0, n], 7_400)),
        callers: None,
        domain: domain.into(),
        cores,
    }
}

fn reservation() -> impl Strategy<Value = ReservationId> {
    (any::<u32>(), any::<u64>()).prop_map(|(epoch, number)| ReservationId { epoch, number })
}

fn span() -> impl Strategy<Value = Duration> {
    (0..u64::from(u32::MAX)).prop_map(Duration::from_micros)
}

fn schedule_request() -> impl Strategy<Value = ScheduleRequest> {
    let part = (any::<u64>(), any::<u32>()).prop_map(|(id, tokens)| PromptPart { id, tokens });
    let parts = proptest::collection::vec(part, 0..5);
    let excluded = proptest::collection::vec(any::<u64>(), 0..100);
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let shard = (any::<u32>(), any::<u32>());
    let rest = (any::<u32>(), any::<u32>(), span(), span(), any::<bool>());
    (numbers, shard, rest, parts, excluded).prop_map(|(n, shard, rest, parts, excluded)| {
        ScheduleRequest {
            service: n.0,
            shard: Shard {
                index: shard.0,
                count: shard.1,
            },
            workspace: n.1,
            domain: n.2,
            input_tokens: rest.0,
            output_tokens: rest.1,
            shared_parts: parts,
            until_objective: rest.2,
            until_give_up: rest.3,
            is_caller_retry: rest.4,
            rank: rest.0,
            last_server: n.3,
            kind: n.0 ^ n.1,
            content: n.1 ^ n.2,
            version: (n.3 % 2 == 1).then_some(VersionId(n.3)),
            except_version: (n.2 % 2 == 1).then_some(VersionId(n.2)),
            objective: rest.3,
            continues_stream: rest.4,
            was_refused: rest.4,
            refused_tokens: n.2,
            excluded,
        }
    })
}

fn decision() -> impl Strategy<Value = ScheduleDecision> {
    prop_oneof![
        (reservation(), any::<u64>(), span(), any::<u32>()).prop_map(
            |(reservation, server, send_after, uncached)| {
                ScheduleDecision::Start {
                    reservation,
                    server,
                    send_after,
                    uncached_tokens: uncached,
                }
            }
        ),
        (span(), span(), span(), any::<[bool; 2]>()).prop_map(
            |(retry_after, soonest, limit, [is_over_share, tries_others])| {
                ScheduleDecision::Refuse {
                    retry_after,
                    soonest,
                    limit,
                    is_over_share,
                    tries_others,
                }
            }
        ),
        (any::<u64>(), span())
            .prop_map(|(part, retry_after)| ScheduleDecision::HoldBack { part, retry_after }),
        Just(ScheduleDecision::NoEngine),
    ]
}

fn progress() -> impl Strategy<Value = Progress> {
    let step = prop_oneof![
        (span(), span())
            .prop_map(|(after, host_lag)| ProgressStep::ResponseStarted { after, host_lag }),
        any::<u64>().prop_map(|started_at_ms| ProgressStep::ServerLeaving { started_at_ms }),
        Just(ProgressStep::Unreachable),
        Just(ProgressStep::Failed),
        Just(ProgressStep::Broken),
        Just(ProgressStep::Silent),
        Just(ProgressStep::Survived),
        Just(ProgressStep::Answered),
        Just(ProgressStep::Ended),
    ];
    (reservation(), step).prop_map(|(reservation, step)| Progress { reservation, step })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    prop_oneof![
        (any::<u64>(), schedule_request(), crashes(), limits()).prop_map(
            |(id, request, crashes, limits)| Datagram::Bid {
                id,
                request,
                crashes,
                limits,
            }
        ),
        (any::<u64>(), decision(), crashes()).prop_map(|(id, decision, crashes)| {
            Datagram::Verdict {
                id,
                decision,
                crashes,
            }
        }),
        proptest::collection::vec(progress(), 0..40).prop_map(Datagram::Progress),
        any::<u64>().prop_map(|id| Datagram::Leaving { id }),
        (
            any::<u64>(),
            0.0_f32..1.0,
            proptest::collection::vec(work(), 0..60)
        )
            .prop_map(|(service, contention, work)| {
                let shards = ShardWork { contention, work };
                Datagram::Shares { service, shards }
            }),
        proptest::collection::vec(suspect(), 0..24).prop_map(Datagram::SuspectRequests),
        (any::<[u64; 3]>(), span()).prop_map(|([key, version, tokens], remaining)| {
            Datagram::Origin(StreamOrigin {
                key: StreamKey(key),
                version: VersionId(version),
                remaining,
                tokens,
            })
        }),
        any::<[u64; 4]>().prop_map(|[id, key, service, claimed_tokens]| {
            Datagram::OriginRequest {
                id,
                key: StreamKey(key),
                service,
                claimed_tokens,
            }
        }),
        (any::<u64>(), known_origin(), any::<bool>()).prop_map(|(id, origin, is_claimed)| {
            Datagram::OriginReply {
                id,
                origin,
                is_claimed,
            }
        }),
        rollout_report().prop_map(Datagram::RolloutReport),
        rollout_permit().prop_map(Datagram::RolloutPermit),
        Just(Datagram::Probe),
        Just(Datagram::ProbeReply),
    ]
}

fn rollout_report() -> impl Strategy<Value = RolloutReport> {
    let starts = proptest::collection::vec(span(), 0..20).prop_map(|spans| {
        let mut times = StartTimes::default();
        spans.into_iter().for_each(|span| times.add(span));
        times
    });
    let outcomes = (any::<u64>(), any::<bool>(), any::<[u32; 2]>(), starts).prop_map(
        |(route, is_target, [sent, failed], start_times)| RouteOutcomes {
            route,
            is_target,
            sent,
            failed,
            start_times,
        },
    );
    let outcomes = proptest::collection::vec(outcomes, 0..12);
    (any::<[u64; 5]>(), any::<u32>(), span(), outcomes).prop_map(
        |([service, target, order, incarnation, requests], running_old, age, outcomes)| {
            RolloutReport {
                service,
                target: VersionId(target),
                order,
                incarnation,
                age,
                running_old,
                requests,
                outcomes,
            }
        },
    )
}

fn rollout_permit() -> impl Strategy<Value = RolloutPermit> {
    let phase = prop_oneof![
        any::<u32>().prop_map(|share_millionths| RolloutPhase::Canary { share_millionths }),
        span().prop_map(|remaining| RolloutPhase::Shift { remaining }),
        Just(RolloutPhase::Completed),
        Just(RolloutPhase::Reverted),
    ];
    (any::<[u64; 3]>(), span(), phase).prop_map(|([service, target, order], valid_for, phase)| {
        RolloutPermit {
            service,
            target: VersionId(target),
            order,
            valid_for,
            phase,
        }
    })
}

fn known_origin() -> impl Strategy<Value = KnownOrigin> {
    prop_oneof![
        Just(KnownOrigin::Unknown),
        any::<u64>().prop_map(|version| KnownOrigin::Version(VersionId(version))),
        any::<u64>().prop_map(|version| KnownOrigin::OnlyVersion(VersionId(version))),
    ]
}

fn suspect() -> impl Strategy<Value = SuspectRequest> {
    let crash = (any::<u64>(), span(), any::<bool>());
    let crash = crash.prop_map(|(run, age, was_trial)| RequestCrash {
        run,
        age,
        was_trial,
    });
    let digest =
        any::<[u64; 2]>().prop_map(|[workspace, content]| RequestDigest { workspace, content });
    let crashes = proptest::collection::vec(crash, 0..8);
    (digest, crashes, proptest::option::of(span()), span()).prop_map(
        |(digest, crashes, answered_age, trial_remaining)| SuspectRequest {
            digest,
            crashes,
            answered_age,
            trial_remaining,
        },
    )
}

fn crashes() -> impl Strategy<Value = Vec<PartCrash>> {
    let crash = (any::<[u64; 3]>(), span(), span(), any::<[bool; 2]>());
    let crash = crash.prop_map(|(n, age, remaining, flags)| PartCrash {
        part: n[0],
        run: n[1],
        content: n[2],
        age,
        remaining,
        is_blamed: flags[0],
        was_trial: flags[1],
    });
    proptest::collection::vec(crash, 0..20)
}

fn limits() -> impl Strategy<Value = Vec<ServerLimit>> {
    let limit = (any::<[u64; 2]>(), proptest::option::of(0.0..100.0), span());
    let limit = limit.prop_map(|(n, per_second, age)| ServerLimit {
        server: n[0],
        run: n[1],
        per_second,
        age,
    });
    proptest::collection::vec(limit, 0..32)
}

fn work() -> impl Strategy<Value = WorkspaceWork> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(workspace, requested, granted)| {
        WorkspaceWork {
            workspace,
            requested_tokens: requested,
            granted_tokens: granted,
        }
    })
}

proptest! {
    #[test]
    fn datagrams_round_trip(message in datagram()) {
        prop_assert_eq!(decode(&encode(&message)).unwrap(), message);
    }

    #[test]
    fn arbitrary_bytes_decode_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn truncated_datagrams_decode_without_panic(message in datagram(), part in 0.0_f64..1.0) {
        let bytes = encode(&message);
        let _ = decode(&bytes[..(bytes.len() as f64 * part) as usize]);
    }

    /// Hosts with the same list of hosts select the same scheduler.
    #[test]
    fn hosts_agree_on_the_scheduler(subject in any::<u64>()) {
        let all: Vec<_> = (1..=9).map(|n| peer(n, "d", 0.25)).collect();
        let choices: Vec<_> = all.iter().map(|own| {
            let mut peers = Peers::new(own);
            peers.set(&all);
            peers.scheduler(at(0), subject).unwrap_or(own.address)
        }).collect();
        prop_assert!(choices.iter().all(|choice| *choice == choices[0]));
    }
}

#[test]
fn silent_hosts_are_skipped_until_the_host_schedules_itself() {
    let own = peer(1, "d", 0.25);
    let mut peers = Peers::new(&own);
    peers.set(&[own.clone(), peer(2, "d", 0.25), peer(3, "d", 0.25)]);
    let subject = (0..100)
        .find(|s| peers.scheduler(at(0), *s).is_some())
        .unwrap();
    while let Some(address) = peers.scheduler(at(0), subject) {
        assert!(peers.on_no_reply(at(0), address));
        // Several requests may find the host silent at the same time.
        assert!(!peers.on_no_reply(at(0), address));
    }
    // The first backoff is 500 ms.
    assert!(peers.take_due_probes(at(400)).is_empty());
    let probed = peers.take_due_probes(at(600));
    assert!(
        !probed.is_empty(),
        "a silent host is probed after its backoff"
    );
    assert_eq!(
        peers.scheduler(at(700), subject),
        None,
        "no request waits for a host that has not answered its probe"
    );
    for address in probed {
        assert!(peers.on_reply(at(700), address));
    }
    assert!(peers.scheduler(at(700), subject).is_some());
}

#[test]
fn reply_resets_the_backoff_of_a_silent_host() {
    let own = peer(1, "d", 0.25);
    let mut peers = Peers::new(&own);
    peers.set(&[peer(2, "d", 0.25)]);
    let subject = (0..100)
        .find(|s| peers.scheduler(at(0), *s).is_some())
        .unwrap();
    let address = peers.scheduler(at(0), subject).unwrap();
    peers.on_no_reply(at(0), address);
    assert_eq!(peers.take_due_probes(at(600)), [address]);
    assert!(
        peers.take_due_probes(at(1_500)).is_empty(),
        "the second backoff of 1 s is longer than the first"
    );
    assert!(peers.on_reply(at(1_500), address));
    assert_eq!(peers.scheduler(at(1_500), subject), Some(address));
    peers.on_no_reply(at(1_500), address);
    assert_eq!(peers.next_probe_at(), Some(at(2_000)));
}

/// Time that a request waits for a host that does not reply.
const SILENT_WAIT_MS: u64 = 108;

/// Plays requests at one host, one every 10 ms, from the time on at which all other hosts are lost. Returns the
/// times for which they wait until it is decided who decides.
fn waits_at_last_host(hosts: u16, give_up_ms: u64) -> Vec<u64> {
    let address = |n: u16| {
        let [high, low] = n.to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 7_400))
    };
    let all: Vec<_> = (0..hosts)
        .map(|n| Peer {
            name: format!("h{n}").into(),
            address: address(n),
            callers: None,
            domain: format!("d{}", n % 7).into(),
            cores: 0.25,
        })
        .collect();
    let mut peers = Peers::new(&all[0]);
    peers.set(&all);
    let requests = 1_000;
    let mut waits = vec![None; requests];
    // Who has asked a silent host, until when: requests by number, `None` for the host's own probes.
    let mut asked: Vec<(u64, Option<usize>, Vec<SocketAddr>)> = Vec::new();
    let mut asking = vec![Asking::new(Timestamp::ZERO); requests];
    for now in 0..15_000 {
        let (ended, rest): (Vec<_>, Vec<_>) = asked.into_iter().partition(|(at, ..)| *at <= now);
        asked = rest;
        let mut ready: Vec<_> = Vec::new();
        if let Ok(number) = usize::try_from(now / 10)
            && now % 10 == 0
            && number < requests
        {
            asking[number] = Asking::new(at(now + give_up_ms));
            ready.push(number);
        }
        for (_, request, silent) in ended {
            for peer in silent {
                peers.on_no_reply(at(now), peer);
            }
            if let Some(number) = request {
                asking[number].on_no_reply();
                ready.push(number);
            }
        }
        peers.take_due_probes(at(now));
        let is_sweeping = asked.iter().any(|(_, request, _)| request.is_none());
        let sweep = peers.sweep(at(now), 5);
        if !sweep.is_empty() && !is_sweeping {
            asked.push((now + SILENT_WAIT_MS, None, sweep));
        }
        for number in ready {
            let started = 10 * u64::try_from(number).unwrap();
            match asking[number].next(at(now), &peers, 5) {
                Some(Decider::Peer(peer)) => {
                    let until = (now + SILENT_WAIT_MS).min(started + give_up_ms);
                    asked.push((until, Some(number), vec![peer]));
                }
                Some(Decider::Own) | None => waits[number] = Some(now - started),
            }
        }
    }
    waits.into_iter().map(Option::unwrap).collect()
}

/// Guards against requests that ask one silent host after another until their time is over, at the last host
/// of a fleet of any size.
#[test]
fn requests_at_the_last_host_wait_for_few_silent_hosts() {
    for hosts in [2, 24, 48, 196, 480] {
        let waits = waits_at_last_host(hosts, 4_000);
        let longest = waits.iter().max().unwrap();
        assert!(
            *longest <= 2 * SILENT_WAIT_MS,
            "{hosts} hosts: {longest} ms"
        );
        // The other hosts are found in rounds; afterwards nobody waits.
        let last_wait = waits.iter().rposition(|wait| *wait > 0).unwrap_or(0);
        let rounds = usize::from(hosts) / 32 + 4;
        assert!(
            last_wait <= 11 * rounds,
            "{hosts} hosts: request {last_wait}"
        );
        let waits = waits_at_last_host(hosts, 50);
        assert!(waits.iter().all(|wait| *wait <= 50), "{hosts} hosts");
    }
}

#[test]
fn small_hosts_schedule_only_when_no_large_one_replies() {
    let own = peer(1, "d", 0.12);
    let mut peers = Peers::new(&own);
    let large = peer(2, "d", 0.5);
    peers.set(&[large.clone(), peer(3, "d", 0.12)]);
    for subject in 0..50 {
        assert_eq!(peers.scheduler(at(0), subject), Some(large.address));
    }
    // While the large host is skipped, all others are of one size and share the subjects.
    peers.on_no_reply(at(0), large.address);
    let own_subjects = (0..50).filter(|subject| peers.scheduler(at(0), *subject).is_none());
    assert!((5..45).contains(&own_subjects.count()));
}

/// Mirror hosts of each host of a failure domain that also knows a host elsewhere.
fn mirror_hosts(all: &[Peer]) -> Vec<Vec<SocketAddr>> {
    let mut others = all.to_vec();
    others.push(peer(99, "elsewhere", 0.5));
    all.iter()
        .map(|own| {
            let mut peers = Peers::new(own);
            peers.set(&others);
            peers.mirror_hosts(5)
        })
        .collect()
}

/// The number of hosts that read the platform does not grow with the failure domain. The hosts agree
/// on the order in which they read from each other, so no host waits for itself in a circle.
#[test]
fn one_host_of_a_domain_reads_the_platform_and_the_others_read_from_it() {
    for count in [2, 3, 8, 60] {
        let all: Vec<_> = (1..=count).map(|n| peer(n, "d", 0.25)).collect();
        let lists = mirror_hosts(&all);
        let place_of = |length: usize| {
            let with = lists.iter().position(|list| list.len() == length);
            with.map(|index| all[index].address)
        };
        let first = place_of(0).unwrap();
        assert_eq!(lists.iter().filter(|list| list.is_empty()).count(), 1);
        assert_eq!(lists.iter().filter(|list| list.len() == 1).count(), 1);
        for (own, list) in all.iter().zip(&lists).filter(|(_, list)| !list.is_empty()) {
            assert_eq!(list[0], first);
            assert!(!list.contains(&own.address));
            if let Some(second) = list.get(1) {
                assert_eq!(Some(*second), place_of(1));
            }
        }
    }
}

#[test]
fn small_hosts_do_not_serve_large_ones() {
    let mut all: Vec<_> = (1..=6).map(|n| peer(n, "d", 0.12)).collect();
    all.extend((7..=9).map(|n| peer(n, "d", 0.5)));
    let large: Vec<_> = all[6..].iter().map(|peer| peer.address).collect();
    for list in mirror_hosts(&all) {
        assert!(list.iter().all(|address| large.contains(address)));
    }
}

#[test]
fn leaving_hosts_are_not_asked() {
    let all: Vec<_> = (1..=4).map(|n| peer(n, "d", 0.25)).collect();
    let mut peers = Peers::new(&all[0]);
    peers.set(&all);
    for subject in 0..50 {
        let Some(first) = peers.scheduler(at(0), subject) else {
            continue;
        };
        peers.on_leaving(at(0), first);
        assert_ne!(peers.scheduler(at(1), subject), Some(first));
        // After the host has stopped, its successor answers at the same address.
        assert_eq!(peers.scheduler(at(10_000), subject), Some(first));
        peers = Peers::new(&all[0]);
        peers.set(&all);
    }
    // A host that is stopping itself selects another one for every subject.
    peers.leave();
    for subject in 0..50 {
        assert!(
            peers.scheduler(at(0), subject).is_some(),
            "subject {subject}"
        );
    }
}

#[test]
fn leaving_host_without_peers_schedules_itself() {
    let own = peer(1, "d", 0.25);
    let mut peers = Peers::new(&own);
    peers.set(std::slice::from_ref(&own));
    peers.leave();
    assert_eq!(peers.scheduler(at(0), 7), None);
}

/// Sends `count` datagrams to a host that is busy for 200 ms meanwhile, the awaited reply as the last
/// one. Returns whether the host gets the reply, for which it waits for 40 ms.
async fn receives_reply(count: usize) -> bool {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (tx, mut rx) = oneshot::channel();
    let receiving = async move {
        let mut buf = [0; 8];
        for _ in 0..count {
            socket.recv_from(&mut buf).await.unwrap();
        }
        tx.send(()).unwrap();
        std::future::pending::<()>().await;
    };
    let busy = tokio::task::spawn(async move {
        let peer = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for _ in 0..count {
            peer.send_to(b"reply", address).unwrap();
        }
        std::thread::sleep(Duration::from_millis(200));
    });
    let receiving = tokio::task::spawn(receiving);
    let reply = wait_for_reply(&mut rx, Duration::from_millis(40)).await;
    busy.await.unwrap();
    receiving.abort();
    reply.is_some()
}

#[tokio::test]
async fn busy_host_does_not_take_its_peers_for_silent() {
    assert!(receives_reply(1).await);
    // More than the runtime lets a task receive in one turn.
    assert!(receives_reply(200).await);
}

#[tokio::test]
async fn peer_without_a_reply_counts_as_silent() {
    let (_tx, mut rx) = oneshot::channel::<()>();
    let reply = wait_for_reply(&mut rx, Duration::from_millis(40)).await;
    assert_eq!(reply, None);
}
