//! Stand-ins and scripts of the cases 11 to 15. The first argument names the case, the second the record.
//!
//! The process ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod case_crowd;
mod case_repeat;
mod case_streams;
mod case_takeups;
mod host;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Whether the rule of a case held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// What a case runs with.
pub struct Setting {
    /// Whether the disruption happens.
    pub trouble: bool,
    /// Folder for settings and logs, removed at the end.
    pub folder: PathBuf,
    pub record: Record,
}

/// The kernel's `rlimit`.
#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

unsafe extern "C" {
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

/// Lets this process open as many descriptors as it may.
fn raise_descriptor_limit() {
    const RLIMIT_NOFILE: i32 = 7;
    let mut limit = Limit { soft: 0, hard: 0 };
    // SAFETY: the calls get pointers to a value of the kernel's layout.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) == 0 && limit.soft < limit.hard {
            limit.soft = limit.hard;
            setrlimit(RLIMIT_NOFILE, &limit);
        }
    }
}

fn run(name: &str, record: &Path) -> io::Result<Verdict> {
    raise_descriptor_limit();
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let setting = Setting {
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder: folder.clone(),
        record: Record::create(record)?,
    };
    setting
        .record
        .line(format!("case {name}, disruption: {}", setting.trouble));
    let verdict = match name {
        "crowd" => case_crowd::run(&setting),
        "repeat" => case_repeat::run(&setting),
        "takeups" => case_takeups::run(&setting),
        "streams" => case_streams::run(&setting),
        _ => Err(io::Error::other(format!("no case {name}"))),
    };
    setting.record.line(format!("verdict: {verdict:?}"));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    verdict
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    match run(name, Path::new(record)) {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(err) => {
            eprintln!("cannot run: {err}");
            ExitCode::from(2)
        }
    }
}
