//! The record of a case: one line for each event, with the time since the start in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record file, shared by all threads.
#[derive(Clone)]
pub struct Record {
    out: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    /// Creates the file that the variable `RECORD` names, or `record.txt`.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| {
            eprintln!("cannot create {path}: {e}");
            std::process::exit(super::NOT_RUN)
        });
        Record { out: Arc::new(Mutex::new(BufWriter::new(file))), start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.now_ms();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{ms:>7} ms  {}", text.as_ref());
    }

    /// Writes one line, also to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        self.flush();
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
