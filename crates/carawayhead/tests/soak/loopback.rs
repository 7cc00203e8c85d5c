//! A TCP proxy on loopback that injects faults.

use {
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

#[derive(Clone, Copy, Debug)]
struct ProxyState {
    link: LinkState,
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
                reset_count: 0,
                stall_count: 0,
            })
            .0,
        );
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, shared.subscribe()));
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

async fn forward(client: TcpStream, target: SocketAddr, state: watch::Receiver<ProxyState>) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let started = *state.borrow();
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
    started: ProxyState,
    blocking_state: LinkState,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = tokio::select! {
            count = read.read(&mut buffer) => count.unwrap_or(0),
            _ = state.wait_for(|state| state.reset_count != started.reset_count) => {
                set_reset_on_close(&read, &write);
                return;
            }
        };
        let delay = loop {
            let now = *state.borrow_and_update();
            if now.reset_count != started.reset_count {
                set_reset_on_close(&read, &write);
                return;
            }
            let blocked = now.stall_count != started.stall_count
                || now.link == blocking_state
                || now.link == LinkState::Blocked;
            if !blocked {
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
