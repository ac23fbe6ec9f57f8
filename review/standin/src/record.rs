//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The file `record.txt`; clones share it.
#[derive(Clone)]
pub struct Record(Arc<Mutex<BufWriter<File>>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record(Arc::new(Mutex::new(BufWriter::new(file))), Instant::now())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.0.lock().unwrap().flush();
    }
}
