//! Random requests of a simulated load on one model service.
//!
//! A prompt consists of a part that all sessions of a group share, a part that the requests of a
//! session share, and a unique part. An engine that has processed a shared part before can skip it,
//! so it matters which engine a request is sent to.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A kind of request, with the shape of its prompts and responses.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name of the kind.
    pub name: &'static str,
    /// Share of all requests, from 0 to 1.
    pub share: f64,
    /// Number of sessions that the requests belong to.
    pub sessions: u64,
    /// Tokens of the prompt part that all sessions of a group share. Each kind has four groups.
    pub group_tokens: u32,
    /// Tokens of the prompt part that the requests of a session share.
    pub session_tokens: u32,
    /// Mean tokens of the prompt part that no other request has.
    pub unique_tokens: f64,
    /// Mean tokens of the response.
    pub output_tokens: f64,
    /// Latency objective: time to the start of the response.
    pub objective: Duration,
    /// Time after which the caller gives up if the response is not complete.
    pub max_wait: Duration,
}

/// Kinds of request that the current model services receive: reports, notes and chats.
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

/// Parameters of a load on one model service.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpec {
    /// Number of engines of the service.
    pub engines: usize,
    /// Requests per second for each engine.
    pub rate: f64,
    /// Factor by which the rate is multiplied in the middle third of the load.
    pub burst_factor: f64,
    /// Number of workspaces (customers) that send requests.
    pub workspaces: u64,
    /// Share of all requests, from 0 to 1, that workspace 0 sends in addition to its equal share of
    /// the others.
    pub flood_share: f64,
    /// Duration of the load.
    pub length: Duration,
}

/// One request of a load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// When it arrives, since the start of the load.
    pub at: Duration,
    /// Index of its kind in [`KINDS`].
    pub kind: usize,
    /// Number of its workspace.
    pub workspace: u64,
    /// Shared parts of its prompt in order, as pairs of an id and a number of tokens. Two prompts
    /// share a part if its id is the same in both.
    pub shared_parts: Vec<(u64, u32)>,
    /// Tokens of its whole prompt, shared parts included.
    pub input_tokens: u32,
    /// Tokens of its response.
    pub output_tokens: u32,
}

/// Generates the requests of a load in the order of arrival: a Poisson process with the rate of the
/// load. The same seed gives the same requests.
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
    let request_kind = &KINDS[kind];
    // The group of a session is its number modulo 4.
    let session = rng.random_range(0..request_kind.sessions);
    // Ids are unique across kinds, and session ids do not overlap with group ids.
    let base = (kind as u64 + 1) << 32;
    let shared_parts = vec![
        (base + (session % 4), request_kind.group_tokens),
        (base + (1 << 16) + session, request_kind.session_tokens),
    ];
    let shared = request_kind.group_tokens + request_kind.session_tokens;
    let unique =
        exponential(rng, request_kind.unique_tokens).clamp(16.0, request_kind.unique_tokens * 8.0);
    let output = exponential(rng, request_kind.output_tokens).clamp(4.0, 1_000.0);
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
        // Both numbers were clamped to a range that `u32` can represent.
        input_tokens: shared + unique as u32,
        output_tokens: output as u32,
    }
}

/// Random number with an exponential distribution.
fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
