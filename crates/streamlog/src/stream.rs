//! Client of the streams of an append-only log.

use {crate::prelude::*, std::time::Instant};

/// Time limit for an append; after it, the outcome of the append is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the log may hold a read open while there are no new records.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for a read in addition to its long-poll timeout.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Maximum size of the response to a read.
const MAX_READ_BYTES: usize = 16 << 20;

/// One stream of the log.
#[derive(Clone, Debug)]
pub struct Stream {
    /// IP address and port of the log.
    pub address: String,
    /// HTTP client for requests to the log.
    pub client: Client,
    /// Name of the stream.
    pub name: &'static str,
}

/// A record of a stream.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// When the record was appended, by the log's clock.
    pub at: Wall,
    /// Payload of the record.
    pub data: Bytes,
    /// Position in the stream.
    pub offset: u64,
}

/// The result of one read.
#[derive(Clone, Debug)]
pub struct RecordBatch {
    /// When the read was sent, by the local clock.
    pub requested_at: Instant,
    /// Lowest offset that the log still retains.
    pub first: u64,
    /// Offset that the next appended record will get.
    pub next: u64,
    /// Time of the read by the log's clock.
    pub now: Wall,
    /// Records in order of their offsets.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct RawRecord {
    at: u64,
    data: String,
    offset: u64,
}

#[derive(Deserialize)]
struct RawBatch {
    first: u64,
    next: u64,
    now: u64,
    records: Vec<RawRecord>,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

impl Stream {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// The append failed or its outcome is unknown; see [`append_result`].
    pub async fn append(&self, data: Bytes) -> Result<u64, Error> {
        let request = Request::post(format!("/streams/{}/records", self.name))
            .header(HOST, &self.address)
            .body(Full::new(data))?;
        let body = self.exchange(request, APPEND_TIMEOUT, 4096).await?;
        Ok(serde_json::from_slice::<AppendResponse>(&body)?.offset)
    }

    /// Reads records from offset `from` on; the log may hold the read open for `poll_timeout`
    /// while there are none.
    ///
    /// # Errors
    ///
    /// The log cannot be reached, or its response cannot be decoded.
    pub async fn read(&self, from: u64, poll_timeout: Duration) -> Result<RecordBatch, Error> {
        let requested_at = Instant::now();
        let millis = poll_timeout.as_millis();
        let path = format!(
            "/streams/{}/records?from={from}&wait_ms={millis}",
            self.name
        );
        let request = Request::get(path)
            .header(HOST, &self.address)
            .body(Full::default())?;
        let body = self
            .exchange(request, poll_timeout + READ_TIMEOUT_MARGIN, MAX_READ_BYTES)
            .await?;
        let raw = serde_json::from_slice::<RawBatch>(&body)?;
        let mut records = Vec::with_capacity(raw.records.len());
        for record in raw.records {
            let data = BASE64_STANDARD
                .decode(&record.data)
                .map_err(|error| Error::Record(error.to_string()))?;
            records.push(LogRecord {
                at: Wall(record.at),
                data: data.into(),
                offset: record.offset,
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
        max_bytes: usize,
    ) -> Result<Bytes, Error> {
        let exchange = async {
            let reply = self.client.send(&self.address, request).await?;
            let status = reply.status();
            let body = reply.read_body(max_bytes).await?;
            if status == StatusCode::OK {
                Ok(body)
            } else {
                Err(Error::Status(status))
            }
        };
        timeout(wait, exchange).await.unwrap_or(Err(Error::Timeout))
    }
}

/// Whether an append took effect, as far as its result shows.
#[must_use]
pub fn append_result(result: &Result<u64, Error>) -> AppendResult {
    match result {
        Ok(_) => AppendResult::Done,
        Err(Error::Endpoint(error)) if error.unwritten() => AppendResult::Refused,
        Err(Error::Status(StatusCode::TOO_MANY_REQUESTS)) => AppendResult::Refused,
        Err(_) => AppendResult::Lost,
    }
}
