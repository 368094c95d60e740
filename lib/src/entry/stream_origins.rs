//! Remembers at which software version of its service each stream began.
//!
//! The load: servers of several software versions run side by side in one service, while an operator
//! replaces one by the other. A resumable stream that breaks off goes on at another server, either
//! because this host sends it there or because its caller takes it up, mostly at another host. It may
//! only go on at the version that began it: two versions do not write the same text.
//!
//! A caller that takes a stream up names the attempt that brought its first event. The host that served
//! that attempt may be gone, and was perhaps killed together with the servers. It therefore tells a few
//! other hosts, its *homes* by rendezvous hashing (see `Peers::homes`), before it forwards the first
//! event; a host that is asked to continue a stream asks them.
//!
//! The homes also keep a claim for each stream. The stream was admitted and charged when it began, so the
//! request that continues it is no new demand of its workspace and is not refused as such. A workspace that
//! floods the service must not get more than its share by it: a claim is granted to one request, of the
//! same workspace, no larger than the one that began the stream and within its deadline, and is available
//! again only after the stream has begun again. A request has the claim if more than half of the homes
//! grant it. Otherwise it is treated as a new request.
//!
//! If none of them knows the stream, it goes on only if its service has run a single version for longer
//! than any stream lasts, at this host or one of those that were asked. Otherwise it is refused.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::time::Timestamp;

/// How long after the deadline of its caller a stream is remembered. Clocks of callers and the time on
/// the network are covered by it.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);
/// Longest time for which a stream is remembered, whatever deadline its caller states.
pub(crate) const RETENTION_MAX: Duration = Duration::from_secs(120);
/// Most times that a stream can be claimed. Without a bound a caller could claim a stream again as soon as
/// it has begun, and so have many continuations of it run at once that are not limited to its share.
const CLAIMS_MAX: u32 = 3;
/// Most streams that are remembered. Each takes about 120 bytes.
const STREAMS_MAX: usize = 16_384;
/// How much longer than any stream lasts a service has to have run a single version. It covers the time
/// until a host knows a server, and the time between two records of the versions.
const SINGLE_VERSION_MARGIN: Duration = Duration::from_secs(4);

/// Identifies a stream over all attempts of its caller: the hash of its workspace and of the attempt
/// that began it. The workspace is part of it, so that no caller can name a stream of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of the stream that an attempt of a workspace has begun.
    pub fn new(workspace: Option<&str>, attempt: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(workspace.unwrap_or_default().as_bytes());
        // No name contains this byte.
        hasher.update(&[0]);
        hasher.update(attempt.as_bytes());
        Self(hasher.digest())
    }
}

/// Identifies a software version of a service, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionId(pub u64);

impl VersionId {
    /// The version that servers of a service announce.
    pub fn new(service: &str, version: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(service.as_bytes());
        hasher.update(&[0]);
        hasher.update(version.as_bytes());
        Self(hasher.digest().max(1))
    }
}

/// Where a stream began, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// Version of the server that sent its first event.
    pub version: VersionId,
    /// How long the stream has to be remembered.
    pub remaining: Duration,
    /// Tokens of the prompt and the estimated response with which the stream was admitted, 0 for a
    /// service that runs no model.
    pub tokens: u64,
}

/// What a host knows of the version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownOrigin {
    /// The version that began the stream.
    Version(VersionId),
    /// The stream is not known, but the service has run this version only for longer than any stream
    /// lasts.
    OnlyVersion(VersionId),
    /// Nothing is known.
    Unknown,
}

/// A request that claims to continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Address of the host that received the request, `None` for this host.
    pub host: Option<SocketAddr>,
    /// Identifier that the host has given to the request.
    pub id: u64,
}

/// The right to continue a stream as work that was admitted when it began.
#[derive(Clone, Copy, Debug)]
struct Claim {
    /// Tokens with which the stream was admitted.
    tokens: u64,
    /// When the caller that began the stream gives it up.
    until: Timestamp,
    /// The request that the claim was granted to, `None` while it is available.
    claimant: Option<Claimant>,
    granted_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    version: VersionId,
    keep_until: Timestamp,
    /// `None` unless this host is one of the homes of the stream.
    claim: Option<Claim>,
}

/// The versions at which streams began.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, KnownStream>,
}

impl StreamOrigins {
    /// Records that a stream of `tokens` has begun here, whose caller gives it up at `give_up_at`. Returns
    /// what to tell other hosts.
    pub fn on_started(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        version: VersionId,
        tokens: u64,
        give_up_at: Timestamp,
    ) -> StreamOrigin {
        let origin = StreamOrigin {
            key,
            version,
            remaining: give_up_at.remaining(now) + RETENTION_MARGIN,
            tokens,
        };
        self.remember(now, &origin);
        origin
    }

    /// Records at a home of a stream that it has begun, for the first time or again. Its first version
    /// stays: later attempts of its caller run at the same one.
    pub fn on_told(&mut self, now: Timestamp, origin: &StreamOrigin) {
        self.remember(now, origin);
        let Some(known) = self.streams.get_mut(&origin.key) else {
            return;
        };
        match &mut known.claim {
            // The deadline and the size of the stream are those with which it was admitted.
            Some(claim) if claim.granted_count < CLAIMS_MAX => claim.claimant = None,
            Some(_) => {}
            None => {
                let remaining = origin.remaining.min(RETENTION_MAX);
                known.claim = Some(Claim {
                    tokens: origin.tokens,
                    until: now + remaining.saturating_sub(RETENTION_MARGIN),
                    claimant: None,
                    granted_count: 0,
                });
            }
        }
    }

