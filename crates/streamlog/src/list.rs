//! Client of the platform's instance list.

use {
    crate::prelude::*,
    decision::{
        endpoint::{Kind, Member},
        event::Peer,
    },
    http::header::IF_NONE_MATCH,
    serde_json::value::RawValue,
};

/// Time limit for one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Instances in the list, by role.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Endpoints.
    pub members: Vec<Member>,
    /// Entry instances.
    pub peers: Vec<Peer>,
}

#[derive(Deserialize)]
struct Row {
    address: String,
    domain: String,
    name: String,
    role: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    state: String,
}

/// Polls the list with conditional requests, so that it is transferred and parsed only when
/// it has changed.
///
/// With thousands of endpoints the list is a third of a megabyte. Reading all of it twice a second
/// costs more than everything else that an idle instance does.
#[derive(Debug)]
pub struct Reader {
    address: String,
    client: Client,
    etag: Option<String>,
}

impl Reader {
    /// Creates a reader that has no cached `ETag`.
    #[must_use]
    pub const fn new(client: Client, address: String) -> Self {
        Self {
            address,
            client,
            etag: None,
        }
    }

    /// Reads the list; `None` if it has not changed since the last read.
    ///
    /// # Errors
    ///
    /// The list cannot be reached, or its response cannot be decoded.
    pub async fn read(&mut self) -> Result<Option<List>, Error> {
        let mut request = Request::get("/instances").header(HOST, &self.address);
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let request = request.body(Full::default())?;
        let exchange = async {
            let reply = self.client.send(&self.address, request).await?;
            let status = reply.status();
            let etag = reply.header("etag").map(str::to_string);
            Ok((status, etag, reply.read_body(MAX_LIST_BYTES).await?))
        };
        let (status, etag, body) = timeout(READ_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(Error::Timeout))?;
        match status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let list = decode(&body)?;
                self.etag = etag;
                Ok(Some(list))
            }
            status => Err(Error::Status(status)),
        }
    }
}

/// Decodes the list. Entries of other writers that cannot be decoded, or whose addresses have no port, are ignored.
///
/// # Errors
///
/// It is not an array in JSON.
pub fn decode(body: &[u8]) -> Result<List, Error> {
    let text = String::from_utf8_lossy(body);
    let rows = serde_json::from_str::<Vec<&RawValue>>(&text)?;
    Ok(classify(rows.into_iter().filter_map(decode_row)))
}

fn decode_row(row: &RawValue) -> Option<Row> {
    let row = serde_json::from_str::<Row>(row.get());
    let row = row.inspect_err(|error| log::warn!(error:%; "invalid entry in the instance list"));
    row.ok().filter(|row| {
        let has_port = has_port(&row.address);
        if !has_port {
            log::warn!(name:% = row.name, address:% = row.address; "invalid address in the instance list");
        }
        has_port
    })
}

fn has_port(address: &str) -> bool {
    let port = address
        .rsplit_once(':')
        .map(|(_, port)| port.parse::<u16>());
    matches!(port, Some(Ok(1..)))
}

fn classify(rows: impl Iterator<Item = Row>) -> List {
    let mut list = List::default();
    for row in rows {
        let leaving = row.state == "leaving";
        let kind = match row.role.as_str() {
            "engine" => Kind::Engine,
            "entry" => {
                list.peers.push(Peer {
                    name: row.name,
                    address: row.address,
                    domain: row.domain,
                    leaving,
                });
                continue;
            }
            "service" => Kind::Service(row.service),
            role => {
                log::debug!(role; "unknown role in the instance list; entry ignored");
                continue;
            }
        };
        list.members.push(Member {
            name: row.name,
            address: row.address,
            domain: row.domain,
            kind,
            leaving,
        });
    }
    list
}
