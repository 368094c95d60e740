//! What was sent, answered and run, with milliseconds since the start.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        self.lines.lock().expect("the record").push((at, text.to_owned()));
    }

    /// A line that is also shown at once.
    pub fn note(&self, text: &str) {
        println!("{:7} ms  {text}", self.began.elapsed().as_millis());
        self.line(&format!("# {text}"));
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut f = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, line) in self.lines.lock().expect("the record").iter() {
            writeln!(f, "{at} {line}")?;
        }
        f.flush()
    }
}
