//! Serves a client whose socket rejects TCP options, so that `set_nodelay` fails.

use super::serve_connection;
use crate::decision::Micros;
use crate::proxy::control_plane::config::socket_limits::SocketLimits;
use crate::proxy::downstream::context::{ProxyContext, RequestIds};
use crate::proxy::downstream::idle_connections::IdleConnections;
use crate::proxy::downstream::listener::AcceptedConnection;
use crate::proxy::downstream::request_head::RequestRules;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::clock::Clock;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

fn context(lifecycle: Rc<Lifecycle>) -> ProxyContext {
    let (runtime, _) = mpsc::channel(1);
    ProxyContext {
        runtime,
        clock: Clock::start(),
        lifecycle,
        metrics: Rc::default(),
        permits: Rc::new(Permits::new(4)),
        memory: Rc::new(MemoryBudget::new(32.0, 1, SocketLimits { clients: 4, backends: 4, counter: 1 })),
        rules: RequestRules { gateways: 1, max_units: 1.0, ..RequestRules::default() },
        request_ids: RequestIds::default(),
        response_margin: Micros(0),
        cluster: None,
    }
}

#[test]
fn serves_a_client_whose_socket_rejects_tcp_options() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // A Unix socket pair carries a byte stream as TCP does, but rejects TCP options.
        let (gateway_socket, client_socket) = UnixStream::pair().expect("a socket pair");
        gateway_socket.set_nonblocking(true).expect("a non-blocking socket");
        client_socket.set_nonblocking(true).expect("a non-blocking socket");
        let gateway_socket = std::net::TcpStream::from(OwnedFd::from(gateway_socket));
        let stream = TcpStream::from_std(gateway_socket).expect("a stream");
        assert!(stream.set_nodelay(true).is_err(), "the socket must reject TCP_NODELAY");
        let lifecycle = Rc::new(Lifecycle::default());
        lifecycle.mark_endpoints_known();
        lifecycle.start_serving();
        let idle_connections = Rc::new(IdleConnections::new(lifecycle.clone(), Clock::start()));
        let accepted = AcceptedConnection::new(stream);
        tokio::task::spawn_local(serve_connection(accepted, Rc::new(context(lifecycle)), idle_connections));
        let mut client = tokio::net::UnixStream::from_std(client_socket).expect("a stream");
        client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("request written");
        let mut head = [0; 12];
        client.read_exact(&mut head).await.expect("a response");
        assert_eq!(&head, b"HTTP/1.1 200");
    });
}
