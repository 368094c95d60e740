//! Fixtures for tests of entry hosts, the reverse proxies between callers and backend servers:
//! configurations, servers and requests.
//!
//! There are two services (groups of interchangeable servers): [`MODEL`], which runs a model, so
//! that its requests need a key and are placed by a scheduler, and [`LEDGER`], a plain service (one
//! that runs no model) without keys.

#![allow(dead_code, unreachable_pub)]

use std::time::Duration;

use cardamomshift_lib::entry::CallHead;
use cardamomshift_lib::entry::CallerLimits;
use cardamomshift_lib::entry::EngineSpec;
use cardamomshift_lib::entry::Fleet;
use cardamomshift_lib::entry::FleetBounds;
use cardamomshift_lib::entry::FleetConfig;
use cardamomshift_lib::entry::HostIdentity;
use cardamomshift_lib::entry::Prompt;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::RetryPolicy;
use cardamomshift_lib::entry::Route;
use cardamomshift_lib::entry::ServerAnnouncement;
use cardamomshift_lib::entry::Service;
use cardamomshift_lib::entry::Target;
use cardamomshift_lib::entry::Workspace;
use cardamomshift_lib::time::Timestamp;

/// Service that runs a model and responds with streams.
pub const MODEL: &str = "model";
/// Plain service whose requests need no key.
pub const LEDGER: &str = "ledger";
/// Key of the only workspace.
pub const KEY: &str = "key-one";

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

pub fn bounds() -> FleetBounds {
    FleetBounds {
        retry_ratio: 0.2,
        retry_burst: 52.0,
        retry_window: Duration::from_secs(10),
        cold_overrun: 1.5,
        key_lease: Duration::from_secs(5),
        config_lag: Duration::from_secs(2),
        stop_grace: Duration::from_secs(8),
        announce_grace: Duration::from_secs(2),
        rollout: None,
    }
}

/// A route of `a.example` to one service, with a timeout of 6 s; anonymous if that is [`LEDGER`].
pub fn route(name: &str, prefix: &str, service: &str, retry_policy: RetryPolicy) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        retry_policy,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(800),
        rank: 1,
        targets: vec![Target {
            service: service.into(),
            weight: 1,
        }],
        attempts_max: 2,
        is_anonymous: service == LEDGER,
    }
}

/// A configuration with both services and one workspace that has the given keys.
pub fn config(version: u64, routes: Vec<Route>, keys: &[&str]) -> FleetConfig {
    let service = |name: &str, engine| Service {
        name: name.into(),
        connections_max: 360,
        cold_rate: 9.8,
        engine,
    };
    let engine = EngineSpec {
        slots: 64,
        memory_tokens: 228_336,
    };
    let limits = CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 4 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let workspace = Workspace {
        name: "one".into(),
        rank: None,
        keys: keys.iter().map(|key| (*key).into()).collect(),
    };
    FleetConfig::new(
        version,
        routes,
        vec![service(MODEL, Some(engine)), service(LEDGER, None)],
        limits,
        vec![workspace],
    )
}

/// `/s/` for streams of [`MODEL`] and `/w/` for requests to [`LEDGER`] that run at most once.
pub fn default_routes() -> Vec<Route> {
    vec![
        route("stream", "/s/", MODEL, RetryPolicy::Stream),
        route("write", "/w/", LEDGER, RetryPolicy::AtMostOnce),
    ]
}

/// A server that is past its cold start (the time after its start in which it can take only a few
/// requests per second) and is not about to shut down.
pub fn server(instance: &str, service: &str, domain: &str) -> ServerAnnouncement {
    ServerAnnouncement {
        instance: instance.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: domain.into(),
        slots: 6,
        is_leaving: false,
        cold_until: Timestamp::ZERO,
        version: "v1".into(),
        started_at_ms: 0,
    }
}

pub fn head(key: Option<&str>, deadline: Timestamp) -> CallHead {
    CallHead {
        id: "id-1".into(),
        host: "a.example".into(),
        deadline: Some(deadline),
        key: key.map(Into::into),
        prompt: None,
        resumes_after: None,
        resumes: None,
    }
}

/// A prompt of 1,500 tokens; other requests may share its first 1,200.
pub fn prompt() -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        input_tokens: 1_500,
        output_tokens_max: 80,
        output_tokens_hint: None,
        parts: vec![part(1, 800), part(2, 400), part(3, 300)],
    }
}

/// State of host `h1` with a configuration confirmed at `now`, two servers of each service, one in
/// each of two failure domains, and six registered hosts.
pub fn fleet(now: Timestamp) -> Fleet {
    let hosts: Vec<_> = (1..=6).map(|n| format!("h{n}")).collect();
    fleet_of_host("h1", &hosts, now)
}

/// The same of the host `name`, with the given registered hosts.
pub fn fleet_of_host(name: &str, hosts: &[String], now: Timestamp) -> Fleet {
    let identity = HostIdentity {
        name: name.into(),
        domain: "d1".into(),
    };
    let mut fleet = Fleet::new(identity, bounds(), 1);
    fleet.apply_config(config(1, default_routes(), &[KEY]));
    fleet.confirm_config(now);
    fleet.set_hosts(hosts.iter().map(String::as_str));
    let servers = vec![
        server("m1", MODEL, "d1"),
        server("m2", MODEL, "d2"),
        server("l1", LEDGER, "d1"),
        server("l2", LEDGER, "d2"),
    ];
    fleet.apply_server_list(now, servers, None);
    fleet
}
