//! Callers that repeat a request of their own, at workers that lose some answers for a while.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Setting;
use crate::Verdict;
use crate::host::Host;
use crate::http::Connection;
use crate::http::Head;
use crate::site::Request;
use crate::site::Route;
use crate::site::SERVICE;
use crate::site::STABLE;
use crate::site::ask;
use crate::site::told_wait;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::success;

const WORKERS: usize = 5;
/// Workers that lose answers: `share = 0.6`.
const LOSING_WORKERS: usize = 3;
/// Of ten answers, how many such a worker loses: `x = 0.4`.
const LOST_OF_TEN: u64 = 4;
/// How long they do: `for_s = 4.0`.
const LOSING_TIME: Duration = Duration::from_secs(4);
/// Time that a worker takes for a request, as on the sheet.
const WORK: Duration = Duration::from_millis(60);
const CALLERS: usize = 12;
/// Time between two requests of a caller.
const POLL: Duration = Duration::from_millis(100);
/// When the disruption begins, from the start of traffic.
const LOSING_FROM: Duration = Duration::from_secs(5);
/// From when on the rule is checked: `recovery-s` after the end of the disruption.
const CALM_FROM: Duration = Duration::from_secs(5 + 4 + 12);
/// How long it is checked.
const CALM_TIME: Duration = Duration::from_secs(30);
/// The client's time for one request, as on the sheet.
const DEADLINE_MS: u32 = 4_000;

/// Answers to one caller in the calm span.
#[derive(Clone, Copy, Default)]
struct Counts {
    answered: u32,
    refused: u32,
    others: u32,
}

/// A generator of numbers that look random (xorshift), so that worker and caller behave alike in each run.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    let route = Route {
        kind: "idempotent",
        is_resumable: false,
        timeout_ms: DEADLINE_MS,
        max_attempts: 2,
        channels: 96,
    };
    store.put("config", "main", &route.config(CALLERS));
    let is_losing = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let (is_losing, record) = (is_losing.clone(), record.clone());
        let numbers = Mutex::new(Numbers(0x9e37_79b9 + n as u64 * 7_919));
        let id = format!("i-{n}");
        let name = id.clone();
        let handle = move |connection: &mut Connection, head: &Head, _: &[u8]| {
            let attempt = head.get("attempt-id").unwrap_or_default();
            std::thread::sleep(WORK);
            let loses = n < LOSING_WORKERS
                && is_losing.load(Ordering::Relaxed)
                && numbers.lock().unwrap().below(10) < LOST_OF_TEN;
            record.line(format!(
                "{name} ran {attempt}{}",
                if loses { ", answer lost" } else { "" }
            ));
            if loses {
                connection.reset();
                return Ok(false);
            }
            connection.write(&success(head, b"1. Bern 2. Basel"))?;
            Ok(true)
        };
        workers.push(Worker::start(&store, &id, SERVICE, 6, Arc::new(handle))?);
    }
    let host = Host::start(0, &setting.folder, store.address)?;
    std::thread::sleep(STABLE);
    let to = host.callers;
    let start = Instant::now();
    let next_id = Arc::new(AtomicU64::new(0x9c41_d07b_0000_0001));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, next_id) = (record.clone(), next_id.clone());
            std::thread::spawn(move || {
                let mut counts = Counts::default();
                while start.elapsed() < CALM_FROM + CALM_TIME {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    let is_calm = start.elapsed() >= CALM_FROM;
                    let request = Request {
                        method: "GET",
                        path: "/a/table",
                        tenant: caller,
                        id,
                        deadline_ms: DEADLINE_MS,
                        body_len: 0,
                        closes: true,
                    };
                    let head = ask(to, &request);
                    let status = head.as_ref().map_or(0, Head::status);
                    let wait = head.as_ref().and_then(|head| head.get("retry-after"));
                    record.line(format!(
                        "caller {caller} {id:016x}: status {status}, retry after {wait:?}"
                    ));
                    if is_calm {
                        match status {
                            200 => counts.answered += 1,
                            503 => counts.refused += 1,
                            _ => counts.others += 1,
                        }
                    }
                    let told = told_wait(head.as_ref(), DEADLINE_MS);
                    std::thread::sleep(told.max(POLL));
                }
                counts
            })
        })
        .collect();
    if setting.trouble {
        std::thread::sleep(LOSING_FROM);
        record.line("3 of 5 workers lose 4 of 10 answers from now on");
        is_losing.store(true, Ordering::Relaxed);
        std::thread::sleep(LOSING_TIME);
        is_losing.store(false, Ordering::Relaxed);
        record.line("all workers are sound again");
    }
    let mut verdict = Verdict::Held;
    for (caller, thread) in callers.into_iter().enumerate() {
        let counts = thread
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        let Counts {
            answered,
            refused,
            others,
        } = counts;
        record.line(format!(
            "in calm, caller {caller}: {answered} answered, {refused} refused with 503, {others} others"
        ));
        if answered == 0 {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}
