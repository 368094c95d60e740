//! A key that was taken away is in use again after the store came back from a copy and a host restarted.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Scene;
use crate::Verdict;
use crate::config;
use crate::host::Host;
use crate::send;
use crate::sleep_ms;
use crate::worker::Worker;

/// `revoke-ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
const DEADLINE: Duration = Duration::from_millis(4_000);

pub fn run(scene: &Arc<Scene>) -> Result<Verdict, String> {
    let (store, note) = (&scene.store, |text: &str| scene.record.note(text));
    store.put("config", "main", &config(1, &["key-one", "key-two"]));
    let workers = [
        Worker::start("i-one", "bern-a", store, &scene.record),
        Worker::start("i-two", "zurich-b", store, &scene.record),
    ];
    let mut first = Host::start(&scene.dir, 1, "bern-a", store.address);
    let second = Host::start(&scene.dir, 2, "zurich-b", store.address);
    for host in [&first, &second] {
        host.wait_ready(Duration::from_secs(10))?;
    }
    // Both are registered, so the copy holds them.
    while store.names("cardamomshift-hosts").len() < 2 {
        sleep_ms(20);
    }
    sleep_ms(500);
    for host in [&first, &second] {
        let before = send(scene, host.callers, &format!("before-{}", host.name), "key-two", DEADLINE);
        if before.answer.status != 200 {
            return Err(format!("key-two is not served at first: {}", before.answer.status));
        }
    }
    let copy = store.copy();
    note("copy of the store taken; both keys are in its config, version 1");
    sleep_ms(500);
    store.put("config", "main", &config(2, &["key-one"]));
    let acknowledged = Instant::now();
    note("config version 2 acknowledged: it takes key-two away");
    std::thread::sleep(REVOKE + Duration::from_millis(1_500));
    for host in [&first, &second] {
        let gone = send(scene, host.callers, &format!("gone-{}", host.name), "key-two", DEADLINE);
        note(&format!("key-two at {}: {}", host.name, gone.answer.status));
    }
    if scene.trouble {
        store.set_down(true);
        note("the store is away");
    }
    sleep_ms(100);
    first.kill();
    note("first host killed (SIGKILL)");
    sleep_ms(300);
    first.run();
    note("first host started again");
    sleep_ms(400);
    if scene.trouble {
        store.restore(&copy);
        note("the store is back from the copy, 7.8 s old; its era has risen by one");
    }
    // The workers write their entries again, which are as before.
    for worker in &workers {
        worker.report();
    }
    first.wait_ready(Duration::from_secs(10))?;
    note("first host is ready");
    let back = Instant::now();
    let mut served = 0;
    let mut n = 0;
    while back.elapsed() < Duration::from_millis(1_500) {
        n += 1;
        for (host, which) in [(&first, "first"), (&second, "second")] {
            let id = format!("late-{which}-{n}");
            let late = send(scene, host.callers, &id, "key-two", DEADLINE);
            let has_run = workers.iter().any(|w| w.arrivals().iter().any(|run| run.id == id));
            if has_run && late.sent_at > acknowledged + REVOKE {
                served += 1;
            }
        }
        sleep_ms(50);
    }
    store.put("config", "main", &config(2, &["key-one"]));
    note("the operator has written version 2 again");
    sleep_ms(2_000);
    let after = send(scene, first.callers, "after", "key-two", DEADLINE);
    note(&format!("key-two after that: {}", after.answer.status));
    let what = format!("{served} requests with key-two ran, of {} sent over 5 s after the ack", 2 * n);
    match served {
        0 => Ok(Verdict::Held(what)),
        _ => Ok(Verdict::Broken(what)),
    }
}
