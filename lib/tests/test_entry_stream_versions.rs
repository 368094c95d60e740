//! Streams that are taken up while servers of two software versions run side by side.
//!
//! The load: eight hosts in four failure domains begin 60 streams a second at servers of two versions.
//! Every few seconds hosts are killed, with what they know, and the callers of their streams take these up
//! at the other hosts at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::entry::KnownOrigin;
use cardamomshift_lib::entry::OriginSearch;
use cardamomshift_lib::entry::Peer;
use cardamomshift_lib::entry::Peers;
use cardamomshift_lib::entry::StreamKey;
use cardamomshift_lib::entry::StreamOrigin;
use cardamomshift_lib::entry::StreamOrigins;
use cardamomshift_lib::entry::VersionHistory;
use cardamomshift_lib::entry::VersionId;
use cardamomshift_lib::time::Timestamp;

const HOSTS: usize = 8;
const DOMAINS: usize = 4;
const SERVICE: u64 = 1;
/// Hosts that are told of a stream, and hosts that are asked.
const TOLD: usize = 4;
const ASKED: usize = 6;
/// Interval between streams, milliseconds, and how long a stream lasts.
const INTERVAL_MS: u64 = 16;
const STREAM_MS: u64 = 1_500;
/// Longest time that streams may take.
const LONGEST: Duration = Duration::from_secs(15);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn address(host: usize) -> SocketAddr {
    ([10, 0, 0, host as u8], 7_400).into()
}

fn peer(host: usize) -> Peer {
    Peer {
        name: format!("h{host}").into(),
        address: address(host),
        callers: None,
        domain: format!("d{}", host % DOMAINS).into(),
        cores: 0.25,
    }
}

fn version(n: u64) -> VersionId {
    VersionId::new("model", &format!("v{n}"))
}

/// What a host knows.
struct Host {
    peers: Peers,
    origins: StreamOrigins,
    history: VersionHistory,
}

impl Host {
    fn new(host: usize, count: usize) -> Self {
        let mut peers = Peers::new(&peer(host));
        let all: Vec<_> = (0..count).map(peer).collect();
        peers.set(&all);
        Self {
            peers,
            origins: StreamOrigins::default(),
            history: VersionHistory::default(),
        }
    }

    fn origin(&self, now: u64, key: StreamKey) -> KnownOrigin {
        if let Some(version) = self.origins.version(key) {
            return KnownOrigin::Version(version);
        }
        let only = self.history.only_version(at(now), SERVICE, LONGEST);
        only.map_or(KnownOrigin::Unknown, KnownOrigin::OnlyVersion)
    }
}

/// Hosts that can all reach each other.
struct Fleet(Vec<Host>);

impl Fleet {
    fn new() -> Self {
        Self((0..HOSTS).map(|host| Host::new(host, HOSTS)).collect())
    }

    /// Records that the servers run some versions, as all hosts see it.
    fn record(&mut self, now: u64, versions: &[VersionId]) {
        for host in &mut self.0 {
            let servers = versions.iter().map(|version| (SERVICE, *version));
            host.history.record(at(now), true, servers);
            host.history.sweep(at(now), LONGEST);
            host.origins.sweep(at(now));
        }
    }

    fn begin(&mut self, now: u64, host: usize, key: StreamKey, version: VersionId) {
        let give_up_at = at(now + 6_000);
        let origin = self.0[host]
            .origins
            .on_started(at(now), key, version, 1_000, give_up_at);
        for home in self.0[host].peers.homes(key.0, TOLD) {
            let home = (0..HOSTS).find(|host| address(*host) == home).unwrap();
            self.0[home].origins.on_told(at(now), &origin);
        }
    }

    /// The version at which a host continues a stream, `None` if it refuses to.
    fn take_up(&self, now: u64, host: usize, key: StreamKey) -> Option<VersionId> {
        let mut search = OriginSearch::default();
        if let Some(version) = search.on_answer(self.0[host].origin(now, key)) {
            return Some(version);
        }
        for home in self.0[host].peers.homes(key.0, ASKED) {
            let home = (0..HOSTS).find(|host| address(*host) == home).unwrap();
            if let Some(version) = search.on_answer(self.0[home].origin(now, key)) {
                return Some(version);
            }
        }
        search.only_version()
    }

    fn kill(&mut self, host: usize) {
        self.0[host] = Host::new(host, HOSTS);
    }
}

#[test]
fn streams_go_on_at_their_version_while_hosts_are_killed() {
    let mut fleet = Fleet::new();
    // Streams by host.
    let mut running: HashMap<usize, Vec<(StreamKey, VersionId, u64)>> = HashMap::new();
    let (mut went_on, mut refused) = (0, 0);
    for n in 0..40_000 / INTERVAL_MS {
        let now = n * INTERVAL_MS;
        if now % 1_000 < INTERVAL_MS {
            fleet.record(now, &[version(1), version(2)]);
        }
        let host = n as usize % HOSTS;
        let key = StreamKey::new(Some("one"), &format!("attempt-{n}"));
        let began = version(1 + n / 3 % 2);
        fleet.begin(now, host, key, began);
        running.entry(host).or_default().push((key, began, now));
        if now % 3_000 < INTERVAL_MS && n > 0 {
            // A third of the hosts, among them all of one failure domain.
            let first = n as usize % DOMAINS;
            let killed = [first, first + DOMAINS, (first + 1) % HOSTS];
            killed.iter().for_each(|host| fleet.kill(*host));
            for host in killed {
                let streams = running.remove(&host).unwrap_or_default();
                let streams = streams.into_iter().filter(|s| s.2 + STREAM_MS > now);
                for (key, began, _) in streams {
                    match fleet.take_up(now, (host + 3) % HOSTS, key) {
                        Some(version) => {
                            assert_eq!(version, began, "{key:?} at {now} ms");
                            went_on += 1;
                        }
                        None => refused += 1,
                    }
                }
            }
        }
    }
    assert!(went_on > 100, "{went_on}");
    assert!(
        went_on > 19 * refused,
        "{went_on} streams went on, {refused} refused"
    );
}

