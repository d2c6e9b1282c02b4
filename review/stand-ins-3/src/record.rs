//! Writes `record.txt`: what was sent, answered and run, with the milliseconds since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    /// Creates the file `record.txt` in the folder that the environment names.
    ///
    /// # Panics
    ///
    /// Panics if it can't be created.
    #[must_use]
    pub fn create() -> Self {
        let folder = std::env::var("CASE").unwrap_or_else(|_| ".".to_owned());
        let path = std::path::Path::new(&folder).join("record.txt");
        let file = File::create(&path).expect("record.txt can't be written");
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start.
    #[must_use]
    pub fn millis(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let millis = self.millis();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{millis:>7} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Writes the verdict and ends the process with its code.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.say(&format!("exit {code}: {verdict}"));
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.flush();
        drop(file);
        std::process::exit(code);
    }
}

/// Notes the id of a process that was started, so that the script can end what is left.
pub fn note_process(id: u32) {
    let Ok(folder) = std::env::var("SCRATCH") else {
        return;
    };
    let path = std::path::Path::new(&folder).join("processes");
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}
