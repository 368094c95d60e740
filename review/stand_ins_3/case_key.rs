//! A key that was withdrawn, at a host that restarts while the store has gone back to an older state.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Setting;
use crate::Verdict;
use crate::host::Host;
use crate::host::SIGKILL;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::site::Request;
use crate::site::Route;
use crate::site::SERVICE;
use crate::site::STABLE;
use crate::site::ask;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::success;

const DEADLINE_MS: u32 = 4_000;
/// `revoke-ms`: no request that is sent later than this after the ack may run.
const REVOKE: Duration = Duration::from_secs(5);
/// Age of the copy from which the store comes back, more than the time since the key was withdrawn.
const COPY_AGE: Duration = Duration::from_secs(8);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// How long after its return the operator writes its configuration again.
const WRITTEN_AGAIN: Duration = Duration::from_secs(3);
/// Time between two requests with the withdrawn key.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends a request of the tenant whose key was withdrawn. Returns whether it was served.
fn try_key(record: &Record, name: &str, to: SocketAddr, id: u64) -> bool {
    let request = Request {
        method: "POST",
        path: "/a/score",
        tenant: 1,
        id,
        deadline_ms: DEADLINE_MS,
        body_len: 2,
        closes: true,
    };
    let status = ask(to, &request).map_or(0, |head| head.status());
    record.line(format!(
        "caller {id:016x} with the key at host {name}: status {status}"
    ));
    status == 200
}

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    let route = Route {
        kind: "non_idempotent",
        is_resumable: false,
        timeout_ms: DEADLINE_MS,
        max_attempts: 1,
        channels: 96,
    };
    let version = |number: u32, tenants| {
        let text = route.config(tenants);
        text.replace("\"version\":7", &format!("\"version\":{number}"))
    };
    store.put("config", "main", &version(7, 2));
    let runs = record.clone();
    let handle = move |connection: &mut Connection, head: &Head, _: &[u8]| {
        let attempt = head.get("attempt-id").unwrap_or_default();
        let tenant = head.get("tenant").unwrap_or_default();
        runs.line(format!("worker ran {attempt} of tenant {tenant}"));
        connection.write(&success(head, b"recorded"))?;
        Ok(true)
    };
    let _worker = Worker::start(&store, "i-1", SERVICE, 6, Arc::new(handle))?;
    let first = Host::start(0, &setting.folder, store.address)?;
    let second = Host::start(1, &setting.folder, store.address)?;
    std::thread::sleep(STABLE);
    if !try_key(record, "a", first.callers, 1) || !try_key(record, "b", second.callers, 2) {
        return Err(io::Error::other("the key is not served at first"));
    }
    let copy = store.copy();
    let copied_at = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    store.put("config", "main", &version(8, 1));
    let withdrawn_at = Instant::now();
    record.line("version 8 is acknowledged: the key is withdrawn");
    std::thread::sleep(REVOKE);
    let mut served = 0;
    for (id, (name, host)) in [("a", &first), ("b", &second)].into_iter().enumerate() {
        served += u32::from(try_key(record, name, host.callers, 0x10 + id as u64));
    }
    std::thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    if setting.trouble {
        record.line("the store goes away");
        store.set_down(true);
        std::thread::sleep(AWAY);
        store.go_back_to(copy);
        store.set_down(false);
        record.line("the store is back from a copy");
    }
    let back_at = Instant::now();
    first.signal(SIGKILL);
    drop(first);
    record.line("the process of host a is killed and started again");
    let first = Host::start(0, &setting.folder, store.address)?;
    record.line("host a is ready");
    let mut is_written_again = false;
    let mut id = 0x100;
    while back_at.elapsed() < WRITTEN_AGAIN + Duration::from_secs(3) {
        if !is_written_again && back_at.elapsed() >= WRITTEN_AGAIN {
            is_written_again = true;
            store.put("config", "main", &version(8, 1));
            record.line("version 8 is written again");
        }
        for (name, host) in [("a", &first), ("b", &second)] {
            id += 1;
            served += u32::from(try_key(record, name, host.callers, id));
        }
        std::thread::sleep(PAUSE);
    }
    record.line(format!(
        "{served} requests with the withdrawn key served, sent {} s and more after the ack",
        REVOKE.as_secs()
    ));
    record.line(format!(
        "{:.1} s after the ack",
        withdrawn_at.elapsed().as_secs_f64()
    ));
    Ok(if served > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
