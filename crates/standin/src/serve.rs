//! HTTP server code shared by all stand-ins.

use {
    crate::prelude::*,
    salvo::{
        Listener, Server,
        conn::{Acceptor, TcpListener},
    },
    std::{io, net::SocketAddr},
    tokio::task::JoinHandle,
};

/// A running stand-in.
#[derive(Debug)]
pub struct Running {
    /// Address that it is bound to.
    pub address: SocketAddr,
    /// Task of the HTTP server.
    pub task: JoinHandle<()>,
}

/// Serves `router` with `state` at the address `listen`.
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

/// Writes a response with a status and a plain text body.
pub fn write_text(response: &mut Response, status: StatusCode, text: &str) {
    response.status_code(status);
    response.body(text.to_string());
}
