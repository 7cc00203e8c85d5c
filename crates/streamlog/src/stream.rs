//! Streams of the append-only log.

use {crate::prelude::*, std::time::Instant};

/// How long an append may take before it counts as lost.
const APPEND_WAIT: Duration = Duration::from_secs(2);

/// Time the log may hold a read open when there is nothing new.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a read may take beyond the time it is held open.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Largest part of a stream read at once, in bytes.
const MOST_PART: usize = 16 << 20;

/// One stream of the log.
#[derive(Clone, Debug)]
pub struct Stream {
    /// IP address and port of the log.
    pub address: String,
    /// HTTP client.
    pub client: Client,
    /// Name of the stream.
    pub name: &'static str,
}

/// A record as it stands in a stream.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// When the log took it, by the log's clock.
    pub at: Wall,
    /// Content.
    pub data: Bytes,
    /// Place in the stream.
    pub offset: u64,
}

/// A part of a stream.
#[derive(Clone, Debug)]
pub struct RecordBatch {
    /// When the read was asked for.
    pub requested_at: Instant,
    /// Lowest offset that the log still keeps.
    pub first: u64,
    /// The offset that the next record will get.
    pub next: u64,
    /// The log's clock.
    pub now: Wall,
    /// Records in order.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct RawEntry {
    at: u64,
    data: String,
    offset: u64,
}

#[derive(Deserialize)]
struct RawPart {
    first: u64,
    next: u64,
    now: u64,
    records: Vec<RawEntry>,
}

#[derive(Deserialize)]
struct Place {
    offset: u64,
}

impl Stream {
    /// Appends a record.
    ///
    /// # Errors
    ///
    /// See [`append_result`] for whether the record may stand in the log all the same.
    pub async fn append(&self, data: Bytes) -> Result<u64, Error> {
        let request = Request::post(format!("/streams/{}/records", self.name))
            .header(HOST, &self.address)
            .body(Full::new(data))?;
        let body = self.exchange(request, APPEND_WAIT, 4096).await?;
        Ok(serde_json::from_slice::<Place>(&body)?.offset)
    }

    /// Reads from `from` on; the log may hold the read open if there is nothing new.
    ///
    /// # Errors
    ///
    /// The log cannot be reached or its answer cannot be read.
    pub async fn read(&self, from: u64, hold: Duration) -> Result<RecordBatch, Error> {
        let requested_at = Instant::now();
        let millis = hold.as_millis();
        let path = format!(
            "/streams/{}/records?from={from}&wait_ms={millis}",
            self.name
        );
        let request = Request::get(path)
            .header(HOST, &self.address)
            .body(Full::default())?;
        let body = self.exchange(request, hold + READ_WAIT, MOST_PART).await?;
        let raw = serde_json::from_slice::<RawPart>(&body)?;
        let mut records = Vec::with_capacity(raw.records.len());
        for entry in raw.records {
            let data = BASE64_STANDARD
                .decode(&entry.data)
                .map_err(|error| Error::Record(error.to_string()))?;
            records.push(LogRecord {
                at: Wall(entry.at),
                data: data.into(),
                offset: entry.offset,
            });
        }
        Ok(RecordBatch {
            requested_at,
            first: raw.first,
            next: raw.next,
            now: Wall(raw.now),
            records,
        })
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
        most: usize,
    ) -> Result<Bytes, Error> {
        let exchange = async {
            let reply = self.client.send(&self.address, request).await?;
            let status = reply.status();
            let body = reply.read_body(most).await?;
            if status == StatusCode::OK {
                Ok(body)
            } else {
                Err(Error::Status(status))
            }
        };
        timeout(wait, exchange).await.unwrap_or(Err(Error::Silent))
    }
}

/// What is known of an append's effect.
#[must_use]
pub fn append_result(result: &Result<u64, Error>) -> AppendResult {
    match result {
        Ok(_) => AppendResult::Done,
        Err(Error::Endpoint(error)) if error.unwritten() => AppendResult::Refused,
        Err(Error::Status(StatusCode::TOO_MANY_REQUESTS)) => AppendResult::Refused,
        Err(_) => AppendResult::Lost,
    }
}
