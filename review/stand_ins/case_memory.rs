//! Clients send bodies of the size that the config allows; in a burst the hosts exceed their memory.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::Scene;
use crate::Verdict;
use crate::config;
use crate::host::Host;
use crate::http::Conn;
use crate::http::Head;
use crate::sleep_ms;
use crate::worker::Worker;

/// `memory-mb` of the settings, bytes.
const MEMORY: u64 = 110 << 20;
/// Size of a body; `max-body-bytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Clients of each host, in usual traffic and in a burst of up to 1.6 times as many.
const CLIENTS: usize = 18;
const CLIENTS_IN_BURST: usize = 28;
const BURST_SPAN: Duration = Duration::from_secs(4);
/// When bursts begin, and when the clients stop, seconds from the start of traffic.
const BURSTS: [u64; 3] = [3, 12, 21];
const END: Duration = Duration::from_secs(28);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Closed channels that the rule allows.
const LOST_MOST: usize = 3;

/// A machine of the platform.
struct Machine {
    host: Mutex<Host>,
    callers: SocketAddr,
    ends: Mutex<usize>,
    /// Most memory that was seen, bytes.
    peak: Mutex<u64>,
}

pub fn run(scene: &Arc<Scene>) -> Result<Verdict, String> {
    let (store, note) = (&scene.store, |text: &str| scene.record.note(text));
    store.put("config", "main", &config(1, &["key-one"]));
    let workers = [0, 1, 2, 3].map(|n| {
        let zone = ["bern-a", "zurich-b"][n % 2];
        let worker = Worker::start_for("desk", &format!("d-{n}"), zone, store, &scene.record);
        worker.set(|manner| {
            manner.first_event = Duration::from_secs(1);
            manner.events = 1;
        });
        worker
    });
    let machines: Vec<_> = [(1, "bern-a"), (2, "zurich-b")]
        .map(|(number, zone)| Host::start(&scene.dir, number, zone, store.address))
        .into_iter()
        .map(|host| {
            Arc::new(Machine {
                callers: host.callers,
                host: Mutex::new(host),
                ends: Mutex::default(),
                peak: Mutex::default(),
            })
        })
        .collect();
    for machine in &machines {
        let host = machine.host.lock().expect("a host");
        host.wait_ready(Duration::from_secs(10))?;
    }
    sleep_ms(1_000);
    let done = Arc::new(Mutex::new(false));
    let watchers: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (scene, machine, done) = (scene.clone(), machine.clone(), done.clone());
            std::thread::spawn(move || watch(&scene, &machine, &done))
        })
        .collect();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let began = Instant::now();
    let mut clients = Vec::new();
    let count = if scene.trouble { CLIENTS_IN_BURST } else { CLIENTS };
    for (at, machine) in machines.iter().enumerate() {
        for n in 0..count {
            let (scene, body, to) = (scene.clone(), body.clone(), machine.callers);
            let client = move || client(&scene, to, &format!("m{at}-{n:02}"), &body, began, n < CLIENTS);
            clients.push((at, std::thread::spawn(client)));
        }
    }
    let mut counts = [Counts::default(), Counts::default()];
    let has_run = |id: &String| workers.iter().any(|w| w.arrivals().iter().any(|run| run.id == *id));
    for (at, client) in clients {
        let (answered, cut) = client.join().map_err(|_| "a client failed".to_owned())?;
        counts[at].answered += answered;
        counts[at].lost += cut.iter().filter(|id| has_run(id)).count();
    }
    *done.lock().expect("the flag") = true;
    for watcher in watchers {
        let _ = watcher.join();
    }
    let ends: Vec<_> = machines.iter().map(|m| *m.ends.lock().expect("ends")).collect();
    let peaks: Vec<_> = machines.iter().map(|m| *m.peak.lock().expect("peak") >> 20).collect();
    note(&format!(
        "processes ended for memory over the limit: {ends:?}, peaks {peaks:?} MB of 110; answered: {:?}",
        counts.map(|counts| counts.answered)
    ));
    let lost = counts.map(|counts| counts.lost);
    let what = format!("requests on kept channels that workers got and nobody answered: {lost:?}, 3 are allowed");
    match lost.iter().any(|lost| *lost > LOST_MOST) {
        true => Ok(Verdict::Broken(what)),
        false => Ok(Verdict::Held(what)),
    }
}

#[derive(Clone, Copy, Default)]
struct Counts {
    answered: usize,
    lost: usize,
}

/// A client that sends one request after another on a channel that it keeps. One that is not `usual` sends
/// only in bursts. Returns the number of answers, and the requests that were not the first of their channel
/// and got none because the channel was closed.
fn client(
    scene: &Scene,
    to: SocketAddr,
    name: &str,
    body: &[u8],
    began: Instant,
    usual: bool,
) -> (usize, Vec<String>) {
    let is_burst = |at: Duration| {
        let mut bursts = BURSTS.iter().map(|from| Duration::from_secs(*from));
        bursts.any(|from| at >= from && at < from + BURST_SPAN)
    };
    let (mut answered, mut cut) = (0, Vec::new());
    let mut kept: Option<Conn> = None;
    for n in 0.. {
        while !usual && !is_burst(began.elapsed()) && began.elapsed() < END {
            kept = None;
            sleep_ms(50);
        }
        if began.elapsed() > END {
            break;
        }
        let id = format!("{name}-{n:03}");
        let is_first = kept.is_none();
        let conn = kept.take().or_else(|| Conn::connect(to).ok());
        let Some(mut conn) = conn else {
            sleep_ms(200);
            continue;
        };
        scene.record.line(&format!("sent {id} to {to}, first of its channel: {is_first}"));
        let sent_at = Instant::now();
        match submit(&mut conn, &id, body) {
            Ok(head) => {
                scene.record.line(&format!("answered {id}: {}", head.status()));
                answered += usize::from(head.status() == 200);
                let closes = head.get("connection").is_some_and(|value| value == "close");
                kept = Some(conn).filter(|_| !closes);
            }
            Err(err) => {
                scene.record.line(&format!("not answered {id}: {err}"));
                if !is_first && sent_at.elapsed() < DEADLINE {
                    cut.push(id);
                }
                sleep_ms(200);
            }
        }
    }
    (answered, cut)
}

fn submit(conn: &mut Conn, id: &str, body: &[u8]) -> io::Result<Head> {
    let head = format!(
        "POST /w/entry HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token key-one\r\nContent-Length: {}\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    conn.stream.set_read_timeout(Some(DEADLINE))?;
    conn.stream.set_write_timeout(Some(DEADLINE))?;
    conn.stream.write_all(head.as_bytes())?;
    conn.stream.write_all(body)?;
    let head = conn.read_head()?;
    let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    conn.read_body(&head)?;
    Ok(head)
}

/// What the platform does: it kills a process that exceeds its memory, and starts it again a little later.
fn watch(scene: &Scene, machine: &Machine, done: &Mutex<bool>) {
    while !*done.lock().expect("the flag") {
        let mut host = machine.host.lock().expect("a host");
        let memory = host.memory();
        let mut peak = machine.peak.lock().expect("peak");
        *peak = (*peak).max(memory);
        drop(peak);
        if memory > MEMORY {
            host.kill();
            *machine.ends.lock().expect("ends") += 1;
            scene.record.note(&format!("{} had {} MB: killed by the platform", host.name, memory >> 20));
            sleep_ms(500);
            host.run();
        }
        drop(host);
        sleep_ms(2);
    }
}
