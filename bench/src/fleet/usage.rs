//! Processor time and memory of a host process, read from `/proc` (see `proc(5)`).

use std::io;
use std::path::Path;

/// Clock ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Memory page size on the supported machines, bytes.
const PAGE_BYTES: u64 = 4096;
/// Name of the thread that runs the control logic of a host, such as scheduling and membership.
const CONTROL_THREAD: &str = "control";

/// Resource usage of a host process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of the control thread, user and system, seconds.
    pub control_cpu_s: f64,
    /// Resident memory, bytes.
    pub memory_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with an id.
    ///
    /// # Errors
    ///
    /// The process has ended or has no control thread.
    pub fn read(id: u32) -> io::Result<Self> {
        let process = format!("/proc/{id}");
        let statm = std::fs::read_to_string(format!("{process}/statm"))?;
        let pages: u64 = field(&statm, 1)?;
        let mut control_cpu_s = None;
        for task in std::fs::read_dir(format!("{process}/task"))? {
            let task = task?.path();
            if std::fs::read_to_string(task.join("comm"))?.trim() == CONTROL_THREAD {
                control_cpu_s = Some(cpu_seconds(&task)?);
            }
        }
        let missing = || io::Error::other("the host process has no control thread");
        Ok(Self {
            control_cpu_s: control_cpu_s.ok_or_else(missing)?,
            memory_bytes: pages * PAGE_BYTES,
        })
    }
}

/// Processor time of a thread. `task` is its directory in `/proc`.
fn cpu_seconds(task: &Path) -> io::Result<f64> {
    let stat = std::fs::read_to_string(task.join("stat"))?;
    // The thread name in parentheses may contain spaces, so fields are counted after it.
    let (_, rest) = stat.rsplit_once(')').unwrap_or(("", &stat));
    let user: u64 = field(rest, 11)?;
    let system: u64 = field(rest, 12)?;
    Ok((user + system) as f64 / TICKS_PER_S)
}

/// Field of a `/proc` file, counted from 0.
fn field(text: &str, number: usize) -> io::Result<u64> {
    text.split_whitespace()
        .nth(number)
        .and_then(|field| field.parse().ok())
        .ok_or_else(|| io::Error::other("unexpected format of a file in /proc"))
}