/// All hosts lose what they know but one, which is no home of the stream.
#[test]
fn unknown_stream_goes_on_only_where_a_single_version_ran() {
    for versions in [&[version(1)][..], &[version(1), version(2)]] {
        let mut fleet = Fleet::new();
        for second in 0..60 {
            fleet.record(second * 1_000, versions);
        }
        let key = StreamKey::new(Some("one"), "attempt");
        for host in 1..HOSTS {
            fleet.kill(host);
        }
        let expected = (versions.len() == 1).then_some(version(1));
        assert_eq!(fleet.take_up(59_100, 0, key), expected);
        fleet.kill(0);
        assert_eq!(fleet.take_up(59_200, 0, key), None);
    }
}

/// A host that started lately, or whose list of servers is outdated, cannot know that there was one
/// version only.
#[test]
fn single_version_counts_only_if_it_was_seen_for_longer_than_streams_last() {
    let mut history = VersionHistory::default();
    let record = |history: &mut VersionHistory, second: u64, is_current, versions: &[VersionId]| {
        let servers = versions.iter().map(|version| (SERVICE, *version));
        history.record(at(second * 1_000), is_current, servers);
    };
    let only = |history: &VersionHistory, second: u64| {
        history.only_version(at(second * 1_000), SERVICE, LONGEST)
    };
    for second in 0..=60 {
        record(&mut history, second, true, &[version(1)]);
        let is_known = second >= 19;
        assert_eq!(only(&history, second).is_some(), is_known, "{second} s");
    }
    // Another version runs for a moment.
    record(&mut history, 61, true, &[version(1), version(2)]);
    for second in 62..=100 {
        record(&mut history, second, true, &[version(1)]);
        let is_over = second > 61 + 19;
        assert_eq!(only(&history, second).is_some(), is_over, "{second} s");
    }
    // The platform is away for a moment.
    record(&mut history, 101, false, &[version(1)]);
    assert_eq!(only(&history, 101), None);
    for second in 102..=130 {
        record(&mut history, second, true, &[version(1)]);
        let is_known = second >= 102 + 19;
        assert_eq!(only(&history, second).is_some(), is_known, "{second} s");
    }
}

#[test]
fn hosts_that_name_different_single_versions_are_not_believed() {
    let mut search = OriginSearch::default();
    assert_eq!(search.on_answer(KnownOrigin::OnlyVersion(version(1))), None);
    assert_eq!(search.only_version(), Some(version(1)));
    assert_eq!(search.on_answer(KnownOrigin::OnlyVersion(version(2))), None);
    assert_eq!(search.only_version(), None);
    let known = search.on_answer(KnownOrigin::Version(version(2)));
    assert_eq!(known, Some(version(2)));
}

#[test]
fn stream_cannot_be_named_by_another_workspace() {
    let key = |workspace| StreamKey::new(workspace, "attempt");
    assert_ne!(key(Some("one")), key(Some("two")));
    assert_ne!(key(Some("one")), key(None));
}

#[test]
fn homes_of_a_stream_are_in_different_domains_and_the_same_for_all_hosts() {
    for subject in 0..200 {
        let mut homes: Vec<Vec<SocketAddr>> = Vec::new();
        for host in 0..HOSTS {
            let mut known = Host::new(host, HOSTS).peers.homes(subject, TOLD);
            if known.len() < TOLD {
                known.push(address(host));
            }
            known.sort_unstable();
            homes.push(known);
        }
        assert!(homes.iter().all(|known| *known == homes[0]));
        let number = |home: &SocketAddr| (0..HOSTS).find(|host| address(*host) == *home).unwrap();
        let mut domains: Vec<_> = homes[0].iter().map(|home| number(home) % DOMAINS).collect();
        domains.sort_unstable();
        assert_eq!(domains, [0, 1, 2, 3]);
    }
}

/// Guards against a stream that goes on at a version other than the one that began it, because a later
/// report names another: an attempt with the same name that began anew, or a host that was mistaken.
#[test]
fn later_report_does_not_change_the_version_at_which_a_stream_began() {
    let mut origins = StreamOrigins::default();
    let key = StreamKey::new(None, "a");
    let told = |version| StreamOrigin {
        key,
        version,
        remaining: Duration::from_secs(5),
        tokens: 1_000,
    };
    origins.on_told(at(1_000), &told(version(1)));
    origins.on_told(at(1_100), &told(version(2)));
    assert_eq!(origins.version(key), Some(version(1)));
    origins.on_started(at(1_200), key, version(2), 1_000, at(5_000));
    assert_eq!(origins.version(key), Some(version(1)));
}

#[test]
fn streams_are_forgotten_after_the_deadline_of_their_callers() {
    let mut origins = StreamOrigins::default();
    let key = StreamKey::new(None, "a");
    origins.on_started(at(1_000), key, version(1), 1_000, at(5_000));
    origins.sweep(at(5_000));
    assert_eq!(origins.version(key), Some(version(1)));
    origins.sweep(at(8_000));
    assert_eq!(origins.version(key), None);
    // They are bounded.
    for n in 0..100_000 {
        origins.on_started(
            at(n / 100),
            StreamKey(n),
            version(1),
            1_000,
            at(n / 100 + 60_000),
        );
    }
    let kept = (0..100_000).filter(|n| origins.version(StreamKey(*n)).is_some());
    assert!(kept.count() <= 16_384);
    assert_eq!(origins.version(StreamKey(99_999)), Some(version(1)));
}
