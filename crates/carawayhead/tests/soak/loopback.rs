//! A proxy on loopback that harms what passes through it.

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

/// What happens to bytes on the way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// They pass.
    Open,
    /// Each part passes after a delay.
    Delayed(Duration),
    /// Nothing passes towards the target.
    BlockedToTarget,
    /// Nothing passes back.
    BlockedFromTarget,
    /// Nothing passes either way; new connections open and stay silent.
    Blocked,
}

#[derive(Clone, Copy, Debug)]
struct ProxyState {
    link: LinkState,
    /// Connections of an earlier number are reset.
    reset_count: u32,
    /// Connections of an earlier number are silent for good.
    stall_count: u32,
}

/// A proxy before one target.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts one at an ephemeral port.
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

    /// Changes what happens to bytes from now on; those that were held pass once they may.
    pub fn set(&self, link: LinkState) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.reset_count += 1);
    }

    /// Makes all open connections silent for good; new ones work.
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

/// Passes parts on in one direction, which `blocking_state` holds up.
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

/// Has both connections end with a reset, as those of a machine that lost its power.
fn set_reset_on_close(read: &OwnedReadHalf, write: &OwnedWriteHalf) {
    // A connection that is gone already cannot be reset.
    let _gone = read.as_ref().set_zero_linger();
    let _gone = write.as_ref().set_zero_linger();
}
