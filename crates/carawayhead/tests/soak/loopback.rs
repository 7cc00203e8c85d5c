//! A TCP proxy on loopback that injects faults.

#![allow(dead_code, reason = "not every test program uses all of these faults")]

use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
        time::sleep,
    },
};

/// How the proxy treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Bytes are forwarded.
    Open,
    /// Each chunk is forwarded after a delay.
    Delayed(Duration),
    /// Nothing is forwarded to the target.
    BlockedToTarget,
    /// Nothing is forwarded from the target.
    BlockedFromTarget,
    /// Nothing is forwarded either way; new connections are accepted.
    Blocked,
}

/// What happens to the connections of processes that are partitioned from the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Partition {
    /// Nothing is forwarded either way on open and new connections.
    Silent,
    /// Nothing is forwarded from the target.
    SilentFromTarget,
    /// Open and new connections are reset.
    Reset,
    /// New connections are reset, open ones work.
    ResetNew,
}

#[derive(Clone, Debug)]
struct ProxyState {
    link: LinkState,
    /// Processes that are partitioned from the target.
    partition: Option<(Partition, Vec<u32>)>,
    /// Processes whose connections are told apart.
    known_pids: Vec<u32>,
    /// Connections opened at a lower count are reset.
    reset_count: u32,
    /// Connections opened at a lower count forward nothing any more.
    stall_count: u32,
}

/// A proxy for one target.
#[derive(Debug)]
pub struct FaultProxy {
    pub address: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy on an ephemeral port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(
            watch::channel(ProxyState {
                link: LinkState::Open,
                partition: None,
                known_pids: Vec::new(),
                reset_count: 0,
                stall_count: 0,
            })
            .0,
        );
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, client)) = listener.accept().await {
                tokio::spawn(forward(stream, client, address, target, shared.subscribe()));
            }
        });
        Self {
            address,
            state,
            task,
        }
    }

    /// Sets the state of all connections; bytes held back are forwarded when unblocked.
    pub fn set(&self, link: LinkState) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Sets the processes that may be partitioned from the target later. They must not have connected
    /// yet.
    pub fn set_known_pids(&self, pids: &[u32]) {
        self.state
            .send_modify(|state| state.known_pids = pids.to_vec());
    }

    /// Partitions processes from the target until [`Self::heal`].
    pub fn partition(&self, partition: Partition, pids: &[u32]) {
        self.state
            .send_modify(|state| state.partition = Some((partition, pids.to_vec())));
    }

    /// Ends a partition. Bytes held back meanwhile are forwarded.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.partition = None);
    }

    /// Resets all open connections with a TCP RST.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.reset_count += 1);
    }

    /// Stops forwarding on all open connections permanently; new ones work.
    pub fn stall_connections(&self) {
        self.state.send_modify(|state| state.stall_count += 1);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ProxyState {
    /// The partition that a process is in.
    fn partition_of(&self, pid: Option<u32>) -> Option<Partition> {
        let (partition, pids) = self.partition.as_ref()?;
        pids.contains(&pid?).then_some(*partition)
    }
}

/// A connection and what was in force when it was opened.
#[derive(Clone, Copy, Debug)]
struct Opened {
    pid: Option<u32>,
    reset_count: u32,
    stall_count: u32,
}

/// The process among `pids` that has the client's end of a connection.
///
/// Partitions are between a process and a target, but all processes share the loopback address.
fn owner(client: SocketAddr, proxy: SocketAddr, pids: &[u32]) -> Option<u32> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            let ip = u32::from_le_bytes(address.ip().octets());
            format!("{ip:08X}:{:04X}", address.port())
        }
        SocketAddr::V6(_) => unreachable!("proxies listen on IPv4"),
    };
    let (client, proxy) = (hex(client), hex(proxy));
    let table = connections()?;
    // The fields from the addresses on: both, then six others, then the inode.
    let row = table.split_once(&format!(" {client} {proxy} "))?.1;
    let inode = row.split_whitespace().nth(6)?;
    let socket = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| {
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"));
        let descriptors = descriptors.into_iter().flatten().flatten();
        let mut links = descriptors.filter_map(|entry| std::fs::read_link(entry.path()).ok());
        links.any(|link| link.as_os_str() == socket.as_str())
    })
}

