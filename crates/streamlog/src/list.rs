//! The platform's list of live and leaving instances.

use {
    crate::prelude::*,
    decision::{
        endpoint::{Kind, Member},
        event::Peer,
    },
    http::header::IF_NONE_MATCH,
};

/// How long a read of the list may take.
const WAIT: Duration = Duration::from_secs(2);

/// Largest list read, in bytes.
const MOST: usize = 16 << 20;

/// What the list names.
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

/// Reads the list again and again, but transfers it only when it has changed.
///
/// At full size the list is a third of a megabyte; read whole twice a second it
/// cost more than everything else that an idle instance does.
#[derive(Debug)]
pub struct Reader {
    address: String,
    client: Client,
    tag: Option<String>,
}

impl Reader {
    /// A reader that has not read anything.
    #[must_use]
    pub const fn new(client: Client, address: String) -> Self {
        Self {
            address,
            client,
            tag: None,
        }
    }

    /// The list, or `None` if it is as it was at the last reading.
    ///
    /// # Errors
    ///
    /// It cannot be reached or its answer cannot be read.
    pub async fn read(&mut self) -> Result<Option<List>, Error> {
        let mut request = Request::get("/instances").header(HOST, &self.address);
        if let Some(tag) = &self.tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let request = request.body(Full::default())?;
        let asked = async {
            let reply = self.client.send(&self.address, request).await?;
            let status = reply.status();
            let tag = reply.header("etag").map(str::to_string);
            Ok((status, tag, reply.read_body(MOST).await?))
        };
        let (status, tag, body) = timeout(WAIT, asked).await.unwrap_or(Err(Error::Silent))?;
        match status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let list = sort(serde_json::from_slice(&body)?);
                self.tag = tag;
                Ok(Some(list))
            }
            status => Err(Error::Status(status)),
        }
    }
}

fn sort(rows: Vec<Row>) -> List {
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
                log::debug!(role; "role in the instance list is not known");
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
