//! What the system says about the use of a process (`proc(5)`).

use std::io;
use std::path::Path;

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page on the machines that the bench runs on.
const PAGE_BYTES: u64 = 4096;
/// Name of the thread that holds the control state of a host.
const CONTROL_THREAD: &str = "control";

/// Use of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of its control thread, seconds.
    pub control_cpu_s: f64,
    /// Resident memory, bytes.
    pub memory_bytes: u64,
}

impl ProcessUsage {
    /// Reads the use of a process.
    ///
    /// # Errors
    ///
    /// The process is gone or has no control thread.
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
        let missing = || io::Error::other("the host has no control thread");
        Ok(Self {
            control_cpu_s: control_cpu_s.ok_or_else(missing)?,
            memory_bytes: pages * PAGE_BYTES,
        })
    }
}

fn cpu_seconds(task: &Path) -> io::Result<f64> {
    let stat = std::fs::read_to_string(task.join("stat"))?;
    // The name in parentheses may hold spaces, so that fields are counted after it.
    let (_, rest) = stat.rsplit_once(')').unwrap_or(("", &stat));
    let user: u64 = field(rest, 11)?;
    let system: u64 = field(rest, 12)?;
    Ok((user + system) as f64 / TICKS_PER_S)
}

fn field(text: &str, number: usize) -> io::Result<u64> {
    text.split_whitespace()
        .nth(number)
        .and_then(|field| field.parse().ok())
        .ok_or_else(|| io::Error::other("unexpected form of a file in /proc"))
}
