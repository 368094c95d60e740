//! A request that makes every server that runs it crash, and comes again and again.
//!
//! The load: six hosts send 50 requests a second to four servers of a plain service. One request in ten
//! is the same one, from the same caller; a server that runs it crashes after 70 ms and is back after
//! three seconds as another run. All others that it runs break off with it.

use std::ops::Range;
use std::time::Duration;

use cardamomshift_lib::crashing::RequestClearance;
use cardamomshift_lib::crashing::RequestDigest;
use cardamomshift_lib::crashing::RequestQuarantine;
use cardamomshift_lib::crashing::SentRequest;
use cardamomshift_lib::crashing::SuspectRequest;
use cardamomshift_lib::time::Timestamp;

const HOSTS: usize = 6;
const SERVERS: usize = 4;
/// Step of the play, milliseconds.
const STEP_MS: u64 = 5;
/// Steps between requests.
const REQUEST_STEPS: u64 = 4;
/// Time after which a server that runs the harmful request crashes, milliseconds.
const CRASH_MS: u64 = 70;
/// Time that a sound request takes, milliseconds.
const RUN_MS: u64 = 60;
/// How long a crashed server is away, milliseconds.
const RESTART_MS: u64 = 3_000;
/// Delay of what hosts tell each other, milliseconds.
const DELAY_MS: u64 = 5;
/// One in this many messages between hosts is lost.
const LOST_ONE_IN: u64 = 10;
/// Interval at which hosts repeat what they suspect, milliseconds, and the number of hosts told.
const REPEAT_MS: u64 = 1_000;
const REPEAT_HOSTS: u64 = 3;
/// How long hosts and servers are without disturbance before a send counts, milliseconds.
const STABLE_MS: u64 = 3_000;

