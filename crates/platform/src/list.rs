//! The platform's list of live and leaving instances.

use {
    crate::prelude::*,
    decision::{
        endpoint::{Kind, Member},
        event::Peer,
    },
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

/// Reads the list.
///
/// # Errors
///
/// It cannot be reached or its answer cannot be read.
pub async fn read(client: &Client, address: &str) -> Result<List, Error> {
    let request = Request::get("/instances")
        .header(HOST, address)
        .body(Full::default())?;
    let asked = async {
        let reply = client.send(address, request).await?;
        let status = reply.status();
        let body = reply.whole(MOST).await?;
        if status == StatusCode::OK {
            Ok(body)
        } else {
            Err(Error::Status(status))
        }
    };
    let body = timeout(WAIT, asked).await.unwrap_or(Err(Error::Silent))?;
    Ok(sort(serde_json::from_slice(&body)?))
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
