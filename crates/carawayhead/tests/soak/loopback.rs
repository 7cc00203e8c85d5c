//! A TCP proxy on loopback that injects faults.

#![allow(dead_code, reason = "not every test program uses all of these faults")]

use {
    netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload},
    netlink_packet_sock_diag::{
        SockDiagMessage,
        constants::{AF_INET, IPPROTO_TCP},
        inet::{ExtensionFlags, InetRequest, SocketId, StateFlags},
    },
    netlink_sys::{Socket, protocols::NETLINK_SOCK_DIAG},
    std::{net::SocketAddr, sync::Arc, time::Duration},
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

/// Matches a socket whatever its cookie is.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

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
    let socket = format!("socket:[{}]", inode(client, proxy)?);
    pids.iter().copied().find(|pid| {
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"));
        let descriptors = descriptors.into_iter().flatten().flatten();
        let mut links = descriptors.filter_map(|entry| std::fs::read_link(entry.path()).ok());
        links.any(|link| link.as_os_str() == socket.as_str())
    })
}

/// The inode of a TCP socket, while a process has it open. The kernel is asked for this socket alone:
/// reading the list of all takes hundreds of milliseconds beside other load.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: local.port(),
            destination_port: remote.port(),
            source_address: local.ip(),
            destination_address: remote.ip(),
            interface_id: 0,
            cookie: ANY_COOKIE,
        },
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let payload = SockDiagMessage::InetRequest(request).into();
    let mut message = NetlinkMessage::new(header, payload);
    message.finalize();
    let mut request = vec![0; message.buffer_len()];
    message.serialize(&mut request);
    let mut socket = Socket::new(NETLINK_SOCK_DIAG).expect("a netlink socket");
    socket.bind_auto().expect("a netlink address");
    let kernel = netlink_sys::SocketAddr::new(0, 0);
    socket.connect(&kernel).expect("the kernel listens");
    socket.send(&request, 0).expect("the kernel listens");
    let (response, _) = socket.recv_from_full().expect("the kernel answers");
    let response = NetlinkMessage::<SockDiagMessage>::deserialize(&response).ok()?;
    let NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) = response.payload
    else {
        // The client has closed the connection.
        return None;
    };
    Some(response.header.inode).filter(|inode| *inode != 0)
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