/// All connections of the machine, read after this call began. Reading them takes long where many have
/// been closed lately, so that lookups which wait for one another share a result.
fn connections() -> Option<Arc<String>> {
    static LAST: Mutex<Option<(Instant, Arc<String>)>> = Mutex::new(None);
    let called_at = Instant::now();
    let mut last = LAST.lock().expect("not poisoned");
    if let Some((read_at, table)) = last.as_ref()
        && *read_at > called_at
    {
        return Some(Arc::clone(table));
    }
    let read_at = Instant::now();
    let table = Arc::new(std::fs::read_to_string("/proc/net/tcp").ok()?);
    *last = Some((read_at, Arc::clone(&table)));
    Some(table)
}

async fn forward(
    client: TcpStream,
    client_address: SocketAddr,
    proxy: SocketAddr,
    target: SocketAddr,
    state: watch::Receiver<ProxyState>,
) {
    let mut opened = {
        let state = state.borrow();
        Opened {
            pid: None,
            reset_count: state.reset_count,
            stall_count: state.stall_count,
        }
    };
    let pids = state.borrow().known_pids.clone();
    if !pids.is_empty() {
        let looked_up = tokio::task::spawn_blocking(move || owner(client_address, proxy, &pids));
        opened.pid = looked_up.await.expect("the lookup does not panic");
    }
    let partition = state.borrow().partition_of(opened.pid);
    if matches!(partition, Some(Partition::Reset | Partition::ResetNew)) {
        // Fails if the connection is already closed.
        let _closed = client.set_zero_linger();
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let started = opened;
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let to_target = copy(
        client_read,
        target_write,
        state.clone(),
        started,
        LinkState::BlockedToTarget,
    );
    let from_target = copy(
        target_read,
        client_write,
        state,
        started,
        LinkState::BlockedFromTarget,
    );
    tokio::join!(to_target, from_target);
}

/// Forwards bytes in one direction, which `blocking_state` or `Blocked` stops.
async fn copy(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut state: watch::Receiver<ProxyState>,
    started: Opened,
    blocking_state: LinkState,
) {
    let is_reset = move |state: &ProxyState| {
        state.reset_count != started.reset_count
            || state.partition_of(started.pid) == Some(Partition::Reset)
    };
    let is_blocked = move |state: &ProxyState| {
        let partition = state.partition_of(started.pid);
        let one_way = blocking_state == LinkState::BlockedFromTarget;
        state.stall_count != started.stall_count
            || state.link == blocking_state
            || state.link == LinkState::Blocked
            || partition == Some(Partition::Silent)
            || (partition == Some(Partition::SilentFromTarget) && one_way)
    };
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = tokio::select! {
            count = read.read(&mut buffer) => count.unwrap_or(0),
            _ = state.wait_for(is_reset) => {
                set_reset_on_close(&read, &write);
                return;
            }
        };
        let delay = loop {
            let now = state.borrow_and_update().clone();
            if is_reset(&now) {
                set_reset_on_close(&read, &write);
                return;
            }
            if !is_blocked(&now) {
                break now.link;
            }
            if state.changed().await.is_err() {
                return;
            }
        };
        if let LinkState::Delayed(delay) = delay {
            sleep(delay).await;
        }
        if count == 0 || write.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Makes both connections close with a TCP RST, as after a crash of a host.
fn set_reset_on_close(read: &OwnedReadHalf, write: &OwnedWriteHalf) {
    // Fails if a connection is already closed.
    let _closed = read.as_ref().set_zero_linger();
    let _closed = write.as_ref().set_zero_linger();
}
