//! Prompts with a part that ends each engine that begins to answer one, at hosts that run as separate
//! processes. The engines show their ends in different ways.
//!
//! The bounds are those of the users: three harmful requests at engines later than 3 s after the fifth
//! end, and from 6 s after it sound requests of the same sessions served at least half as often as before.

#[path = "../../platform/tests/stand_ins/mod.rs"]
mod stand_ins;

#[path = "soak/host.rs"]
mod host;

mod crashing;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::crashing::End;
use crate::crashing::Seen;
use crate::crashing::run_engine;
use crate::host::Host;
use crate::stand_ins::HARMFUL_PART;
use crate::stand_ins::KEY;
use crate::stand_ins::StandInStore;
use crate::stand_ins::call;
use crate::stand_ins::complete_stream_of;
use crate::stand_ins::config;

const HOSTS: u8 = 3;
const ENGINES: usize = 6;
/// Interval between sound requests.
const INTERVAL: Duration = Duration::from_millis(25);
/// One in this many requests is followed by a harmful one.
const HARMFUL_EVERY: u32 = 10;
const SESSIONS: u32 = 40;
/// Requests before the first harmful one, and in all.
const CALM: u32 = 160;
const REQUESTS: u32 = 800;
/// Bounds of the users.
const STABLE: Duration = Duration::from_secs(3);
const LATE_MAX: usize = 3;

async fn send(host: SocketAddr, number: u32, is_harmful: bool) -> bool {
    let id = format!("id-{number}-{is_harmful}");
    let harmful = match is_harmful {
        true => format!("{HARMFUL_PART},"),
        false => String::new(),
    };
    // Harmful requests come in all sessions.
    let session = 0xa000 + (number + number / HARMFUL_EVERY) % SESSIONS;
    let parts = format!("5c1e07a2:800,{session:x}:410,{harmful}{number:x}f0:150");
    let key = format!("Token {KEY}");
    let fields = [
        ("authorization", key.as_str()),
        ("attempt-id", &id),
        ("token-usage", "1460,80"),
        ("prefix-hash", &parts),
    ];
    let response = call(host, "/s/1", &fields, &id).await;
    response.status.is_success() && response.body == Ok(complete_stream_of(8))
}

/// Plays the load with three hosts and six engines that end like this. Tests that run at the same time need
/// other numbers.
async fn play(first_host: u8, end: End) {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &[KEY]));
    let seen = Arc::<Mutex<Seen>>::default();
    for n in 0..ENGINES {
        tokio::spawn(run_engine(n, end, store.clone(), seen.clone()));
    }
    let folder = tempfile::tempdir().unwrap();
    let start = |n| Host::start(n, folder.path(), store.address);
    let hosts: Vec<_> = (first_host..first_host + HOSTS).map(start).collect();
    for host in &hosts {
        while !host.is_ready().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    // The hosts also learn of each other.
    tokio::time::sleep(STABLE).await;
    let begin = Instant::now();
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let callers = hosts[number as usize % hosts.len()].callers();
        let sent = Instant::now();
        calls.push((sent, tokio::spawn(send(callers, number, false))));
        if number >= CALM && number % HARMFUL_EVERY == 0 {
            let callers = hosts[(number / HARMFUL_EVERY) as usize % hosts.len()].callers();
            tokio::spawn(send(callers, number, true));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    let mut sound = Vec::new();
    for (sent, call) in calls {
        sound.push((sent, call.await.unwrap_or(false)));
    }
    check(begin, &seen.lock().unwrap(), &sound);
}

fn check(begin: Instant, seen: &Seen, sound: &[(Instant, bool)]) {
    let fifth = seen.ends.get(4).or(seen.ends.last());
    let fifth = *fifth.expect("no engine ended");
    let late = seen.harmful.iter().filter(|at| **at > fifth + STABLE);
    let served = |from: Instant, until: Instant| {
        let within: Vec<_> = sound
            .iter()
            .filter(|(at, _)| (from..until).contains(at))
            .collect();
        let served = within.iter().filter(|(_, is_served)| *is_served).count();
        (served, within.len())
    };
    let (calm, calm_all) = served(begin, begin + INTERVAL * CALM);
    let (beside, beside_all) = served(fifth + 2 * STABLE, Instant::now());
    let (late, ends) = (late.count(), seen.ends.len());
    println!(
        "{ends} ends, {late} late, sound {calm} of {calm_all} before, {beside} of {beside_all} beside"
    );
    assert!(late <= LATE_MAX, "{late} harmful requests, {ends} ends");
    assert!(
        2 * beside * calm_all >= calm * beside_all,
        "{beside} of {beside_all} sound requests served, {calm} of {calm_all} before"
    );
}

const CLOSED_AFTER_HEAD: End = End {
    writes_head: true,
    events: 0,
    closes_after: Duration::from_millis(20),
    serves_others: false,
    keeps_identifier: false,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_is_held_back_if_engines_close_after_the_head() {
    play(41, CLOSED_AFTER_HEAD).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_is_held_back_if_engines_close_before_the_head() {
    let end = End {
        writes_head: false,
        closes_after: Duration::ZERO,
        ..CLOSED_AFTER_HEAD
    };
    play(51, end).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_is_held_back_if_engines_that_close_come_back_as_themselves() {
    let end = End {
        writes_head: false,
        closes_after: Duration::ZERO,
        keeps_identifier: true,
        ..CLOSED_AFTER_HEAD
    };
    play(61, end).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_is_held_back_if_engines_are_silent_after_the_head() {
    let end = End {
        closes_after: Duration::from_secs(2),
        ..CLOSED_AFTER_HEAD
    };
    play(71, end).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_is_held_back_if_engines_are_silent_before_the_head() {
    let end = End {
        writes_head: false,
        closes_after: Duration::from_secs(2),
        ..CLOSED_AFTER_HEAD
    };
    play(81, end).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_is_held_back_if_engines_close_after_an_event() {
    let end = End {
        events: 1,
        closes_after: Duration::from_millis(300),
        serves_others: true,
        ..CLOSED_AFTER_HEAD
    };
    play(91, end).await;
}
