//! What all stand-ins share: binding, shared state, answers.

use {
    crate::prelude::*,
    salvo::{
        Listener, Server,
        conn::{Acceptor, TcpListener},
    },
    std::{io, net::SocketAddr},
    tokio::task::JoinHandle,
};

/// A stand-in that runs.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its server.
    pub task: JoinHandle<()>,
}

/// Serves `router` with `state` at an address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn serve<S: Clone + Send + Sync + 'static>(
    listen: &str,
    state: S,
    router: Router,
) -> io::Result<Running> {
    let acceptor = TcpListener::new(listen.to_string())
        .try_bind()
        .await
        .map_err(io::Error::other)?;
    let address = acceptor
        .holdings()
        .first()
        .and_then(|holding| holding.local_addr.clone().into_std())
        .ok_or_else(|| io::Error::other("the listener has no address"))?;
    let router = Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(router);
    let task = tokio::spawn(Server::new(acceptor).serve(router));
    Ok(Running { address, task })
}

/// Answers with a status and a text.
pub fn text(response: &mut Response, status: StatusCode, text: &str) {
    response.status_code(status);
    response.body(text.to_string());
}
