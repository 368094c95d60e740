//! Waits for the reply to a datagram on a host that may be behind its work.
//!
//! The timers of such a host fire late. The reply may then have arrived in time and still be in the
//! socket, behind other datagrams.

use std::time::Duration;

use tokio::sync::oneshot;

/// Wait that is long enough for the runtime to look for received datagrams once more.
const SOCKET_POLL_TIMEOUT: Duration = Duration::from_millis(1);
/// How often the receiving task gets to read from the socket after the timeout. It reads 128 datagrams
/// each time, by the budget of the runtime.
const SOCKET_POLLS: usize = 4;

/// Waits until the receiving task hands over the reply. `None` if no reply had arrived when the timeout
/// was noticed, or if none can arrive.
pub async fn wait_for_reply<T>(rx: &mut oneshot::Receiver<T>, timeout: Duration) -> Option<T> {
    wait_for(rx, timeout).await?.ok()
}

/// Waits for replies that the receiving task hands over, like [`wait_for_reply`].
pub(crate) async fn wait_for<F: Future + Unpin>(
    mut replies: F,
    timeout: Duration,
) -> Option<F::Output> {
    let polls = std::iter::repeat_n(SOCKET_POLL_TIMEOUT, SOCKET_POLLS);
    for timeout in std::iter::once(timeout).chain(polls) {
        if let Ok(output) = tokio::time::timeout(timeout, &mut replies).await {
            return Some(output);
        }
    }
    None
}
