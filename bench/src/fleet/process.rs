//! A host of a fleet as a child process that can be signalled, suspended, killed and restarted.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use super::plan::HostPlan;

/// Interval between two checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signals that a measurement sends to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: requests a planned stop.
    Terminate,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Self::Terminate => libc::SIGTERM,
            Self::Stop => libc::SIGSTOP,
            Self::Continue => libc::SIGCONT,
        }
    }
}

/// A host that runs as a child process. Dropping this kills the process.
///
/// The process also ends when its standard input closes, so that it does not outlive its parent if
/// that is killed.
#[derive(Debug)]
pub struct HostProcess {
    plan: HostPlan,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
    /// When the suspended process is due to be resumed.
    resume_at: Option<Instant>,
}

impl HostProcess {
    /// Starts the process with the command `program host --config SETTINGS`.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start(plan: HostPlan, program: &Path, settings: &Path) -> io::Result<Self> {
        Ok(Self {
            plan,
            program: program.to_owned(),
            settings: settings.to_owned(),
            child: spawn(program, settings)?,
            resume_at: None,
        })
    }

    /// Name and addresses of the host.
    pub fn plan(&self) -> &HostPlan {
        &self.plan
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process unless it has ended.
    ///
    /// # Errors
    ///
    /// The operating system refuses the signal.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // The id of a process that has ended and was waited for may belong to another process.
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = libc::pid_t::try_from(self.child.id()).map_err(io::Error::other)?;
        send_signal(id, signal)
    }

    /// Suspends the process. [`Self::resume_if_due`] resumes it once `span` has passed.
    ///
    /// # Errors
    ///
    /// The operating system refuses the signal.
    pub fn suspend(&mut self, span: Duration) -> io::Result<()> {
        self.signal(Signal::Stop)?;
        self.resume_at = Some(Instant::now() + span);
        Ok(())
    }

    /// Resumes the process if the time for which it was suspended has passed.
    ///
    /// # Errors
    ///
    /// The operating system refuses the signal.
    pub fn resume_if_due(&mut self) -> io::Result<()> {
        if self.resume_at.is_some_and(|at| at <= Instant::now()) {
            self.resume_at = None;
            self.signal(Signal::Continue)?;
        }
        Ok(())
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    ///
    /// The operating system reports an error.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts the process again with the same settings. The earlier process must have ended.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings)?;
        self.resume_at = None;
        Ok(())
    }

    /// Waits until the process has ended. Returns none if it still runs at the deadline.
    ///
    /// # Errors
    ///
    /// The operating system reports an error.
    pub async fn wait(&mut self, deadline: Instant) -> io::Result<Option<ExitStatus>> {
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // Nothing else can be done if the process cannot be killed.
        let _ = self.kill();
    }
}

fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
    Command::new(program)
        .arg("host")
        .arg("--config")
        .arg(settings)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
}

#[expect(
    unsafe_code,
    reason = "the standard library can send no signal other than SIGKILL"
)]
fn send_signal(id: libc::pid_t, signal: Signal) -> io::Result<()> {
    // SAFETY: `kill` has no memory effects, and `id` is a child that was not waited for.
    let result = unsafe { libc::kill(id, signal.number()) };
    if result == 0 {
        return Ok(());
    }
    Err(io::Error::last_os_error())
}
