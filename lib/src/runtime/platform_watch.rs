//! Tasks that follow the platform for the control thread.

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

/// Longest time for which the platform is asked to hold a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// First and longest delay before the platform is asked again after an error.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Follows the host list until the control thread ends.
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
                // The loop ends by itself once the control thread has ended.
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

/// Follows the configuration while `watching` says so, until its sender is dropped.
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

/// Whether a part of the platform answers; logs only when that changes.
struct SourceHealth {
    source: &'static str,
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
            log::info!("{} can be read again", self.source);
        }
        self.failing = false;
        self.backoff.reset();
    }

    /// Notes a failure and returns the delay before the next attempt.
    fn failed(&mut self, err: &dyn std::error::Error) -> Duration {
        if !self.failing {
            warn!("{} cannot be read: {err}", self.source);
        }
        self.failing = true;
        self.backoff.next_delay()
    }
}