const HARMFUL: RequestDigest = RequestDigest {
    workspace: 1,
    content: 666,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn sound(n: u64) -> RequestDigest {
    // Some sound requests are repeated too.
    RequestDigest {
        workspace: 1,
        content: n % 40,
    }
}

struct InFlight {
    sent: SentRequest,
    host: usize,
    server: usize,
    sent_at: u64,
    may_retry: bool,
}

struct Message {
    to: usize,
    arrives_at: u64,
    list: Vec<SuspectRequest>,
}

#[derive(Default)]
struct Outcome {
    /// Times at which the harmful request was sent to servers.
    harmful_sent: Vec<u64>,
    /// Times at which the harmful request crashed a server.
    crashes: Vec<u64>,
    /// Times at which sound requests came in, and whether they were sent.
    sound: Vec<(u64, bool)>,
}

impl Outcome {
    /// Part of the sound requests within a span of time that were sent.
    fn sound_sent(&self, span: Range<u64>) -> f64 {
        let within = self.sound.iter().filter(|(time, _)| span.contains(time));
        let (all, sent): (Vec<_>, Vec<_>) = within.map(|(_, is_sent)| (1_u32, *is_sent)).unzip();
        sent.iter().filter(|is_sent| **is_sent).count() as f64 / all.len() as f64
    }

    /// The users' bounds: at most three requests later than 3 s after the third crash, and from 6 s after
    /// it sound requests are served again.
    fn assert_bounds(&self) {
        let third = *self.crashes.get(2).expect("three servers crashed");
        let late = self
            .harmful_sent
            .iter()
            .filter(|sent| **sent > third + STABLE_MS);
        assert!(
            late.count() <= 3,
            "sent at {:?}, crashed at {:?} ms",
            self.harmful_sent,
            self.crashes
        );
        let served = self.sound_sent(third + 6_000..u64::MAX);
        assert!(served > 0.95, "{served} of the sound requests sent");
    }
}

/// The fleet, with a network that loses messages.
struct Play {
    hosts: Vec<RequestQuarantine>,
    /// Number of the run of each server, and the time from which on it is there.
    servers: Vec<(u64, u64)>,
    in_flight: Vec<InFlight>,
    messages: Vec<Message>,
    /// Hosts that neither hear the others nor are heard.
    is_cut: fn(u64, usize) -> bool,
    message_count: u64,
    outcome: Outcome,
}

impl Play {
    fn new(is_cut: fn(u64, usize) -> bool) -> Self {
        Self {
            hosts: vec![RequestQuarantine::default(); HOSTS],
            servers: vec![(1, 0); SERVERS],
            in_flight: Vec::new(),
            messages: Vec::new(),
            is_cut,
            message_count: 0,
            outcome: Outcome::default(),
        }
    }

    /// Plays the load. `restarts` gives the hosts that restart at a time and so forget everything.
    fn run(mut self, seconds: u64, restarts: fn(u64) -> Range<usize>) -> Outcome {
        for step in 0..seconds * 1_000 / STEP_MS {
            let now = step * STEP_MS;
            for host in restarts(now) {
                self.hosts[host] = RequestQuarantine::default();
            }
            self.advance(now);
            self.exchange(now);
            if step % REQUEST_STEPS == 0 {
                let n = step / REQUEST_STEPS;
                let is_harmful = n % 10 == 7 && now >= 2_000;
                let digest = if is_harmful { HARMFUL } else { sound(n) };
                let is_sent = self.send(now, n as usize * 5 % HOSTS, digest, n as usize, true);
                if !is_harmful {
                    self.outcome.sound.push((now, is_sent));
                }
            }
        }
        self.outcome
    }

    /// Sends a request to a server, unless it is held back or no server is there.
    fn send(
        &mut self,
        now: u64,
        host: usize,
        digest: RequestDigest,
        first: usize,
        may_retry: bool,
    ) -> bool {
        let held = self.hosts[host].clearance(at(now), digest);
        if matches!(held, RequestClearance::HeldBack { .. }) {
            return false;
        }
        let mut order = (first..first + SERVERS).map(|n| n % SERVERS);
        let Some(server) = order.find(|server| self.servers[*server].1 <= now) else {
            return false;
        };
        let run = self.servers[server].0 * 10 + server as u64;
        let sent = self.hosts[host].send(at(now), digest, run, at(now + 4_000));
        if digest == HARMFUL {
            self.outcome.harmful_sent.push(now);
        }
        self.in_flight.push(InFlight {
            sent,
            host,
            server,
            sent_at: now,
            may_retry,
        });
        true
    }

    /// Ends requests, and crashes servers.
    fn advance(&mut self, now: u64) {
        let mut crashed = [false; SERVERS];
        for flight in &self.in_flight {
            let is_harmful = flight.sent.digest == HARMFUL;
            crashed[flight.server] |= is_harmful && now >= flight.sent_at + CRASH_MS;
        }
        for (server, _) in crashed.iter().enumerate().filter(|(_, crashed)| **crashed) {
            self.outcome.crashes.push(now);
            self.servers[server] = (self.servers[server].0 + 1, now + RESTART_MS);
        }
        let (ended, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|flight| crashed[flight.server] || now >= flight.sent_at + RUN_MS);
        self.in_flight = rest;
        let mut retries = Vec::new();
        for flight in ended {
            let InFlight { sent, host, .. } = &flight;
            if crashed[flight.server] {
                self.hosts[*host].on_crash(at(now), sent);
                retries.extend(flight.may_retry.then_some((*host, sent.digest)));
            } else if sent.digest == HARMFUL {
                self.in_flight.push(flight);
                continue;
            } else {
                self.hosts[*host].on_answered(at(now), sent.digest);
            }
            self.hosts[*host].on_ended(sent);
        }
        for (host, digest) in retries {
            self.send(now, host, digest, host, false);
        }
    }

    /// Delivers what hosts tell each other.
    fn exchange(&mut self, now: u64) {
        let (arrived, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message: &Message| message.arrives_at <= now);
        self.messages = rest;
        for message in arrived {
            for report in &message.list {
                self.hosts[message.to].on_report(at(now), report);
            }
        }
        for from in 0..HOSTS {
            let news = self.hosts[from].take_news(at(now));
            let repeats = match now % REPEAT_MS == from as u64 * STEP_MS {
                true => self.hosts[from].suspects(at(now)),
                false => Vec::new(),
            };
            for to in (0..HOSTS).filter(|to| *to != from) {
                for list in &news {
                    self.post(now, from, to, list);
                }
                // Other hosts each time, half of them.
                let turn = now / REPEAT_MS + to as u64 * 7 + from as u64 * 3;
                if turn % 5 < REPEAT_HOSTS && !repeats.is_empty() {
                    self.post(now, from, to, &repeats);
                }
            }
        }
    }

    fn post(&mut self, now: u64, from: usize, to: usize, list: &[SuspectRequest]) {
        self.message_count += 1;
        let is_lost = self.message_count % LOST_ONE_IN == 3;
        if is_lost || (self.is_cut)(now, from) || (self.is_cut)(now, to) {
            return;
        }
        self.messages.push(Message {
            to,
            arrives_at: now + DELAY_MS,
            list: list.to_vec(),
        });
    }
}

#[test]
fn request_that_crashes_servers_is_held_back_by_all_hosts() {
    let play = Play::new(|_, _| false);
    play.run(60, |_| 0..0).assert_bounds();
}

#[test]
fn request_that_crashes_servers_is_held_back_while_hosts_restart() {
    let play = Play::new(|_, _| false);
    // Another host every 2 s.
    let outcome = play.run(60, |now| {
        let host = (now / 2_000) as usize % HOSTS;
        if now % 2_000 == 0 {
            host..host + 1
        } else {
            0..0
        }
    });
    outcome.assert_bounds();
}

/// All hosts forget it at once. It is learnt anew within the time in which requests do not count.
#[test]
fn request_that_crashes_servers_is_held_back_again_after_all_hosts_have_restarted() {
    let play = Play::new(|_, _| false);
    let outcome = play.run(60, |now| if now == 20_000 { 0..HOSTS } else { 0..0 });
    let late = |sent: &&u64| (8_000..20_000).contains(*sent) || **sent > 20_000 + STABLE_MS;
    let late = outcome.harmful_sent.iter().filter(late).count();
    assert!(late <= 3, "sent at {:?}", outcome.harmful_sent);
}

/// A host that was cut off from the others does not know what they have found out.
#[test]
fn host_that_was_cut_off_learns_of_a_request_that_crashes_servers() {
    let play = Play::new(|now, host| host == 2 && now < 12_000);
    let outcome = play.run(60, |_| 0..0);
    let late = outcome
        .harmful_sent
        .iter()
        .filter(|sent| **sent > 12_000 + STABLE_MS);
    assert!(late.count() <= 3, "sent at {:?}", outcome.harmful_sent);
}

/// Sends a request to a run of a server, which crashes.
fn crash(quarantine: &mut RequestQuarantine, now: u64, digest: RequestDigest, run: u64) {
    let sent = quarantine.send(at(now), digest, run, at(now + 4_000));
    quarantine.on_crash(at(now + 10), &sent);
    quarantine.on_ended(&sent);
}

fn is_held(quarantine: &RequestQuarantine, now: u64, digest: RequestDigest) -> bool {
    let clearance = quarantine.clearance(at(now), digest);
    matches!(clearance, RequestClearance::HeldBack { .. })
}

/// Repeats of a popular request are on all servers that crash at once, for a reason of their own.
#[test]
fn sound_request_on_servers_that_crash_at_once_is_soon_sent_again() {
    let mut quarantine = RequestQuarantine::default();
    let sent: Vec<_> = (0..4)
        .map(|run| quarantine.send(at(1_000), sound(1), run, at(5_000)))
        .collect();
    for sent in &sent {
        quarantine.on_crash(at(1_010), sent);
    }
    assert_eq!(
        quarantine.clearance(at(1_020), sound(1)),
        RequestClearance::Trial
    );
    let trial = quarantine.send(at(1_020), sound(1), 9, at(5_020));
    assert!(is_held(&quarantine, 1_030, sound(1)));
    quarantine.on_answered(at(1_100), sound(1));
    quarantine.on_ended(&trial);
    let clearance = quarantine.clearance(at(1_100), sound(1));
    assert_eq!(clearance, RequestClearance::Free);
}

#[test]
fn repeats_on_the_same_server_count_as_one_crash() {
    let mut quarantine = RequestQuarantine::default();
    let sent: Vec<_> = (0..5)
        .map(|n| quarantine.send(at(1_000 + n), sound(1), 7, at(5_000)))
        .collect();
    for sent in &sent {
        quarantine.on_crash(at(1_050), sent);
    }
    let clearance = quarantine.clearance(at(1_060), sound(1));
    assert_eq!(clearance, RequestClearance::Free);
}

#[test]
fn other_requests_of_the_workspace_are_not_held_back() {
    let mut quarantine = RequestQuarantine::default();
    for run in 0..3 {
        crash(&mut quarantine, 1_000 + run * 100, HARMFUL, run);
    }
    assert!(is_held(&quarantine, 2_000, HARMFUL));
    let other_workspace = RequestDigest {
        workspace: 2,
        ..HARMFUL
    };
    assert!(!is_held(&quarantine, 2_000, other_workspace));
    assert!(!is_held(&quarantine, 2_000, sound(1)));
}

#[test]
fn request_is_tried_again_after_its_hold_and_each_hold_is_longer() {
    let mut quarantine = RequestQuarantine::default();
    for run in 0..3 {
        crash(&mut quarantine, 1_000 + run * 100, HARMFUL, run);
    }
    let left = |quarantine: &RequestQuarantine, now| match quarantine.clearance(at(now), HARMFUL) {
        RequestClearance::HeldBack { retry_after } => Some(retry_after),
        _ => None,
    };
    let first = left(&quarantine, 1_210).expect("the request is held back");
    let end = 1_210 + first.as_millis() as u64;
    assert_eq!(
        quarantine.clearance(at(end), HARMFUL),
        RequestClearance::Trial
    );
    crash(&mut quarantine, end, HARMFUL, 4);
    let second = left(&quarantine, end + 10).expect("the request is held back again");
    assert!(second > first, "{second:?} after {first:?}");
}

/// Guards against a request that is sent freely again after its hold, as if it had never crashed servers: it
/// would crash three of them before it is held back again, every time.
#[test]
fn request_that_relapses_after_its_hold_crashes_one_server_only() {
    let mut quarantine = RequestQuarantine::default();
    for run in 0..3 {
        crash(&mut quarantine, 1_000 + run * 100, HARMFUL, run);
    }
    // Ten minutes after the end of the hold, which is ten minutes too, and an hour after it.
    let (relapse, forgotten) = (20 * 60_000, 70 * 60_000);
    quarantine.sweep(at(relapse));
    let clearance = quarantine.clearance(at(relapse), HARMFUL);
    assert_eq!(clearance, RequestClearance::Trial);
    let mut sound = quarantine.clone();
    crash(&mut quarantine, relapse, HARMFUL, 4);
    assert!(is_held(&quarantine, relapse + 20, HARMFUL));
    sound.sweep(at(forgotten));
    let clearance = sound.clearance(at(forgotten), HARMFUL);
    assert_eq!(clearance, RequestClearance::Free);
}

/// Guards against trials that each host starts for itself, of which each crashes a server.
#[test]
fn trial_of_one_host_is_told_to_the_others() {
    let mut hosts = [RequestQuarantine::default(), RequestQuarantine::default()];
    for run in 0..2 {
        crash(&mut hosts[0], 1_000 + run * 100, HARMFUL, run);
    }
    let tell = |hosts: &mut [RequestQuarantine; 2], now| {
        for list in hosts[0].take_news(at(now)) {
            list.iter()
                .for_each(|report| hosts[1].on_report(at(now), report));
        }
    };
    tell(&mut hosts, 1_200);
    let clearance = hosts[1].clearance(at(1_300), HARMFUL);
    assert_eq!(clearance, RequestClearance::Trial);
    hosts[0].send(at(1_300), HARMFUL, 3, at(5_300));
    tell(&mut hosts, 1_300);
    assert!(is_held(&hosts[1], 1_301, HARMFUL));
}

/// Each host passes on what it was told, with delays of the network.
#[test]
fn what_hosts_tell_each_other_expires() {
    let mut hosts = [RequestQuarantine::default(), RequestQuarantine::default()];
    for run in 0..3 {
        crash(&mut hosts[0], 1_000 + run * 100, HARMFUL, run);
    }
    let mut now = 2_000;
    while now < 4 * 3_600_000 {
        let (from, to) = (now as usize / 1_000 % 2, (now as usize / 1_000 + 1) % 2);
        let told = hosts[from].suspects(at(now));
        for report in &told {
            hosts[to].on_report(at(now + 2), report);
        }
        hosts[from].sweep(at(now));
        now += 1_000;
    }
    for host in &hosts {
        assert!(!host.has_suspects());
    }
}

#[test]
fn request_quarantine_is_bounded() {
    let mut quarantine = RequestQuarantine::default();
    for n in 0..5_000 {
        let digest = RequestDigest {
            workspace: 3,
            content: n,
        };
        crash(&mut quarantine, n, digest, n);
    }
    for run in 0..3 {
        crash(&mut quarantine, 6_000 + run * 100, HARMFUL, run);
    }
    quarantine.sweep(at(7_000));
    assert!(format!("{quarantine:?}").len() < 1_024 * 1_000);
    assert!(is_held(&quarantine, 7_000, HARMFUL));
    let told = Duration::ZERO;
    assert_eq!(quarantine.suspects(at(7_000))[0].digest, HARMFUL);
    assert_eq!(quarantine.suspects(at(7_000))[0].trial_remaining, told);
}
