//! Non-blocking JSON log lines on standard output.
//!
//! A thread writes lines from a bounded channel. If standard output is not read, the channel
//! fills up, and lines are dropped and counted, so that requests never wait for the log.

use {
    log::kv::{Key, Value, VisitSource},
    serde_json::{Map, json},
    std::{
        io::{self, Write},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{self, Receiver, SyncSender},
        },
        thread,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Maximum number of lines that wait to be written, about a megabyte.
const MAX_QUEUED_LINES: usize = 4096;

/// Number of lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging at `level` and above.
pub fn start(level: log::LevelFilter, instance: &str) {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || write(&receiver));
    let instance = instance.to_string();
    env_logger::Builder::new()
        .filter_level(level)
        .target(env_logger::Target::Pipe(Box::new(ChannelWriter { sender })))
        .write_style(env_logger::WriteStyle::Never)
        .format(move |buffer, record| {
            let mut line = Line(Map::new());
            line.0.insert("t".into(), json!(wall_millis()));
            line.0
                .insert("level".into(), json!(record.level().as_str()));
            line.0.insert("instance".into(), json!(instance));
            line.0
                .insert("event".into(), json!(record.args().to_string()));
            if let Err(error) = record.key_values().visit(&mut line) {
                line.0.insert("unreadable".into(), json!(error.to_string()));
            }
            serde_json::to_writer(&mut *buffer, &line.0)?;
            writeln!(buffer)
        })
        .init();
}

fn wall_millis() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

/// Writes lines until the channel closes, and flushes when it is empty.
fn write(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(line) = lines.recv() {
        let mut batch = line;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            // Standard output is closed, and there is nowhere else to log it.
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Fields of one line.
struct Line(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_string(), value);
        Ok(())
    }
}

/// Sends lines to the writing thread.
struct ChannelWriter {
    sender: SyncSender<Vec<u8>>,
}

impl Write for ChannelWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(buf.to_vec()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
