//! Requests of a simulated load.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name.
    pub name: &'static str,
    /// Part of all requests.
    pub share: f64,
    /// Sessions that its requests belong to.
    pub sessions: u64,
    /// Tokens of the part that all sessions of a group share.
    pub group_tokens: u32,
    /// Tokens of the part that a session shares.
    pub session_tokens: u32,
    /// Mean tokens of a request's own part.
    pub unique_tokens: f64,
    /// Mean tokens generated.
    pub output_tokens: f64,
    /// Time to the first event.
    pub objective: Duration,
    /// Time that the caller waits.
    pub max_wait: Duration,
}

/// The kinds of request of today's model services: reports, notes, chats.
pub const KINDS: [RequestKind; 3] = [
    RequestKind {
        name: "report",
        share: 0.30,
        sessions: 156,
        group_tokens: 2_520,
        session_tokens: 3_780,
        unique_tokens: 2_890.0,
        output_tokens: 52.0,
        objective: Duration::from_millis(800),
        max_wait: Duration::from_millis(6_000),
    },
    RequestKind {
        name: "note",
        share: 0.39,
        sessions: 88,
        group_tokens: 341,
        session_tokens: 227,
        unique_tokens: 1_800.0,
        output_tokens: 24.0,
        objective: Duration::from_millis(800),
        max_wait: Duration::from_millis(4_000),
    },
    RequestKind {
        name: "chat",
        share: 0.31,
        sessions: 107,
        group_tokens: 103,
        session_tokens: 69,
        unique_tokens: 543.0,
        output_tokens: 280.0,
        objective: Duration::from_millis(600),
        max_wait: Duration::from_millis(15_000),
    },
];

/// A load on one service.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpec {
    /// Engines of the service.
    pub engines: usize,
    /// Requests a second for each engine.
    pub rate: f64,
    /// Factor of the rate in the middle third.
    pub burst_factor: f64,
    /// Workspaces.
    pub workspaces: u64,
    /// Part of the requests of the first workspace.
    pub flood_share: f64,
    /// Length.
    pub length: Duration,
}

/// A request of the load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// When it arrives.
    pub at: Duration,
    /// Place of its kind in [`KINDS`].
    pub kind: usize,
    /// Its workspace.
    pub workspace: u64,
    /// Shared parts of its prompt.
    pub shared_parts: Vec<(u64, u32)>,
    /// Length of its prompt, tokens.
    pub input_tokens: u32,
    /// Tokens to be generated.
    pub output_tokens: u32,
}

/// Draws the requests of a load. The same seed gives the same requests.
pub fn generate_requests(spec: &LoadSpec, seed: u64) -> Vec<LoadRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at = 0.0;
    let length = spec.length.as_secs_f64();
    loop {
        let is_burst = (length / 3.0..length * 2.0 / 3.0).contains(&at);
        let factor = if is_burst { spec.burst_factor } else { 1.0 };
        let rate = spec.rate * spec.engines as f64 * factor;
        at += exponential(&mut rng, 1.0 / rate);
        if at >= length {
            return requests;
        }
        requests.push(generate_request(
            &mut rng,
            spec,
            Duration::from_secs_f64(at),
        ));
    }
}

fn generate_request(rng: &mut StdRng, spec: &LoadSpec, at: Duration) -> LoadRequest {
    let mut point = rng.random::<f64>();
    let kind = KINDS.iter().position(|kind| {
        point -= kind.share;
        point < 0.0
    });
    let kind = kind.unwrap_or(KINDS.len() - 1);
    let spec_kind = &KINDS[kind];
    let session = rng.random_range(0..spec_kind.sessions);
    let base = (kind as u64 + 1) << 32;
    let shared_parts = vec![
        (base + (session % 4), spec_kind.group_tokens),
        (base + (1 << 16) + session, spec_kind.session_tokens),
    ];
    let shared = spec_kind.group_tokens + spec_kind.session_tokens;
    let own = exponential(rng, spec_kind.unique_tokens).clamp(16.0, spec_kind.unique_tokens * 8.0);
    let output = exponential(rng, spec_kind.output_tokens).clamp(4.0, 1_000.0);
    let is_flood = rng.random::<f64>() < spec.flood_share;
    LoadRequest {
        at,
        kind,
        workspace: if is_flood {
            0
        } else {
            rng.random_range(0..spec.workspaces)
        },
        shared_parts,
        // Bounded above, so that the conversions keep the values.
        input_tokens: shared + own as u32,
        output_tokens: output as u32,
    }
}

fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