    /// Whether a request of `tokens` has the claim to continue a stream, as far as this home decides. A
    /// claim that is available is granted and used up; a repeated question of the same request gets the
    /// same answer.
    pub fn claim(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        claimant: Claimant,
        tokens: u64,
    ) -> bool {
        let known = self.streams.get_mut(&key);
        let Some(claim) = known.and_then(|known| known.claim.as_mut()) else {
            return false;
        };
        if claim.until.has_passed(now) || tokens > claim.tokens {
            return false;
        }
        if claim.claimant.is_none() {
            claim.claimant = Some(claimant);
            claim.granted_count += 1;
        }
        claim.claimant == Some(claimant)
    }

    /// Remembers a stream, with the version that is known first.
    fn remember(&mut self, now: Timestamp, origin: &StreamOrigin) {
        let keep_until = now + origin.remaining.min(RETENTION_MAX);
        let known = self.streams.entry(origin.key).or_insert(KnownStream {
            version: origin.version,
            keep_until,
            claim: None,
        });
        known.keep_until = known.keep_until.max(keep_until);
        if self.streams.len() > STREAMS_MAX {
            self.forget_half();
        }
    }

    /// The version at which a stream began.
    pub fn version(&self, key: StreamKey) -> Option<VersionId> {
        self.streams.get(&key).map(|known| known.version)
    }

    /// Forgets the streams that no caller takes up any more.
    pub fn sweep(&mut self, now: Timestamp) {
        self.streams
            .retain(|_, known| !known.keep_until.has_passed(now));
    }

    /// Forgets the half of the streams that end first.
    fn forget_half(&mut self) {
        let mut ends: Vec<_> = self
            .streams
            .values()
            .map(|known| known.keep_until)
            .collect();
        ends.sort_unstable();
        let middle = ends[ends.len() / 2];
        self.streams.retain(|_, known| known.keep_until > middle);
    }
}

/// Versions that the servers of services have lately run.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Since when this host has recorded versions without a gap, `None` if it does not now.
    since: Option<Timestamp>,
    /// When each version was last recorded, with the version by service.
    last_seen: HashMap<u64, HashMap<VersionId, Timestamp>>,
}

impl VersionHistory {
    /// Records the versions of all known servers, with the hashes of their services. `is_current` states
    /// whether the list of servers was confirmed lately.
    pub fn record(
        &mut self,
        now: Timestamp,
        is_current: bool,
        servers: impl Iterator<Item = (u64, VersionId)>,
    ) {
        if !is_current {
            self.since = None;
            return;
        }
        self.since.get_or_insert(now);
        for (service, version) in servers {
            let versions = self.last_seen.entry(service).or_default();
            versions.insert(version, now);
        }
    }

    /// The version of a service if it was the only one for longer than `longest`, the time that the
    /// longest streams take.
    pub fn only_version(
        &self,
        now: Timestamp,
        service: u64,
        longest: Duration,
    ) -> Option<VersionId> {
        let span = longest + SINGLE_VERSION_MARGIN;
        let is_recorded = self.since.is_some_and(|since| now.since(since) >= span);
        let versions = self.last_seen.get(&service).filter(|_| is_recorded)?;
        let mut recent = versions.iter().filter(|(_, at)| now.since(**at) <= span);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(*version)
    }

    /// Forgets the versions that have not been recorded for longer than `longest`.
    pub fn sweep(&mut self, now: Timestamp, longest: Duration) {
        let span = longest + SINGLE_VERSION_MARGIN;
        self.last_seen.retain(|_, versions| {
            versions.retain(|_, at| now.since(*at) <= span);
            !versions.is_empty()
        });
    }
}

/// The answers of hosts that were asked where a stream began.
#[derive(Clone, Debug, Default)]
pub struct OriginSearch {
    only: Option<VersionId>,
    /// Whether hosts have named different single versions.
    is_contradictory: bool,
    /// Homes that have granted the claim to continue the stream.
    grants: usize,
}

impl OriginSearch {
    /// Adds an answer. Returns the version if it is known there.
    pub fn on_answer(&mut self, answer: KnownOrigin) -> Option<VersionId> {
        match answer {
            KnownOrigin::Version(version) => return Some(version),
            KnownOrigin::OnlyVersion(version) => {
                let known = *self.only.get_or_insert(version);
                self.is_contradictory |= known != version;
            }
            KnownOrigin::Unknown => {}
        }
        None
    }

    /// Adds the answer of a home that was asked for the claim to continue the stream.
    pub fn on_claim_answer(&mut self, is_claimed: bool) {
        self.grants += usize::from(is_claimed);
    }

    /// Whether the request has the claim to continue the stream: more than half of its homes have granted
    /// it, so that no other request can have got it.
    pub fn has_claim(&self, homes: usize) -> bool {
        self.grants > homes / 2
    }

    /// Whether the request can still get the claim if all homes that have not answered grant it.
    pub fn may_get_claim(&self, homes: usize, unanswered: usize) -> bool {
        self.grants + unanswered > homes / 2
    }

    /// The version if no host knows the stream: the only one that its service has run.
    pub fn only_version(&self) -> Option<VersionId> {
        self.only.filter(|_| !self.is_contradictory)
    }
}
