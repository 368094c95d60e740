//! Hosts of a fleet as processes of their own.

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

/// Pause between two looks at a process that is to end.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signals that a measurement sends to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
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

/// A host as a process, killed when it is dropped.
///
/// The process ends by itself when its standard input closes, so that it does not outlive the
/// bench.
#[derive(Debug)]
pub struct HostProcess {
    plan: HostPlan,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
    /// When the frozen process goes on.
    resume_at: Option<Instant>,
}

impl HostProcess {
    /// Starts `program host --config SETTINGS`.
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

    /// Where the host is.
    pub fn plan(&self) -> &HostPlan {
        &self.plan
    }

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process unless it has ended.
    ///
    /// # Errors
    ///
    /// The system refuses the signal.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // A process that has ended and was waited for may have left its number to another one.
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = libc::pid_t::try_from(self.child.id()).map_err(io::Error::other)?;
        send_signal(id, signal)
    }

    /// Freezes the process, to be thawed by [`Self::resume_if_due`] after a span of time.
    ///
    /// # Errors
    ///
    /// The system refuses the signal.
    pub fn suspend(&mut self, span: Duration) -> io::Result<()> {
        self.signal(Signal::Stop)?;
        self.resume_at = Some(Instant::now() + span);
        Ok(())
    }

    /// Lets the process go on if its time to be frozen is over.
    ///
    /// # Errors
    ///
    /// The system refuses the signal.
    pub fn resume_if_due(&mut self) -> io::Result<()> {
        if self.resume_at.is_some_and(|at| at <= Instant::now()) {
            self.resume_at = None;
            self.signal(Signal::Continue)?;
        }
        Ok(())
    }

    /// Kills the process without warning and waits for its end.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts the process again with the same settings. It must have ended.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings)?;
        self.resume_at = None;
        Ok(())
    }

    /// Waits for the end of the process until a deadline; none if it still runs then.
    ///
    /// # Errors
    ///
    /// The system refuses.
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
        // There is nothing left to do about a process that cannot be killed.
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
    reason = "the standard library sends no signal but SIGKILL"
)]
fn send_signal(id: libc::pid_t, signal: Signal) -> io::Result<()> {
    // SAFETY: `kill` has no memory effects, and `id` is a child that was not waited for.
    let result = unsafe { libc::kill(id, signal.number()) };
    if result == 0 {
        return Ok(());
    }
    Err(io::Error::last_os_error())
}
