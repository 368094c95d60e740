//! A store, servers and hosts with links between them, played through the faults of a plan.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use tokio::task::JoinSet;

use super::check::Runs;
use super::check::faults;
use super::host::Host;
use super::plan::Fault;
use super::plan::Planned;
use super::plan::draw;
use super::proxy::LinkState;
use super::proxy::Proxy;
use super::traffic::Record;
use super::traffic::ask;
use super::traffic::play;
use crate::stand_ins::GRACE_S;
use crate::stand_ins::KEY;
use crate::stand_ins::Manner;
use crate::stand_ins::OpenCaller;
use crate::stand_ins::StandInServer;
use crate::stand_ins::StandInStore;
use crate::stand_ins::config;

/// Hosts of a usual soak.
const HOSTS: u8 = 4;
/// Servers of each service.
const SERVERS: usize = 3;
/// Callers at once.
const CALLERS: u32 = 16;
/// Time after the last fault by which every host is ready again: its longest pauses and the
/// platform's bounds for a configuration and a lapse.
const RECOVERY: Duration = Duration::from_secs(15);
/// Longest end of a stopping process: its grace, the longest pause by a fault, and a second.
const STOP_MAX: Duration = Duration::from_secs(GRACE_S + 4);
/// Requests to each host after the faults, and how many of them may fail: repeats and cold starts
/// may still be held back for a moment.
const LAST_REQUESTS: u32 = 40;
const LAST_FAILURES: u32 = 4;

struct Server {
    stand_in: StandInServer,
    link: Proxy,
    service: &'static str,
}

struct Site {
    store: StandInStore,
    store_links: Vec<Proxy>,
    servers: Vec<Server>,
    hosts: Arc<Vec<Host>>,
    /// Counts configurations and lives of servers.
    version: AtomicU64,
}

/// Plays a seed and gives what was wrong.
pub(crate) async fn soak(seed: u64, seconds: u64) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let site = Arc::new(Site::start(folder.path()).await);
    let mut wrong = Vec::new();
    if !site.becomes_ready().await {
        println!("logs are kept in {}", folder.keep().display());
        return vec!["the hosts did not become ready at the start".to_owned()];
    }
    let record = Record::default();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let seed = seed ^ (u64::from(number) << 32);
        callers.spawn(play(number, seed, site.hosts.clone(), record.clone()));
    }
    let mut running = JoinSet::new();
    for planned in draw(seed, seconds) {
        let site = site.clone();
        running.spawn(async move { site.play(planned).await });
    }
    while let Some(played) = running.join_next().await {
        wrong.extend(played.unwrap());
    }
    if !site.becomes_ready().await {
        wrong.push("not all hosts were ready in time after the last fault".to_owned());
    }
    wrong.extend(site.serves_again().await);
    callers.shutdown().await;
    // What is still on its way to servers arrives.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let seen: Vec<_> = site.servers.iter().map(|s| s.stand_in.seen()).collect();
    let mut runs = Runs::new();
    for (server, seen) in site.servers.iter().zip(&seen) {
        for seen in seen {
            let instance = server.stand_in.instance.as_str();
            runs.entry(seen.id()).or_default().push((instance, seen));
        }
    }
    let asked = record.lock().unwrap();
    wrong.extend(faults(&asked, &runs));
    let answered = asked.iter().filter(|asked| asked.answer.is_some()).count();
    let served = |asked: &&super::traffic::Asked| {
        let answer = asked.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.body.is_ok())
    };
    let served = asked.iter().filter(served).count();
    println!(
        "seed {seed}: {} requests, {answered} answered, {served} served, {} faults of the fleet",
        asked.len(),
        wrong.len()
    );
    if !wrong.is_empty() {
        println!("logs are kept in {}", folder.keep().display());
    }
    wrong
}

impl Site {
    async fn start(folder: &std::path::Path) -> Self {
        let store = StandInStore::start().await;
        let mut servers = Vec::new();
        for (service, letter) in [("ledger", 'l'), ("model", 'm')] {
            for number in 0..SERVERS {
                let stand_in =
                    StandInServer::start(&format!("{letter}{number}"), Manner::Well).await;
                let link = Proxy::start(stand_in.address).await;
                servers.push(Server {
                    stand_in,
                    link,
                    service,
                });
            }
        }
        let mut store_links = Vec::new();
        let mut hosts = Vec::new();
        for number in 1..=HOSTS {
            let link = Proxy::start(store.address).await;
            hosts.push(Host::start(number, folder, link.address));
            store_links.push(link);
        }
        let site = Self {
            store,
            store_links,
            servers,
            hosts: Arc::new(hosts),
            version: AtomicU64::new(0),
        };
        for server in &site.servers {
            site.list(server);
        }
        site.configure();
        site
    }

    fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        self.store.put("config", "main", config(version, &[KEY]));
    }

    fn list(&self, server: &Server) {
        let life = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = StandInServer::entry_at(server.service, server.link.address, life);
        self.store.put("servers", &server.stand_in.instance, entry);
    }

    async fn becomes_ready(&self) -> bool {
        let deadline = Instant::now() + RECOVERY;
        for host in self.hosts.iter() {
            while !host.is_ready().await {
                if Instant::now() > deadline {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Plays one fault and undoes it. Gives what was wrong.
    async fn play(&self, planned: Planned) -> Option<String> {
        let Planned {
            at,
            lasts,
            fault,
            target,
        } = planned;
        tokio::time::sleep(at).await;
        let host = &self.hosts[target % self.hosts.len()];
        let server = &self.servers[target % self.servers.len()];
        match fault {
            Fault::Kill => {
                let _life = host.life.lock().await;
                if !host.runs() {
                    return Some(format!("{} ended by itself", host.name));
                }
                host.signal(Signal::KILL);
                host.ended(STOP_MAX).await;
                tokio::time::sleep(lasts).await;
                host.start_again();
            }
            Fault::Stop { signals } => {
                let _life = host.life.lock().await;
                if !host.runs() {
                    return Some(format!("{} ended by itself", host.name));
                }
                host.listens().await;
                for _ in 0..signals {
                    host.signal(Signal::TERM);
                    tokio::time::sleep(lasts / 20).await;
                }
                let ended = host.ended(STOP_MAX).await;
                host.signal(Signal::KILL);
                host.ended(STOP_MAX).await;
                host.start_again();
                if !ended.is_some_and(|status| status.success()) {
                    return Some(format!("{} did not stop well: {ended:?}", host.name));
                }
            }
            Fault::Pause => {
                host.signal(Signal::STOP);
                tokio::time::sleep(lasts).await;
                host.signal(Signal::CONT);
            }
            Fault::Reload => host.signal(Signal::HUP),
            Fault::StoreLink(state) => {
                let link = &self.store_links[target % self.store_links.len()];
                link.set(state);
                tokio::time::sleep(lasts).await;
                link.set(LinkState::Sound);
            }
            Fault::StoreDown => {
                self.store.is_down.store(true, Ordering::SeqCst);
                tokio::time::sleep(lasts).await;
                self.store.is_down.store(false, Ordering::SeqCst);
            }
            Fault::StoreForgets => self.store.forget_history(),
            Fault::ServerLink(state) => {
                server.link.set(state);
                tokio::time::sleep(lasts).await;
                server.link.set(LinkState::Sound);
            }
            Fault::ServerManner(manner) => {
                server.stand_in.set(manner);
                tokio::time::sleep(lasts).await;
                server.stand_in.set(Manner::Well);
            }
            Fault::ServerGone => {
                if self.store.take("servers", &server.stand_in.instance) {
                    tokio::time::sleep(lasts).await;
                    self.list(server);
                }
            }
            Fault::Configure => self.configure(),
        }
        None
    }

    /// Whether hosts serve as they should after all faults are over.
    async fn serves_again(&self) -> Option<String> {
        // Servers that were seen to fail are tried again only after a while.
        tokio::time::sleep(Duration::from_secs(3)).await;
        for host in self.hosts.iter() {
            let mut failures = Vec::new();
            for number in 0..LAST_REQUESTS {
                let Some(mut caller) = OpenCaller::connect(host.callers()).await else {
                    return Some(format!("{} takes no connection", host.name));
                };
                let route = ["r", "i"][number as usize % 2];
                let asked = ask(&mut caller, route, format!("last-{}-{number}", host.name)).await;
                let status = asked.answer.as_ref().map(|answer| answer.status.as_u16());
                if status != Some(200) {
                    failures.push(asked);
                }
            }
            if failures.len() > LAST_FAILURES as usize {
                return Some(format!("{} does not serve again: {failures:?}", host.name));
            }
        }
        None
    }
}
