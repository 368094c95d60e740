//! Tasks that watch the host list and the configuration on the platform, the external system that
//! the fleet runs on, and send each new version to the control thread, which owns the state of the
//! host.

use std::time::Duration;

use log::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::control_loop::PlatformEvent;
use crate::host::HostList;
use crate::platform::Backoff;
use crate::platform::CONFIGURATION_KIND;
use crate::platform::CONFIGURATION_NAME;
use crate::platform::HostListClient;
use crate::platform::HostListError;
use crate::platform::Object;
use crate::platform::ObjectClient;
use crate::platform::ObjectError;

/// Time limit of one long poll, after which the platform responds even if nothing has changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Upper bound of the first delay after a failed call. It doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the host list until the control thread ends.
pub(super) async fn follow_host_list(
    client: HostListClient,
    events: mpsc::UnboundedSender<PlatformEvent>,
) {
    let mut revision = 0;
    let mut health = SourceHealth::new("host list");
    while !events.is_closed() {
        let read: Result<Option<HostList>, HostListError> =
            client.watch(revision, WATCH_TIMEOUT).await;
        match read {
            Ok(Some(list)) => {
                health.succeeded();
                revision = list.revision;
                // Fails if the control thread has ended; then the loop ends too.
                let _ = events.send(PlatformEvent::HostList(list));
            }
            Ok(None) => health.succeeded(),
            Err(err) => {
                let delay = health.failed(&err);
                drop(err);
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Watches the configuration object while `watching` is true, and ends when its sender is dropped.
/// Only some hosts watch the object, to limit the load on the platform; they send it to the others.
pub(super) async fn follow_configuration(
    client: ObjectClient,
    mut watching: watch::Receiver<bool>,
    events: mpsc::UnboundedSender<PlatformEvent>,
) {
    let mut version = 0;
    let mut health = SourceHealth::new("configuration");
    while watching.wait_for(|watching| *watching).await.is_ok() {
        let read: Result<Option<Object>, ObjectError> = client
            .watch(
                CONFIGURATION_KIND,
                CONFIGURATION_NAME,
                version,
                WATCH_TIMEOUT,
            )
            .await;
        match read {
            Ok(Some(object)) => {
                health.succeeded();
                version = object.version;
                let _ = events.send(PlatformEvent::Configuration(object));
            }
            Ok(None) => health.succeeded(),
            Err(err) => {
                let delay = health.failed(&err);
                drop(err);
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Tracks whether a source on the platform can be read, and logs only when that changes.
struct SourceHealth {
    /// Name of the source in the log.
    source: &'static str,
    /// Whether the last read failed.
    failing: bool,
    backoff: Backoff,
}

impl SourceHealth {
    fn new(source: &'static str) -> Self {
        Self {
            source,
            failing: false,
            backoff: Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    fn succeeded(&mut self) {
        if self.failing {
            log::info!("{} is readable again", self.source);
        }
        self.failing = false;
        self.backoff.reset();
    }

    /// Records a failure and returns the delay before the next attempt.
    fn failed(&mut self, err: &dyn std::error::Error) -> Duration {
        if !self.failing {
            warn!("{} cannot be read: {err}", self.source);
        }
        self.failing = true;
        self.backoff.next_delay()
    }
}
