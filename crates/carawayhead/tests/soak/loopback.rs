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
pub enum Link {
    /// They pass.
    Sound,
    /// Each part passes after a delay.
    Slow(Duration),
    /// Nothing passes towards the target.
    CutThere,
    /// Nothing passes back.
    CutBack,
    /// Nothing passes either way; new connections open and stay silent.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct State {
    link: Link,
    /// Connections of an earlier number are reset.
    resets: u32,
    /// Connections of an earlier number are silent for good.
    silences: u32,
}

/// A proxy before one target.
#[derive(Debug)]
pub struct Loopback {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Loopback {
    /// Starts one at an ephemeral port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(
            watch::channel(State {
                link: Link::Sound,
                resets: 0,
                silences: 0,
            })
            .0,
        );
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, shared.subscribe()));
            }
        });
        Self {
            address,
            state,
            task,
        }
    }

    /// Changes what happens to bytes from now on; those that were held pass once they may.
    pub fn set(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }
}

impl Drop for Loopback {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(near: TcpStream, target: SocketAddr, state: watch::Receiver<State>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let began = *state.borrow();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, state.clone(), began, Link::CutThere);
    let back = pump(far_read, near_write, state, began, Link::CutBack);
    tokio::join!(there, back);
}

/// Passes parts on in one direction, which `cut` holds up.
async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    began: State,
    cut: Link,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = tokio::select! {
            count = read.read(&mut buffer) => count.unwrap_or(0),
            _ = state.wait_for(|state| state.resets != began.resets) => {
                reset(&read, &write);
                return;
            }
        };
        let delay = loop {
            let now = *state.borrow_and_update();
            if now.resets != began.resets {
                reset(&read, &write);
                return;
            }
            let held =
                now.silences != began.silences || now.link == cut || now.link == Link::Silent;
            if !held {
                break now.link;
            }
            if state.changed().await.is_err() {
                return;
            }
        };
        if let Link::Slow(delay) = delay {
            sleep(delay).await;
        }
        if count == 0 || write.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Has both connections end with a reset, as those of a machine that lost its power.
fn reset(read: &OwnedReadHalf, write: &OwnedWriteHalf) {
    // A connection that is gone already cannot be reset.
    let _gone = read.as_ref().set_zero_linger();
    let _gone = write.as_ref().set_zero_linger();
}
